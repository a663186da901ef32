package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;
import weldcross.routing.RouterHarness.Answer;

class ConcurrencyLimiterTest {

  /** Excess requests wait in the gateway and are rejected once they cannot meet their deadlines. */
  @Test
  void slowServerGetsFewerRequestsAndTheRestIsRejected() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 0; i < 1500; i++) {
      harness.arrive(Consistency.FRESH);
      harness.advance(ms(10));
      harness.answerOlderThan(ms(390));
    }
    long sent =
        harness.requests.values().stream()
            .filter(
                tracked ->
                    tracked.firstSentAt != null
                        && tracked.firstSentAt.compareTo(harness.now.minus(ms(5000))) > 0)
            .count();
    assertTrue(sent <= 9, "attempts sent to a slow server in 5 s: " + sent);
    assertTrue(
        harness.requests.values().stream().anyMatch(tracked -> tracked.answer == Answer.REJECTED));
  }

  @Test
  void lostAnswersDoNotCountTowardTheLimit() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 0; i < 300; i++) {
      String write = harness.arrive(Consistency.WRITE);
      harness.advance(ms(10));
      if (i % 3 < 2) {
        harness.end(harness.firstInFlight(write), AttemptOutcome.OK);
      }
    }
    assertTrue(
        harness.inFlight.size() > 30,
        "attempts in flight, whose answers were lost: " + harness.inFlight.size());
  }

  /** With one attempt from each of a hundred new gateways, a server would be overloaded. */
  @Test
  void initialLimitIsDividedAmongTheFleet() {
    int gateways = 80;
    int sent = 0;
    for (int gateway = 0; gateway < gateways; gateway++) {
      RouterHarness harness =
          RouterHarness.withKnownPrimary(RoutingConfigs.fleet(gateways, true), gateway);
      for (int i = 0; i < 60; i++) {
        harness.arrive(Consistency.WRITE);
        harness.advance(ms(50));
        harness.answerOlderThan(ms(300));
      }
      sent += harness.requests.values().stream().mapToInt(tracked -> tracked.attemptCount).sum();
    }
    // A fleet limit of 12 with a latency of 300 ms allows 120 attempts in 3 s, in addition to the
    // first attempt of each gateway.
    assertTrue(sent > gateways && sent <= 120 + 2 * gateways, "attempts in 3 s: " + sent);
  }

  @Test
  void fastAnswerShortensThePauseBetweenAttempts() {
    RouterHarness harness = RouterHarness.withKnownPrimary(RoutingConfigs.fleet(80, true));
    String first = harness.arrive(Consistency.WRITE);
    harness.advance(ms(40));
    harness.end(harness.firstInFlight(first), AttemptOutcome.OK);
    String second = harness.arrive(Consistency.WRITE);
    harness.advance(ms(150));
    assertEquals(
        1,
        harness.requests.get(second).attemptCount,
        "the answer took a tenth of the latency objective");
    harness.advance(ms(230));
    harness.end(harness.firstInFlight(second), AttemptOutcome.OK);
    String third = harness.arrive(Consistency.WRITE);
    harness.advance(ms(500));
    assertEquals(
        0,
        harness.requests.get(third).attemptCount,
        "the answer took about nine tenths of the latency objective");
  }

  /** A client that disconnects shows that the latency exceeded what it was willing to wait. */
  @Test
  void clientsThatDisconnectLowerTheLimit() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    List<String> reads = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      reads.add(harness.arrive(Consistency.FRESH));
      harness.advance(ms(20));
      harness.disconnect(reads.get(Math.max(0, i - 5)));
    }
    assertTrue(
        reads.subList(200, 400).stream()
                .filter(read -> harness.requests.get(read).attemptCount > 0)
                .count()
            < 60);
  }

  @ParameterizedTest
  @CsvSource({
    "OK, 300, lowered",
    "OK, 40, raised",
    "OVERLOADED, 1, lowered",
    "CANCELLED, 40, raised",
    "UNREACHABLE, 300, unchanged",
    "NOT_SENT, 300, unchanged",
    "IDLE_CONNECTION_LOST, 300, unchanged"
  })
  void limitFollowsTheRatioOfLatencyToObjective(
      AttemptOutcome outcome, long elapsedMillis, String expected) {
    ConcurrencyLimiter limiter = new ConcurrencyLimiter(6, new LatencyEstimator(1));
    RequestClass requestClass =
        new RequestClass(
            Consistency.ANY,
            ms(400),
            Idempotency.IDEMPOTENT,
            DeduplicationScope.ALL,
            ms(0),
            ms(400),
            1,
            0);
    RequestState request =
        new RequestState(
            new RequestId("r"),
            0,
            requestClass,
            new ReplicaGroup(),
            null,
            null,
            false,
            ms(0),
            ms(1500),
            0);
    EndpointState endpoint =
        new EndpointState(
            new ServerId("s"), request.group, new ZoneId(0), 0, limiter.initialLimit());
    endpoint.inFlight.add(new Attempt(request, endpoint, 1, ms(0), 0.1, false));
    Attempt ended = new Attempt(request, endpoint, 0, ms(0), 0.1, false);
    limiter.recordOutcome(ms(elapsedMillis), ended, outcome, ms(elapsedMillis));
    int change = Double.compare(endpoint.concurrencyLimit, 2);
    assertEquals(expected, change < 0 ? "lowered" : change > 0 ? "raised" : "unchanged");
  }
}
