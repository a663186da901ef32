package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RouterHarness.Answer;

class AdmissionQueueTest {

  @Test
  void newestRequestGoesFirstInOverload() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    List<String> reads = new ArrayList<>();
    for (int k = 0; k < 20; k++) {
      reads.add(harness.arrive(Consistency.FRESH, 0, Duration.ZERO));
      harness.advance(ms(10));
    }
    harness.end(harness.onlyInFlight(reads.get(0)), AttemptOutcome.OK);
    harness.end(harness.onlyInFlight(reads.get(1)), AttemptOutcome.OK);
    assertEquals(1, harness.requests.get(reads.get(19)).attemptCount);
    assertEquals(0, harness.requests.get(reads.get(18)).attemptCount);
  }

  /** No class may pay for all others in overload. */
  @Test
  void requestClassCountsMoreTheLessOfItIsServed() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int k = 0; k < 400; k++) {
      harness.arrive(k % 2 == 0 ? Consistency.FRESH : Consistency.WRITE, 0, Duration.ZERO);
      harness.advance(ms(10));
      harness.answerOlderThan(ms(150));
    }
    long writes =
        harness.requests.values().stream()
            .filter(e -> e.requestClass.consistency() == Consistency.WRITE && e.attemptCount > 0)
            .count();
    long reads =
        harness.requests.values().stream()
            .filter(e -> e.requestClass.consistency() == Consistency.FRESH && e.attemptCount > 0)
            .count();
    assertTrue(
        writes > 5 && reads > writes,
        "reads, worth twice a write: " + reads + ", writes: " + writes);
  }

  /** The client needs time to retry. */
  @Test
  void requestThatWasNeverSentIsRejectedBeforeHalfItsTime() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.server(0).listedStatus = EndpointStatus.DRAINING;
    harness.publishEndpointList();
    String write = harness.arrive(Consistency.WRITE, 0, Duration.ZERO);
    harness.advance(RouterHarness.DEADLINE.dividedBy(2));
    RouterHarness.TrackedRequest entry = harness.requests.get(write);
    assertEquals(Answer.REJECTED, entry.answer);
    assertTrue(
        entry.answeredAt.minus(entry.arrivedAt).compareTo(RouterHarness.DEADLINE.dividedBy(3)) > 0,
        "too soon");
    // What has been out has had its chance taken, and is not cut short.
    harness.server(0).listedStatus = EndpointStatus.ACTIVE;
    harness.server(0).startedAt = harness.now.minus(ms(20_000));
    harness.publishEndpointList();
    String sent = harness.arrive(Consistency.WRITE, 0, Duration.ZERO);
    harness.advance(RouterHarness.DEADLINE.dividedBy(2).plus(ms(1)));
    assertNull(harness.requests.get(sent).answer);
  }
}
