package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
}
