package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RouterHarness.Answer;

class LatencyEstimatorTest {

  /**
   * With an estimate of zero, the timer that checks overdue attempts would reschedule itself for
   * the same instant forever.
   */
  @Test
  void zeroLatenciesDoNotRescheduleTimersForTheSameInstant() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 0; i < 2000; i++) {
      harness.end(harness.send(Consistency.ANY), AttemptOutcome.OK);
    }
    harness.arrive(Consistency.ANY);
    assertTimeoutPreemptively(Duration.ofSeconds(20), () -> harness.advance(ms(100)));
  }

  @Test
  void requestThatCannotBeAnsweredInTimeIsRejectedAtOnce() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 0; i < 100; i++) {
      harness.arrive(Consistency.FRESH);
      harness.advance(ms(10));
      harness.answerOlderThan(ms(200));
    }
    assertTrue(
        harness.requests.values().stream()
            .anyMatch(
                tracked ->
                    tracked.answer == Answer.REJECTED
                        && tracked.attemptCount == 0
                        && tracked.answeredAt.compareTo(
                                tracked
                                    .arrivedAt
                                    .plus(RouterHarness.LATENCY_OBJECTIVE)
                                    .minus(ms(100)))
                            < 0));
  }

  /** In a gateway with little traffic, the first answer must not dominate the estimate for long. */
  @Test
  void oneSlowAnswerCausesNoOtherRequestToBeRejected() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    String slow = harness.arrive(Consistency.FRESH);
    harness.advance(ms(350));
    harness.end(harness.firstInFlight(slow), AttemptOutcome.OK);
    assertNull(answerWhilePrimaryDrains(harness, ms(60)), "rejected because of a single answer");
    for (int i = 0; i < 8; i++) {
      String fast = harness.arrive(Consistency.FRESH);
      harness.advance(ms(60));
      harness.end(harness.firstInFlight(fast), AttemptOutcome.OK);
    }
    assertNull(
        answerWhilePrimaryDrains(harness, ms(60)),
        "the first answer outweighs the eight that followed");
  }

  /**
   * Drains the primary, returns the answer within {@code time} to a read that only the primary may
   * serve, or null if there is none, and makes the primary active again.
   */
  private static Answer answerWhilePrimaryDrains(RouterHarness harness, Duration time) {
    harness.server(0).listedStatus = EndpointStatus.DRAINING;
    harness.publishEndpointList();
    RouterHarness.TrackedRequest tracked = harness.requests.get(harness.arrive(Consistency.FRESH));
    harness.advance(time);
    final Answer answer = tracked.answer;
    harness.server(0).listedStatus = EndpointStatus.ACTIVE;
    harness.server(0).startedAt = harness.now.minus(ms(20_000));
    harness.publishEndpointList();
    harness.answerOlderThan(ms(0));
    return answer;
  }

  @Test
  void estimateConvergesToTheMedianLatency() {
    LatencyEstimator latency = new LatencyEstimator(1);
    assertEquals(1, latency.typicalSeconds(0), "default without answers");
    for (int answer = 0; answer < 3000; answer++) {
      latency.record(0, ms(answer % 10 == 0 ? 5000 : 8 + answer % 5));
    }
    assertEquals(0.010, latency.typicalSeconds(0), 0.002);
    assertTrue(latency.isSlow(0, ms(40)));
    assertFalse(latency.isSlow(0, ms(20)));
  }

  @Test
  void eachRequestClassHasItsOwnEstimate() {
    LatencyEstimator latency = new LatencyEstimator(2);
    latency.record(1, ms(20));
    assertEquals(1, latency.typicalSeconds(0));
    assertEquals(0.020, latency.typicalSeconds(1));
  }
}
