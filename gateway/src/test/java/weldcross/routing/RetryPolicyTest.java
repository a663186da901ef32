package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.Effect;
import weldcross.routing.RequestClass.Scope;
import weldcross.routing.RouterHarness.Answer;

class RetryPolicyTest {

  /** A retry whose connection comes up late would be executed a second time. */
  @Test
  void retryThatWaitedForItsConnectionIsSentOnlyWithinTheDeduplicationWindow() {
    RouterHarness harness =
        RouterHarness.withKnownPrimary(
            RoutingConfigs.withWrites(Effect.IDEMPOTENT_BY_KEY, Scope.GROUP, true, true, false));
    String write = harness.arrive(Consistency.WRITE, 0, Duration.ZERO);
    assertTrue(
        harness.isStillEligible(harness.onlyInFlight(write)),
        "the first send needs nobody to know a repeat");
    harness.advance(ms(850));
    harness.end(harness.onlyInFlight(write), AttemptOutcome.CONNECTION_LOST);
    harness.advance(ms(30));
    RouterHarness.SentAttempt repeat = harness.onlyInFlight(write);
    assertTrue(harness.isStillEligible(repeat));
    harness.advance(ms(19));
    assertTrue(harness.isStillEligible(repeat));
    harness.advance(ms(1));
    assertFalse(harness.isStillEligible(repeat), "900 ms after the first send");
  }

  @Test
  void writeThatMayHaveBeenExecutedFailsAtOnce() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    String write = harness.arrive(Consistency.WRITE, 0, Duration.ZERO);
    harness.end(harness.onlyInFlight(write), AttemptOutcome.CONNECTION_LOST);
    assertEquals(Answer.FAILED, harness.requests.get(write).answer);
  }

  @Test
  void writeThatWasNotExecutedWaitsForThePrimary() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    String write = harness.arrive(Consistency.WRITE, 0, Duration.ZERO);
    harness.server(0).primary = false;
    harness.end(harness.onlyInFlight(write), AttemptOutcome.INELIGIBLE);
    for (RouterHarness.SentAttempt sent = harness.onlyInFlight(write);
        sent != null;
        sent = firstInFlight(harness, write)) {
      harness.end(sent, AttemptOutcome.INELIGIBLE);
    }
    assertNull(harness.requests.get(write).answer);
    harness.server(2).primary = true;
    harness.report(harness.server(2), harness.now);
    assertEquals("s2", harness.onlyInFlight(write).server().id.name());
  }

  private static RouterHarness.SentAttempt firstInFlight(RouterHarness harness, String request) {
    List<RouterHarness.SentAttempt> sent = harness.requests.get(request).inFlight;
    return sent.isEmpty() ? null : sent.get(0);
  }
}
