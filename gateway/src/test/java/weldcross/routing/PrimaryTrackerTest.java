package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static weldcross.routing.RouterHarness.ms;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import weldcross.routing.RequestClass.Consistency;

class PrimaryTrackerTest {

  /** Load reports may be delayed, so one received after an answer may describe an earlier state. */
  @Test
  void primaryClaimOlderThanAnAnswerIsIgnored() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    RouterHarness.Server former = harness.server(0);
    final RouterHarness.SentAttempt write = harness.send(Consistency.WRITE);
    harness.advance(ms(100));
    final Duration claimed = harness.now;
    harness.advance(ms(100));
    former.primary = false;
    harness.end(write, AttemptOutcome.INELIGIBLE);
    harness.advance(ms(20));
    harness.router.reportReceived(harness.now, former.id, claimed, true);
    harness.advance(RouterHarness.STALENESS_BOUND);
    String read = harness.arrive(Consistency.BOUNDED);
    harness.advance(ms(60));
    assertEquals(
        0, harness.requests.get(read).attemptCount, "no server satisfies the staleness bound");
    former.primary = true;
    harness.report(former, harness.now);
    assertEquals(
        "s0",
        harness.firstInFlight(read).serverName(),
        "a claim newer than the answer is accepted");
  }

  @Test
  void replicaClaimOlderThanAPrimaryClaimIsIgnored() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.router.reportReceived(
        harness.now, harness.server(0).id, harness.now.minus(ms(20)), false);
    assertEquals("s0", harness.send(Consistency.WRITE).serverName());
    harness.router.reportReceived(harness.now, harness.server(0).id, harness.now, false);
    harness.server(0).reportedPrimary = false;
    harness.router.reportReceived(harness.now, harness.server(1).id, harness.now, true);
    assertEquals("s1", harness.send(Consistency.WRITE).serverName());
  }

  @Test
  void claimNewerThanThatOfThePrimaryReplacesIt() {
    RouterComponents components = new RouterComponents(2);
    PrimaryTracker.recordReport(ms(100), components.endpoint(0), ms(90), true);
    assertSame(components.endpoint(0), components.group.primary);
    PrimaryTracker.recordReport(ms(110), components.endpoint(1), ms(91), true);
    assertSame(components.endpoint(1), components.group.primary);
  }

  @Test
  void claimNotNewerThanThatOfThePrimaryIsIgnored() {
    RouterComponents components = new RouterComponents(2);
    PrimaryTracker.recordReport(ms(100), components.endpoint(0), ms(90), true);
    PrimaryTracker.recordReport(ms(110), components.endpoint(1), ms(90), true);
    assertSame(components.endpoint(0), components.group.primary);
  }

  @Test
  void primaryThatAnswersAsAReplicaLeavesNoPrimary() {
    RouterComponents components = new RouterComponents(2);
    PrimaryTracker.recordReport(ms(100), components.endpoint(0), ms(90), true);
    PrimaryTracker.recordAnswer(ms(110), components.endpoint(0), null, false);
    assertNull(components.group.primary);
  }

  @Test
  void replicaReportOlderThanItsOwnPrimaryClaimIsIgnored() {
    RouterComponents components = new RouterComponents(2);
    PrimaryTracker.recordReport(ms(100), components.endpoint(0), ms(90), true);
    PrimaryTracker.recordReport(ms(110), components.endpoint(0), ms(89), false);
    assertSame(components.endpoint(0), components.group.primary);
  }

  @Test
  void reportWithoutARoleOnlyAdvancesThePosition() {
    RouterComponents components = new RouterComponents(2);
    PrimaryTracker.recordReport(ms(100), components.endpoint(0), ms(90), null);
    PrimaryTracker.recordReport(ms(110), components.endpoint(0), ms(80), null);
    assertNull(components.group.primary);
    assertEquals(ms(90), components.endpoint(0).position);
  }
}
