package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RouterHarness.Answer;

class OutlierDetectorTest {

  @Test
  void hungServerIsEjectedAndItsReadsAreHedged() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 0; i < 40; i++) {
      RouterHarness.SentAttempt fast = harness.send(Consistency.ANY);
      harness.advance(ms(10));
      harness.end(fast, AttemptOutcome.OK);
    }
    String read = harness.arrive(Consistency.ANY);
    RouterHarness.Server hung = harness.firstInFlight(read).server();
    harness.healthChecks.clear();
    harness.advance(ms(200));
    assertEquals(
        List.of(hung.id),
        harness.healthChecks.stream().distinct().toList(),
        "the server is health checked");
    harness.router.healthCheckEnded(harness.now, hung.id, AttemptOutcome.TIMED_OUT, null);
    harness.advance(ms(50));
    assertEquals(2, harness.requests.get(read).attemptCount);
    for (int i = 0; i < 6; i++) {
      assertFalse(hung == harness.send(Consistency.ANY).server());
    }
  }

  @Test
  void serverIsEjectedAfterTwoLostConnectionsInARow() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.advance(ms(1));
    harness.end(harness.send(Consistency.FRESH), AttemptOutcome.CONNECTION_LOST);
    String second = harness.arrive(Consistency.FRESH);
    assertEquals("s0", harness.firstInFlight(second).serverName());
    harness.end(harness.firstInFlight(second), AttemptOutcome.CONNECTION_LOST);
    assertTrue(harness.requests.get(harness.arrive(Consistency.FRESH)).inFlight.isEmpty());
  }

  /** If all servers fail, the cause is shared, and ejecting them all would leave no endpoint. */
  @Test
  void errorsOnAllServersEjectAtMostHalfOfAGroup() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 0; i < 40; i++) {
      String read = harness.arrive(i % 2 == 0 ? Consistency.ANY : Consistency.FRESH);
      assertTrue(harness.requests.get(read).attemptCount > 0);
      harness.end(harness.firstInFlight(read), AttemptOutcome.ERROR);
      List.copyOf(harness.inFlight).forEach(sent -> harness.end(sent, AttemptOutcome.OK));
      harness.advance(ms(30));
    }
  }

  @Test
  void serverRemovedWhileEjectedIsStillEjectedWhenListedAgain() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.end(harness.send(Consistency.WRITE), AttemptOutcome.UNREACHABLE);
    harness.advance(ms(100));
    harness.server(0).listedStatus = EndpointStatus.REMOVED;
    harness.publishEndpointList();
    List.copyOf(harness.healthChecks).stream()
        .distinct()
        .forEach(
            id ->
                harness.router.healthCheckEnded(
                    harness.now,
                    id,
                    id.equals(harness.server(0).id) ? AttemptOutcome.TIMED_OUT : AttemptOutcome.OK,
                    null));
    harness.advance(ms(1000));
    assertEquals(1, harness.removedCalls, "the host is notified of the removal");
    harness.server(0).listedStatus = EndpointStatus.ACTIVE;
    harness.healthChecks.clear();
    harness.publishEndpointList();
    assertTrue(
        harness.isWarmingUp(0) && harness.hasEjected(), harness.router.describe(harness.now));
    String write = harness.arrive(Consistency.WRITE);
    assertEquals(0, harness.requests.get(write).attemptCount);
    assertTrue(
        harness.healthChecks.contains(harness.server(0).id),
        "health checked before a request is sent");
  }

  /** A single failure is no evidence, since servers limit the rate of health checks. */
  @Test
  void serverIsEjectedAfterTwoFailedHealthChecksInARow() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.advance(ms(1));
    harness.router.healthCheckEnded(
        harness.now, harness.server(0).id, AttemptOutcome.TIMED_OUT, null);
    assertEquals(1, harness.requests.get(harness.arrive(Consistency.WRITE)).attemptCount);
    harness.router.healthCheckEnded(
        harness.now, harness.server(0).id, AttemptOutcome.TIMED_OUT, null);
    assertEquals(0, harness.requests.get(harness.arrive(Consistency.WRITE)).attemptCount);
  }

  @Test
  void lostIdleConnectionIsNoEvidenceOfAServerFailure() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 0; i < 6; i++) {
      String write = harness.arrive(Consistency.WRITE);
      harness.end(harness.firstInFlight(write), AttemptOutcome.IDLE_CONNECTION_LOST);
      assertEquals(
          Answer.FAILED, harness.requests.get(write).answer, "the write may have been executed");
    }
    harness.healthChecks.clear();
    harness.router.healthCheckEnded(
        harness.now, harness.server(0).id, AttemptOutcome.IDLE_CONNECTION_LOST, null);
    assertEquals(
        List.of(harness.server(0).id),
        harness.healthChecks,
        "the health check is repeated on another connection");
    assertFalse(harness.hasEjected() || harness.isWarmingUp(0));
  }

  /** A server that closes connections before they are used is alive and has not restarted. */
  @Test
  void serverThatClosesConnectionsBeforeSendsIsEjectedWithoutSlowStart() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 0; i < 2; i++) {
      assertFalse(harness.hasEjected());
      harness.end(harness.send(Consistency.WRITE), AttemptOutcome.CLOSED_BEFORE_SEND);
    }
    assertTrue(harness.hasEjected());
    assertFalse(harness.isWarmingUp(0));
  }

  @Test
  void secondErrorInARowEjectsForTheInitialDuration() {
    RouterComponents components = new RouterComponents(3);
    EndpointState endpoint = components.endpoint(0);
    components.end(ms(10), endpoint, AttemptOutcome.ERROR);
    assertFalse(endpoint.ejected);
    components.end(ms(20), endpoint, AttemptOutcome.ERROR);
    assertTrue(endpoint.ejected);
    assertEquals(ms(220), endpoint.readmissionTrialAt);
  }

  @Test
  void successBetweenTwoErrorsPreventsAnEjection() {
    RouterComponents components = new RouterComponents(3);
    components.end(ms(10), components.endpoint(0), AttemptOutcome.ERROR);
    components.end(ms(20), components.endpoint(0), AttemptOutcome.OK);
    components.end(ms(30), components.endpoint(0), AttemptOutcome.ERROR);
    assertFalse(components.endpoint(0).ejected);
  }

  @Test
  void errorsOfTheOnlyMemberDoNotEjectIt() {
    RouterComponents components = new RouterComponents(1);
    for (int i = 0; i < 5; i++) {
      components.end(ms(10), components.endpoint(0), AttemptOutcome.ERROR);
    }
    assertFalse(components.endpoint(0).ejected);
  }

  @Test
  void ejectionDoublesWithEachTrialUpToTwoSeconds() {
    RouterComponents components = ejectedByErrors();
    for (int expectedMillis : new int[] {400, 800, 1600, 2000, 2000}) {
      components.outliers.recordSend(ms(1000), components.endpoint(0));
      assertEquals(ms(1000 + expectedMillis), components.endpoint(0).readmissionTrialAt);
    }
  }

  @Test
  void successReadmitsAnEjectedServerAndResetsTheEjectionDuration() {
    RouterComponents components = ejectedByErrors();
    components.end(ms(500), components.endpoint(0), AttemptOutcome.OK);
    assertFalse(components.endpoint(0).ejected);
    assertEquals(
        EndpointState.INITIAL_EJECTION_DURATION, components.endpoint(0).nextEjectionDuration);
  }

  /** The first trial of an ejected server is reserved for requests that may be executed twice. */
  @Test
  void trialIsAdmittedOnceDueForReadsAndOneEjectionLaterForWrites() {
    RouterComponents components = ejectedByErrors();
    EndpointState endpoint = components.endpoint(0);
    RequestState read = components.request(Consistency.ANY, ms(0));
    RequestState write = components.request(Consistency.WRITE, ms(0));
    assertFalse(components.outliers.admits(ms(199), read, endpoint));
    assertTrue(components.outliers.admits(ms(200), read, endpoint));
    assertFalse(components.outliers.admits(ms(599), write, endpoint));
    assertTrue(components.outliers.admits(ms(600), write, endpoint));
  }

  @Test
  void unreachableServerIsGossipedAgainOnlyAfterTheInterval() {
    RouterComponents components = new RouterComponents(3);
    components.end(ms(0), components.endpoint(0), AttemptOutcome.UNREACHABLE);
    components.end(ms(250), components.endpoint(0), AttemptOutcome.UNREACHABLE);
    assertEquals(1, components.gossiped.size());
    components.end(ms(251), components.endpoint(0), AttemptOutcome.UNREACHABLE);
    assertEquals(2, components.gossiped.size());
  }

  /** Returns a group of three whose member s0 was ejected at time zero. */
  private static RouterComponents ejectedByErrors() {
    RouterComponents components = new RouterComponents(3);
    components.end(ms(0), components.endpoint(0), AttemptOutcome.ERROR);
    components.end(ms(0), components.endpoint(0), AttemptOutcome.ERROR);
    return components;
  }
}
