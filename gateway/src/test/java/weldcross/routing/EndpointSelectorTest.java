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
   * A connection may come up between a decision and its send; what it was decided by may have
   * passed.
   */
  @Test
  void attemptIsEligibleOnlyWhileTheReasonsForItHold() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.advance(RouterHarness.STALENESS_BOUND.minus(ms(1)));
    RouterHarness.SentAttempt read = harness.send(Consistency.BOUNDED);
    assertTrue(harness.isStillEligible(read));
    harness.advance(ms(1));
    assertFalse(harness.isStillEligible(read), "its bound has passed");
    harness.report(read.server(), harness.now);
    assertTrue(harness.isStillEligible(read), "a newer position is known");
    harness.setEndpointListValid(false);
    assertFalse(harness.isStillEligible(read), "its drain may be owed");
    harness.setEndpointListValid(true);
    RouterHarness.SentAttempt write = harness.send(Consistency.WRITE);
    assertTrue(harness.isStillEligible(write));
    write.server().listedStatus = EndpointStatus.DRAINING;
    harness.publishEndpointList();
    assertFalse(harness.isStillEligible(write), "it drains");
  }

  @Test
  void leastBusyReplicaIsSelected() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    String first = harness.send(Consistency.ANY).serverName();
    String second = harness.send(Consistency.ANY).serverName();
    assertEquals(List.of("s1", "s2"), List.of(first, second).stream().sorted().toList());
  }

  @Test
  void serverThatAnsweredSlowlyComesAfterItsEquals() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int k = 0; k < 30; k++) {
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
    RouterParts parts = new RouterParts(3);
    parts.group.primary = parts.endpoint(1);
    assertSame(
        parts.endpoint(1), parts.selector.select(ms(0), parts.request(Consistency.WRITE, ms(0))));
  }

  @Test
  void writeWithoutAKnownPrimaryGoesToEachMemberInTurnAndThenPauses() {
    RouterParts parts = new RouterParts(3);
    RequestState write = parts.request(Consistency.WRITE, ms(0));
    for (int number = 0; number < 3; number++) {
      EndpointState selected = parts.selector.select(ms(0), write);
      assertSame(parts.endpoint(number), selected);
      write.tried.add(selected);
    }
    assertNull(parts.selector.select(ms(0), write));
    assertNull(parts.selector.select(ms(99), write));
    assertSame(parts.endpoint(0), parts.selector.select(ms(100), write));
  }

  @Test
  void readOfAnyStateGoesToTheReplicaWithTheFewestReadsInFlight() {
    RouterParts parts = partsWithPrimary();
    parts.endpoint(1).readsInFlight = 1;
    assertSame(
        parts.endpoint(2), parts.selector.select(ms(0), parts.request(Consistency.ANY, ms(0))));
  }

  @Test
  void readIsNotSelectedForADrainingReplica() {
    RouterParts parts = partsWithPrimary();
    parts.endpoint(1).draining = true;
    parts.endpoint(2).readsInFlight = 5;
    assertSame(
        parts.endpoint(2), parts.selector.select(ms(0), parts.request(Consistency.ANY, ms(0))));
  }

  @Test
  void freshReadWithoutAFreshReplicaGoesToThePrimary() {
    RouterParts parts = partsWithPrimary();
    assertSame(
        parts.endpoint(0), parts.selector.select(ms(0), parts.request(Consistency.FRESH, ms(0))));
  }

  @Test
  void boundedReadWithoutAFreshReplicaWaitsForOneHealthCheck() {
    RouterParts parts = partsWithPrimary();
    assertNull(parts.selector.select(ms(0), parts.request(Consistency.BOUNDED, ms(0))));
    assertEquals(1, parts.healthChecks.size());
  }

  @Test
  void nothingIsSelectedWhileTheListIsNotValid() {
    RouterParts parts = partsWithPrimary();
    parts.registry.setListValid(false);
    assertNull(parts.selector.select(ms(0), parts.request(Consistency.WRITE, ms(0))));
    assertNull(parts.selector.select(ms(0), parts.request(Consistency.ANY, ms(0))));
  }

  /** Returns a group of three that has reported: s0 is the primary, positions are not known. */
  private static RouterParts partsWithPrimary() {
    RouterParts parts = new RouterParts(3);
    parts.group.primary = parts.endpoint(0);
    parts.group.hasReported = true;
    return parts;
  }
}
