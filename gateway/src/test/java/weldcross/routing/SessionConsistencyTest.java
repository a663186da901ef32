package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.Effect;
import weldcross.routing.RequestClass.Scope;

class SessionConsistencyTest {

  @Test
  void sessionReadGoesToAReplicaThatHoldsItsToken() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.advance(ms(200));
    harness.report(harness.server(2), harness.now.minus(ms(40)));
    assertEquals(
        "s2",
        harness.onlyInFlight(harness.arrive(Consistency.SESSION, 0, ms(50))).server().id.name());
  }

  @Test
  void sessionReadGoesToThePrimaryWhenNoReplicaHoldsItsToken() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.advance(ms(200));
    String read = harness.arrive(Consistency.SESSION, 0, ms(50));
    harness.advance(ms(55));
    assertEquals("s0", harness.onlyInFlight(read).server().id.name());
  }

  @Test
  void sessionReadSeesTheTokenOfAnAnsweredWrite() {
    RouterHarness harness =
        RouterHarness.withKnownPrimary(
            RoutingConfigs.withWrites(Effect.NON_IDEMPOTENT, Scope.GROUP, true, false, false));
    assertFalse(
        harness
            .onlyInFlight(harness.arrive(Consistency.SESSION, 0, Duration.ZERO))
            .server()
            .primary);
    harness.advance(ms(10));
    harness.end(
        harness.onlyInFlight(harness.arrive(Consistency.WRITE, 0, Duration.ZERO)),
        AttemptOutcome.OK);
    assertTrue(
        harness
            .onlyInFlight(harness.arrive(Consistency.SESSION, 0, Duration.ZERO))
            .server()
            .primary);
    harness.report(harness.server(1), harness.now);
    assertEquals(
        "s1",
        harness
            .onlyInFlight(harness.arrive(Consistency.SESSION, 0, Duration.ZERO))
            .server()
            .id
            .name());
  }

  @Test
  void boundedReadGoesToThePrimaryWhenEveryReplicaLags() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.advance(RouterHarness.STALENESS_BOUND.minus(ms(1)));
    assertFalse(
        harness
            .onlyInFlight(harness.arrive(Consistency.BOUNDED, 0, Duration.ZERO))
            .server()
            .primary);
    harness.advance(ms(1));
    String read = harness.arrive(Consistency.BOUNDED, 0, Duration.ZERO);
    assertTrue(
        harness.requests.get(read).inFlight.isEmpty(), "it waits briefly for the probe under way");
    harness.advance(ms(55));
    assertTrue(harness.onlyInFlight(read).server().primary);
  }

  /** A write may have been committed though its answer was not read. */
  @ParameterizedTest
  @ValueSource(strings = {"CANCELLED", "TIMED_OUT", "CONNECTION_LOST"})
  void sessionReadSeesAWriteWithoutAnswerThatMayHaveBeenExecuted(String outcome) {
    RouterHarness harness =
        RouterHarness.withKnownPrimary(
            RoutingConfigs.withWrites(Effect.NON_IDEMPOTENT, Scope.GROUP, true, false, false));
    assertFalse(
        harness
            .onlyInFlight(harness.arrive(Consistency.SESSION, 0, Duration.ZERO))
            .server()
            .primary);
    String write = harness.arrive(Consistency.WRITE, 0, Duration.ZERO);
    harness.advance(ms(60));
    harness.end(harness.onlyInFlight(write), AttemptOutcome.valueOf(outcome));
    harness.report(harness.server(1), harness.now);
    assertTrue(
        harness
            .onlyInFlight(harness.arrive(Consistency.SESSION, 0, Duration.ZERO))
            .server()
            .primary,
        "no replica is sure to hold it");
    harness.advance(ms(40));
    harness.report(harness.server(1), harness.now);
    assertEquals(
        "s1",
        harness
            .onlyInFlight(harness.arrive(Consistency.SESSION, 0, Duration.ZERO))
            .server()
            .id
            .name());
  }

  /** What a session has written counts at each send, not when the read arrived. */
  @Test
  void readThatWaitsSeesWhatItsSessionHasWrittenMeanwhile() {
    RouterHarness harness =
        RouterHarness.withKnownPrimary(
            RoutingConfigs.withWrites(Effect.NON_IDEMPOTENT, Scope.GROUP, true, false, false));
    String write = harness.arrive(Consistency.WRITE, 0, Duration.ZERO);
    String read = harness.arrive(Consistency.SESSION, 0, Duration.ZERO);
    assertFalse(harness.onlyInFlight(read).server().primary, "nothing is known to be written yet");
    harness.advance(ms(60));
    harness.end(harness.onlyInFlight(write), AttemptOutcome.OK);
    assertFalse(
        harness.isStillEligible(harness.onlyInFlight(read)), "its connection has just come up");
    harness.end(harness.onlyInFlight(read), AttemptOutcome.ERROR);
    assertTrue(harness.onlyInFlight(read).server().primary, "no replica is known to hold it");
  }
}
