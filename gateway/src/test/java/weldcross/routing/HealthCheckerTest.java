package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.Effect;
import weldcross.routing.RequestClass.Scope;

class HealthCheckerTest {

  /** Where no reads come, a known position is left to grow old. */
  @Test
  void onlyTheReplicaThatAReadWouldGoToIsChecked() {
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
            RoutingConfigs.withWrites(Effect.NON_IDEMPOTENT, Scope.GROUP, true, true, false), 1);
    RouterHarness.withKnownPrimary()
        .servers
        .values()
        .forEach(s -> harness.servers.put(s.id.name(), s));
    harness.publishEndpointList();
    assertEquals(3, harness.healthChecks.size());
    String read = harness.arrive(Consistency.BOUNDED);
    assertTrue(harness.requests.get(read).inFlight.isEmpty());
    harness.report(harness.server(1), harness.now);
    assertEquals("s1", harness.onlyInFlight(read).serverName());
  }

  /** Many gateways that search for a primary together are a load. */
  @Test
  void primaryIsSearchedForWithBackoff() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.router.reported(harness.now, harness.server(0).id, harness.now, false);
    harness.healthChecks.clear();
    for (int k = 0; k < 100; k++) {
      harness.arrive(Consistency.FRESH);
      harness.advance(ms(50));
      harness
          .servers
          .values()
          .forEach(
              s -> harness.router.healthCheckEnded(harness.now, s.id, AttemptOutcome.OK, null));
    }
    assertTrue(
        harness.healthChecks.size() <= 21 && harness.healthChecks.size() >= 6,
        "in 5 s: " + harness.healthChecks.size());
  }

  /** Many gateways with an overdue answer each would load the primary by their checks. */
  @Test
  void serverWithOverdueAnswersIsCheckedWithBackoff() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int k = 0; k < 30; k++) {
      String write = harness.arrive(Consistency.WRITE);
      harness.advance(ms(10));
      harness.end(harness.onlyInFlight(write), AttemptOutcome.OK);
    }
    harness.healthChecks.clear();
    harness.arrive(Consistency.WRITE);
    int asked = 0;
    for (int k = 0; k < 70; k++) {
      harness.advance(ms(20));
      asked += harness.healthChecks.size();
      harness.healthChecks.forEach(
          s -> harness.router.healthCheckEnded(harness.now, s, AttemptOutcome.OK, null));
      harness.healthChecks.clear();
    }
    assertTrue(asked >= 2 && asked <= 5, "asked in 1.4 s: " + asked);
  }
}
