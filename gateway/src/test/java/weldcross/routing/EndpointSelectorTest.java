package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.routing.RequestClass.Consistency;

class EndpointSelectorTest {

  /**
   * The conditions under which an attempt was scheduled may no longer hold once its connection is
   * established.
   */
  @Test
  void attemptIsEligibleOnlyWhileItsConditionsHold() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.advance(RouterHarness.STALENESS_BOUND.minus(ms(1)));
    RouterHarness.SentAttempt read = harness.send(Consistency.BOUNDED);
    assertTrue(harness.isStillEligible(read));
    harness.advance(ms(1));
    assertFalse(harness.isStillEligible(read), "the staleness bound has been exceeded");
    harness.report(read.server(), harness.now);
    assertTrue(harness.isStillEligible(read), "the replica has reported a newer position");
    harness.setEndpointListValid(false);
    assertFalse(
        harness.isStillEligible(read), "the server may be draining without the list showing it");
    harness.setEndpointListValid(true);
    RouterHarness.SentAttempt write = harness.send(Consistency.WRITE);
    assertTrue(harness.isStillEligible(write));
    write.server().listedStatus = EndpointStatus.DRAINING;
    harness.publishEndpointList();
    assertFalse(harness.isStillEligible(write), "the server is draining");
  }

  @Test
  void leastBusyReplicaIsSelected() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    String first = harness.send(Consistency.ANY).serverName();
    String second = harness.send(Consistency.ANY).serverName();
    assertEquals(List.of("s1", "s2"), List.of(first, second).stream().sorted().toList());
  }

  @Test
  void slowServerIsRankedBelowEquallyBusyOnes() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 0; i < 30; i++) {
      RouterHarness.SentAttempt sent = harness.send(Consistency.ANY);
      harness.advance(ms(10));
      harness.end(sent, AttemptOutcome.OK);
    }
    RouterHarness.SentAttempt slow = harness.send(Consistency.ANY);
    harness.advance(ms(60));
    harness.end(slow, AttemptOutcome.OK);
    RouterHarness.SentAttempt next = harness.send(Consistency.ANY);
    assertFalse(next.server() == slow.server());
  }

  @Test
  void writeWithAKnownPrimaryGoesToIt() {
    RouterComponents components = new RouterComponents(3);
    components.group.primary = components.endpoint(1);
    assertSame(
        components.endpoint(1),
        components.selector.select(ms(0), components.request(Consistency.WRITE, ms(0))));
  }

  @Test
  void writeWithoutAKnownPrimaryGoesToEachMemberInTurnAndThenPauses() {
    RouterComponents components = new RouterComponents(3);
    RequestState write = components.request(Consistency.WRITE, ms(0));
    for (int number = 0; number < 3; number++) {
      EndpointState selected = components.selector.select(ms(0), write);
      assertSame(components.endpoint(number), selected);
      write.triedEndpoints.add(selected);
    }
    assertNull(components.selector.select(ms(0), write));
    assertNull(components.selector.select(ms(99), write));
    assertSame(components.endpoint(0), components.selector.select(ms(100), write));
  }

  @Test
  void readWithoutConsistencyGoesToTheReplicaWithTheFewestReadsInFlight() {
    RouterComponents components = componentsWithPrimary();
    components.endpoint(1).readsInFlight = 1;
    assertSame(
        components.endpoint(2),
        components.selector.select(ms(0), components.request(Consistency.ANY, ms(0))));
  }

  @Test
  void drainingReplicaIsNotSelected() {
    RouterComponents components = componentsWithPrimary();
    components.endpoint(1).draining = true;
    components.endpoint(2).readsInFlight = 5;
    assertSame(
        components.endpoint(2),
        components.selector.select(ms(0), components.request(Consistency.ANY, ms(0))));
  }

  @Test
  void freshReadWithoutAFreshReplicaGoesToThePrimary() {
    RouterComponents components = componentsWithPrimary();
    assertSame(
        components.endpoint(0),
        components.selector.select(ms(0), components.request(Consistency.FRESH, ms(0))));
  }

  @Test
  void boundedReadWithoutAFreshReplicaWaitsForOneHealthCheck() {
    RouterComponents components = componentsWithPrimary();
    assertNull(components.selector.select(ms(0), components.request(Consistency.BOUNDED, ms(0))));
    assertEquals(1, components.healthChecks.size());
  }

  @Test
  void nothingIsSelectedWhileTheListIsInvalid() {
    RouterComponents components = componentsWithPrimary();
    components.registry.setListValid(false);
    assertNull(components.selector.select(ms(0), components.request(Consistency.WRITE, ms(0))));
    assertNull(components.selector.select(ms(0), components.request(Consistency.ANY, ms(0))));
  }

  /**
   * Returns a group of three that has sent load reports: s0 is the primary, positions are unknown.
   */
  private static RouterComponents componentsWithPrimary() {
    RouterComponents components = new RouterComponents(3);
    components.group.primary = components.endpoint(0);
    components.group.hasReported = true;
    return components;
  }
}
