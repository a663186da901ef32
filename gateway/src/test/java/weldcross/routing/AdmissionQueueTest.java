package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;
import weldcross.routing.RouterHarness.Answer;

class AdmissionQueueTest {

  @Test
  void newestRequestGoesFirstInOverload() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    List<String> reads = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      reads.add(harness.arrive(Consistency.FRESH));
      harness.advance(ms(10));
    }
    harness.end(harness.firstInFlight(reads.get(0)), AttemptOutcome.OK);
    harness.end(harness.firstInFlight(reads.get(1)), AttemptOutcome.OK);
    assertEquals(1, harness.requests.get(reads.get(19)).attemptCount);
    assertEquals(0, harness.requests.get(reads.get(18)).attemptCount);
  }

  /** Overload must not starve a request class in favour of the others. */
  @Test
  void requestClassWithASmallerServedShareGetsAHigherPriority() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 0; i < 400; i++) {
      harness.arrive(i % 2 == 0 ? Consistency.FRESH : Consistency.WRITE);
      harness.advance(ms(10));
      harness.answerOlderThan(ms(150));
    }
    long writes =
        harness.requests.values().stream()
            .filter(
                tracked ->
                    tracked.requestClass.consistency() == Consistency.WRITE
                        && tracked.attemptCount > 0)
            .count();
    long reads =
        harness.requests.values().stream()
            .filter(
                tracked ->
                    tracked.requestClass.consistency() == Consistency.FRESH
                        && tracked.attemptCount > 0)
            .count();
    assertTrue(
        writes > 5 && reads > writes,
        "reads, with twice the priority weight of writes: " + reads + ", writes: " + writes);
  }

  /** The client must be left time to retry. */
  @Test
  void unsentRequestIsRejectedBeforeHalfItsTimeout() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.server(0).listedStatus = EndpointStatus.DRAINING;
    harness.publishEndpointList();
    String write = harness.arrive(Consistency.WRITE);
    harness.advance(RouterHarness.DEADLINE.dividedBy(2));
    RouterHarness.TrackedRequest tracked = harness.requests.get(write);
    assertEquals(Answer.REJECTED, tracked.answer);
    assertTrue(
        tracked.answeredAt.minus(tracked.arrivedAt).compareTo(RouterHarness.DEADLINE.dividedBy(3))
            > 0,
        "rejected before a third of its timeout");
    // A request that was sent may be executed, so it is not given up early.
    harness.server(0).listedStatus = EndpointStatus.ACTIVE;
    harness.server(0).startedAt = harness.now.minus(ms(20_000));
    harness.publishEndpointList();
    String sent = harness.arrive(Consistency.WRITE);
    harness.advance(RouterHarness.DEADLINE.dividedBy(2).plus(ms(1)));
    assertNull(harness.requests.get(sent).answer);
  }

  @ParameterizedTest
  @CsvSource({"100, older younger", "101, younger older"})
  void newestRequestGoesFirstOnceTheOldestHasWaitedAQuarterOfItsObjective(
      long nowMillis, String expected) {
    ReplicaGroup group = new ReplicaGroup();
    group.queue.add(request("older", group, ms(0), 1));
    group.queue.add(request("younger", group, ms(10), 1));
    assertEquals(expected, dispatchOrder(new AdmissionQueue(1), ms(nowMillis), group));
  }

  @Test
  void requestOfHigherWeightGoesFirstUnlessItIsLate() {
    ReplicaGroup group = new ReplicaGroup();
    group.queue.add(request("light", group, ms(300), 1));
    group.queue.add(request("heavy", group, ms(0), 2));
    AdmissionQueue queue = new AdmissionQueue(1);
    assertEquals("heavy light", dispatchOrder(queue, ms(399), group));
    assertEquals("light heavy", dispatchOrder(queue, ms(400), group), "the late weight is 0.2");
  }

  private static String dispatchOrder(AdmissionQueue queue, Duration now, ReplicaGroup group) {
    return queue.dispatchOrder(now, group).stream()
        .map(request -> request.id.name())
        .collect(Collectors.joining(" "));
  }

  private static RequestState request(
      String name, ReplicaGroup group, Duration arrivedAt, double weight) {
    RequestClass requestClass =
        new RequestClass(
            Consistency.FRESH,
            ms(0),
            Idempotency.IDEMPOTENT,
            DeduplicationScope.ALL,
            ms(0),
            ms(400),
            weight,
            0.2);
    return new RequestState(
        new RequestId(name),
        0,
        requestClass,
        group,
        null,
        null,
        false,
        arrivedAt,
        arrivedAt.plus(ms(1500)),
        0);
  }
}
