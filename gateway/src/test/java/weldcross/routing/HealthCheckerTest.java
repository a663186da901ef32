package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;

class HealthCheckerTest {

  /** Without reads, positions are not refreshed. */
  @Test
  void onlyTheReplicaThatAReadWouldBeSentToIsChecked() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.healthChecks.clear();
    harness.advance(ms(300));
    assertEquals(List.of(), harness.healthChecks);
    harness.arrive(Consistency.BOUNDED);
    assertEquals(1, harness.healthChecks.size());
    harness.arrive(Consistency.ANY);
    harness.advance(ms(50));
    assertEquals(1, harness.healthChecks.size());
  }

  @Test
  void newRouterChecksEveryMemberAndQueuesReadsUntilOneAnswers() {
    RouterHarness harness =
        new RouterHarness(
            RoutingConfigs.withWrites(
                Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, true, false),
            1);
    RouterHarness.withKnownPrimary()
        .servers
        .values()
        .forEach(server -> harness.servers.put(server.id.name(), server));
    harness.publishEndpointList();
    assertEquals(3, harness.healthChecks.size());
    String read = harness.arrive(Consistency.BOUNDED);
    assertTrue(harness.requests.get(read).inFlight.isEmpty());
    harness.report(harness.server(1), harness.now);
    assertEquals("s1", harness.firstInFlight(read).serverName());
  }

  /**
   * Without backoff, the health checks of many gateways searching for a primary would load the
   * servers.
   */
  @Test
  void primaryIsSearchedForWithBackoff() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.router.reportReceived(harness.now, harness.server(0).id, harness.now, false);
    harness.healthChecks.clear();
    for (int i = 0; i < 100; i++) {
      harness.arrive(Consistency.FRESH);
      harness.advance(ms(50));
      harness
          .servers
          .values()
          .forEach(
              server ->
                  harness.router.healthCheckEnded(harness.now, server.id, AttemptOutcome.OK, null));
    }
    assertTrue(
        harness.healthChecks.size() <= 21 && harness.healthChecks.size() >= 6,
        "health checks in 5 s: " + harness.healthChecks.size());
  }

  /**
   * Without backoff, the health checks of many gateways with overdue answers would load the
   * primary.
   */
  @Test
  void serverWithOverdueAnswersIsCheckedWithBackoff() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 0; i < 30; i++) {
      String write = harness.arrive(Consistency.WRITE);
      harness.advance(ms(10));
      harness.end(harness.firstInFlight(write), AttemptOutcome.OK);
    }
    harness.healthChecks.clear();
    harness.arrive(Consistency.WRITE);
    int checkCount = 0;
    for (int i = 0; i < 70; i++) {
      harness.advance(ms(20));
      checkCount += harness.healthChecks.size();
      harness.healthChecks.forEach(
          serverId ->
              harness.router.healthCheckEnded(harness.now, serverId, AttemptOutcome.OK, null));
      harness.healthChecks.clear();
    }
    assertTrue(checkCount >= 2 && checkCount <= 5, "health checks in 1.4 s: " + checkCount);
  }

  @Test
  void secondCheckIsNotSentWhileOneIsInFlight() {
    RouterComponents components = new RouterComponents(1);
    assertTrue(components.healthChecker.check(ms(0), components.endpoint(0), ms(100)));
    assertFalse(components.healthChecker.check(ms(5000), components.endpoint(0), ms(100)));
    assertEquals(List.of(components.endpoint(0).id), components.healthChecks);
  }

  @Test
  void nextCheckIsSentOnceTheMinimumIntervalHasPassed() {
    RouterComponents components = new RouterComponents(1);
    EndpointState endpoint = components.endpoint(0);
    components.healthChecker.check(ms(0), endpoint, ms(100));
    endpoint.healthCheckPending = false;
    assertFalse(components.healthChecker.check(ms(99), endpoint, ms(100)));
    assertTrue(components.healthChecker.check(ms(100), endpoint, ms(100)));
  }

  @Test
  void backoffOfOverdueChecksDoublesUpToTwoSeconds() {
    RouterComponents components = new RouterComponents(1);
    EndpointState endpoint = components.endpoint(0);
    Duration now = ms(0);
    for (int expectedMillis : new int[] {200, 400, 800, 1600, 2000, 2000}) {
      components.healthChecker.checkOverdue(now, endpoint);
      assertEquals(ms(expectedMillis), endpoint.overdueCheckBackoff);
      endpoint.healthCheckPending = false;
      now = now.plus(endpoint.overdueCheckBackoff);
    }
    assertEquals(6, components.healthChecks.size());
  }

  @Test
  void unknownServerIsCheckedUnlessItIsDraining() {
    RouterComponents components = new RouterComponents(2);
    components.endpoint(0).draining = true;
    components.healthChecker.checkIfUnknown(ms(0), components.endpoint(0));
    components.healthChecker.checkIfUnknown(ms(0), components.endpoint(1));
    assertEquals(List.of(components.endpoint(1).id), components.healthChecks);
  }

  @Test
  void boundedReadWaitsForARefreshForLessThanThirtyMilliseconds() {
    RouterComponents components = new RouterComponents(1);
    RequestState read = components.request(Consistency.BOUNDED, ms(1000));
    assertTrue(components.healthChecker.refreshPosition(ms(1000), read, components.endpoint(0)));
    assertTrue(components.healthChecker.refreshPosition(ms(1029), read, components.endpoint(0)));
    assertFalse(components.healthChecker.refreshPosition(ms(1030), read, components.endpoint(0)));
  }
}
