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

  /** The limit keeps the rest in the gateway, where requests that became hopeless are rejected. */
  @Test
  void slowServerGetsFewerRequestsAndTheRestIsRejected() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int k = 0; k < 1500; k++) {
      harness.arrive(Consistency.FRESH);
      harness.advance(ms(10));
      harness.answerOlderThan(ms(390));
    }
    long sent =
        harness.requests.values().stream()
            .filter(
                e ->
                    e.firstSentAt != null
                        && e.firstSentAt.compareTo(harness.now.minus(ms(5000))) > 0)
            .count();
    assertTrue(sent <= 9, "sent to a slow server in 5 s, fewer than one at a time: " + sent);
    assertTrue(harness.requests.values().stream().anyMatch(e -> e.answer == Answer.REJECTED));
  }

  @Test
  void lostAnswersDoNotCountTowardTheLimit() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int k = 0; k < 300; k++) {
      String write = harness.arrive(Consistency.WRITE);
      harness.advance(ms(10));
      if (k % 3 < 2) {
        harness.end(harness.firstInFlight(write), AttemptOutcome.OK);
      }
    }
    assertTrue(harness.inFlight.size() > 30, "lost and still out: " + harness.inFlight.size());
  }

  /** A hundred new gateways with one attempt each at a server would overload it. */
  @Test
  void initialLimitIsSharedByTheFleet() {
    int gateways = 80;
    int sent = 0;
    for (int g = 0; g < gateways; g++) {
      RouterHarness harness =
          RouterHarness.withKnownPrimary(RoutingConfigs.fleet(gateways, true), g);
      for (int k = 0; k < 60; k++) {
        harness.arrive(Consistency.WRITE);
        harness.advance(ms(50));
        harness.answerOlderThan(ms(300));
      }
      sent += harness.requests.values().stream().mapToInt(e -> e.attemptCount).sum();
    }
    // Twelve in work at 300 ms each make 120 in 3 s, besides the one that each may try at once.
    assertTrue(sent > gateways && sent <= 120 + 2 * gateways, "in 3 s: " + sent);
  }

  @Test
  void answerWellWithinItsObjectiveEarnsAShortPause() {
    RouterHarness harness = RouterHarness.withKnownPrimary(RoutingConfigs.fleet(80, true));
    String first = harness.arrive(Consistency.WRITE);
    harness.advance(ms(40));
    harness.end(harness.firstInFlight(first), AttemptOutcome.OK);
    String second = harness.arrive(Consistency.WRITE);
    harness.advance(ms(150));
    assertEquals(
        1, harness.requests.get(second).attemptCount, "a tenth of its soft deadline was taken");
    harness.advance(ms(230));
    harness.end(harness.firstInFlight(second), AttemptOutcome.OK);
    String third = harness.arrive(Consistency.WRITE);
    harness.advance(ms(500));
    assertEquals(0, harness.requests.get(third).attemptCount, "nine tenths were taken");
  }

  /** What took longer than the clients stayed was too slow. */
  @Test
  void clientsThatDisconnectLowerTheLimit() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    List<String> reads = new ArrayList<>();
    for (int k = 0; k < 400; k++) {
      reads.add(harness.arrive(Consistency.FRESH));
      harness.advance(ms(20));
      harness.disconnect(reads.get(Math.max(0, k - 5)));
    }
    assertTrue(
        reads.subList(200, 400).stream()
                .filter(r -> harness.requests.get(r).attemptCount > 0)
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
  void limitFollowsTheShareOfTheObjectiveThatAnAnswerTook(
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
