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

  /** An estimate of zero would make the check for overdue attempts schedule itself for ever. */
  @Test
  void answersInNoTimeScheduleNoTimerForTheSameMoment() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int k = 0; k < 2000; k++) {
      harness.end(harness.send(Consistency.ANY), AttemptOutcome.OK);
    }
    harness.arrive(Consistency.ANY);
    assertTimeoutPreemptively(Duration.ofSeconds(20), () -> harness.advance(ms(100)));
  }

  @Test
  void requestThatCannotBeAnsweredInTimeIsRejectedAtOnce() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int k = 0; k < 100; k++) {
      harness.arrive(Consistency.FRESH);
      harness.advance(ms(10));
      harness.answerOlderThan(ms(200));
    }
    assertTrue(
        harness.requests.values().stream()
            .anyMatch(
                e ->
                    e.answer == Answer.REJECTED
                        && e.attemptCount == 0
                        && e.answeredAt.compareTo(
                                e.arrivedAt.plus(RouterHarness.LATENCY_OBJECTIVE).minus(ms(100)))
                            < 0));
  }

  /** The very first answer must not decide for long in a gateway with little traffic. */
  @Test
  void oneSlowAnswerMakesNoOtherRequestHopeless() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    String slow = harness.arrive(Consistency.FRESH);
    harness.advance(ms(350));
    harness.end(harness.firstInFlight(slow), AttemptOutcome.OK);
    assertNull(answerWhilePrimaryDrains(harness, ms(60)), "given up by one answer");
    for (int k = 0; k < 8; k++) {
      String quick = harness.arrive(Consistency.FRESH);
      harness.advance(ms(60));
      harness.end(harness.firstInFlight(quick), AttemptOutcome.OK);
    }
    assertNull(
        answerWhilePrimaryDrains(harness, ms(60)),
        "the first answer counts for more than the eight that followed");
  }

  /**
   * Returns the answer within {@code time} to a read that only the primary may serve, while the
   * primary drains; null if there is none. The primary is active again then.
   */
  private static Answer answerWhilePrimaryDrains(RouterHarness harness, Duration time) {
    harness.server(0).listedStatus = EndpointStatus.DRAINING;
    harness.publishEndpointList();
    RouterHarness.TrackedRequest entry = harness.requests.get(harness.arrive(Consistency.FRESH));
    harness.advance(time);
    final Answer answer = entry.answer;
    harness.server(0).listedStatus = EndpointStatus.ACTIVE;
    harness.server(0).startedAt = harness.now.minus(ms(20_000));
    harness.publishEndpointList();
    harness.answerOlderThan(ms(0));
    return answer;
  }

  @Test
  void estimateSettlesAtTheMedianOfTheAnswers() {
    LatencyEstimator latency = new LatencyEstimator(1);
    assertEquals(1, latency.typicalSeconds(0), "nothing is known yet");
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
