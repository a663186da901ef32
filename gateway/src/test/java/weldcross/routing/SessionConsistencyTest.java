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
  void sessionReadGoesToAReplicaThatHasReachedItsToken() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.advance(ms(200));
    harness.report(harness.server(2), harness.now.minus(ms(40)));
    assertEquals(
        "s2", harness.firstInFlight(harness.arrive(Consistency.SESSION, 0, ms(50))).serverName());
  }

  @Test
  void sessionReadGoesToThePrimaryWhenNoReplicaHasReachedItsToken() {
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
        "the read waits briefly for the health check in flight");
    harness.advance(ms(55));
    assertTrue(harness.firstInFlight(read).server().primary);
  }

  /** A write may have been committed even if no answer was received. */
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
    assertTrue(
        harness.send(Consistency.SESSION).server().primary,
        "no replica is known to have the write");
    harness.advance(ms(40));
    harness.report(harness.server(1), harness.now);
    assertEquals("s1", harness.send(Consistency.SESSION).serverName());
  }

  /** The session token is evaluated whenever an attempt is sent, not when the read arrives. */
  @Test
  void pendingReadSeesLaterWritesOfItsSession() {
    RouterHarness harness =
        RouterHarness.withKnownPrimary(
            RoutingConfigs.withWrites(
                Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, false, false));
    String write = harness.arrive(Consistency.WRITE);
    String read = harness.arrive(Consistency.SESSION);
    assertFalse(
        harness.firstInFlight(read).server().primary, "no write of the session is known yet");
    harness.advance(ms(60));
    harness.end(harness.firstInFlight(write), AttemptOutcome.OK);
    assertFalse(
        harness.isStillEligible(harness.firstInFlight(read)),
        "the write was answered before the connection of the read was established");
    harness.end(harness.firstInFlight(read), AttemptOutcome.ERROR);
    assertTrue(
        harness.firstInFlight(read).server().primary,
        "no replica is known to have the answered write");
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
  void replicaIsFreshEnoughFromThePositionThatTheConsistencyRequires(
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

  /** Guards against a stale read of a session whose token was dropped for lack of memory. */
  @Test
  void tokenThatIsMergedForLackOfMemoryStillBindsItsSession() {
    RoutingConfig config =
        RoutingConfigs.withWrites(
            Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, false, false);
    SessionConsistency consistency = new SessionConsistency(config);
    String longName = "n".repeat(SessionConsistency.MAX_TOKEN_BYTES / 4);
    for (int session = 0; session < 8; session++) {
      RequestState write = write(config, longName + session);
      consistency.recordOutcome(ms(100 + session), write, AttemptOutcome.OK, null);
      assertEquals(ms(100 + session), consistency.token(write));
    }
    // Three names of a quarter of the limit fit in, with their overhead.
    assertEquals(ms(104), consistency.token(write(config, longName + 0)));
    assertEquals(ms(105), consistency.token(write(config, longName + 5)));
    consistency.expireTokens(ms(200_000));
    assertEquals(ms(107), consistency.token(write(config, longName + 5)));
  }

  private static RequestState write(RoutingConfig config, String session) {
    int classIndex = RoutingConfigs.classIndex(Consistency.WRITE);
    return new RequestState(
        new RequestId("w"),
        classIndex,
        config.requestClasses().get(classIndex),
        new ReplicaGroup(),
        new SessionId(session),
        null,
        false,
        ms(0),
        ms(1000),
        0);
  }
}
