package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;

class SessionConsistencyTest {

  @Test
  void sessionReadGoesToAReplicaThatHoldsItsToken() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.advance(ms(200));
    harness.report(harness.server(2), harness.now.minus(ms(40)));
    assertEquals(
        "s2", harness.firstInFlight(harness.arrive(Consistency.SESSION, 0, ms(50))).serverName());
  }

  @Test
  void sessionReadGoesToThePrimaryWhenNoReplicaHoldsItsToken() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.advance(ms(200));
    String read = harness.arrive(Consistency.SESSION, 0, ms(50));
    harness.advance(ms(55));
    assertEquals("s0", harness.firstInFlight(read).serverName());
  }

  @Test
  void sessionReadSeesTheTokenOfAnAnsweredWrite() {
    RouterHarness harness =
        RouterHarness.withKnownPrimary(
            RoutingConfigs.withWrites(
                Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, false, false));
    assertFalse(harness.send(Consistency.SESSION).server().primary);
    harness.advance(ms(10));
    harness.end(harness.send(Consistency.WRITE), AttemptOutcome.OK);
    assertTrue(harness.send(Consistency.SESSION).server().primary);
    harness.report(harness.server(1), harness.now);
    assertEquals("s1", harness.send(Consistency.SESSION).serverName());
  }

  @Test
  void boundedReadGoesToThePrimaryWhenEveryReplicaLags() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.advance(RouterHarness.STALENESS_BOUND.minus(ms(1)));
    assertFalse(harness.send(Consistency.BOUNDED).server().primary);
    harness.advance(ms(1));
    String read = harness.arrive(Consistency.BOUNDED);
    assertTrue(
        harness.requests.get(read).inFlight.isEmpty(),
        "it waits briefly for the health check under way");
    harness.advance(ms(55));
    assertTrue(harness.firstInFlight(read).server().primary);
  }

  /** A write may have been committed though its answer was not read. */
  @ParameterizedTest
  @ValueSource(strings = {"CANCELLED", "TIMED_OUT", "CONNECTION_LOST"})
  void sessionReadSeesAWriteWithoutAnswerThatMayHaveBeenExecuted(String outcome) {
    RouterHarness harness =
        RouterHarness.withKnownPrimary(
            RoutingConfigs.withWrites(
                Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, false, false));
    assertFalse(harness.send(Consistency.SESSION).server().primary);
    String write = harness.arrive(Consistency.WRITE);
    harness.advance(ms(60));
    harness.end(harness.firstInFlight(write), AttemptOutcome.valueOf(outcome));
    harness.report(harness.server(1), harness.now);
    assertTrue(harness.send(Consistency.SESSION).server().primary, "no replica is sure to hold it");
    harness.advance(ms(40));
    harness.report(harness.server(1), harness.now);
    assertEquals("s1", harness.send(Consistency.SESSION).serverName());
  }

  /** What a session has written counts at each send, not when the read arrived. */
  @Test
  void readThatWaitsSeesWhatItsSessionHasWrittenMeanwhile() {
    RouterHarness harness =
        RouterHarness.withKnownPrimary(
            RoutingConfigs.withWrites(
                Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, false, false));
    String write = harness.arrive(Consistency.WRITE);
    String read = harness.arrive(Consistency.SESSION);
    assertFalse(harness.firstInFlight(read).server().primary, "nothing is known to be written yet");
    harness.advance(ms(60));
    harness.end(harness.firstInFlight(write), AttemptOutcome.OK);
    assertFalse(
        harness.isStillEligible(harness.firstInFlight(read)), "its connection has just come up");
    harness.end(harness.firstInFlight(read), AttemptOutcome.ERROR);
    assertTrue(harness.firstInFlight(read).server().primary, "no replica is known to hold it");
  }

  @ParameterizedTest
  @CsvSource(
      nullValues = "none",
      value = {
        "ANY, none, true",
        "BOUNDED, none, false",
        "BOUNDED, 600, false",
        "BOUNDED, 601, true",
        "SESSION, none, false",
        "SESSION, 699, false",
        "SESSION, 700, true",
        "FRESH, none, false",
        "FRESH, 899, false",
        "FRESH, 900, true",
        "WRITE, 1000, false"
      })
  void replicaIsFreshEnoughFromThePositionThatTheConsistencyNeeds(
      Consistency consistency, Long positionMillis, boolean expected) {
    RoutingConfig config =
        RoutingConfigs.withWrites(
            Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, true, false);
    RequestClass requestClass = config.requestClasses().get(RoutingConfigs.classIndex(consistency));
    RequestState request =
        new RequestState(
            new RequestId("r"),
            RoutingConfigs.classIndex(consistency),
            requestClass,
            new ReplicaGroup(),
            null,
            ms(700),
            false,
            ms(900),
            ms(2400),
            0);
    EndpointState replica =
        new EndpointState(new ServerId("s"), request.group, new ZoneId(0), 0, 1);
    replica.position = positionMillis == null ? null : ms(positionMillis);
    SessionConsistency sessionConsistency = new SessionConsistency(config);
    assertEquals(expected, sessionConsistency.isFreshEnough(ms(1000), request, replica));
  }
}
