package weldcross.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class EndpointListLeaseTest {

  private static Duration ms(long n) {
    return Duration.ofMillis(n);
  }

  /**
   * Rule 3: what came right behind the last word counts as told 6 s later, whoever notices what.
   */
  @Test
  void leaseExpiresSixSecondsAndGracePeriodAfterLastAnswer() {
    EndpointListLease lease = new EndpointListLease(ms(500), false);
    assertFalse(lease.isValid(Duration.ZERO), "no answer yet");
    lease.answered(ms(1_000), ms(4_000));
    assertTrue(lease.isValid(ms(7_499)));
    assertFalse(lease.isValid(ms(7_500)));
  }

  /** Without a call open on which it could be told, what discovery has counts at once. */
  @Test
  void leaseExpiresGracePeriodAfterDisconnect() {
    EndpointListLease lease = new EndpointListLease(ms(2_000), false);
    lease.answered(ms(1_000), ms(4_000));
    lease.disconnected(ms(3_000));
    assertTrue(lease.isValid(ms(4_999)));
    assertFalse(lease.isValid(ms(5_000)));
    lease.disconnected(ms(4_000));
    assertEquals(ms(5_000), lease.expiresAt(), "an earlier disconnect counts");
  }

  /**
   * One that fell silent is found, and the list asked for anew, well before what it missed counts.
   */
  @Test
  void watchTimeoutLeavesTimeToAskAgain() {
    assertEquals(ms(1_500), EndpointListLease.watchTimeout(ms(10_000), false));
    assertEquals(
        ms(1_000),
        EndpointListLease.watchTimeout(ms(2_000), false),
        "no longer than the service allows");
    assertEquals(
        ms(10_000),
        EndpointListLease.watchTimeout(ms(10_000), true),
        "each is a call on what all share");
  }

  /**
   * Rule 3: discovery that is down has nothing to tell, but a watch may have missed what it had
   * before.
   */
  @Test
  void discoveryFoundDownExtendsLeaseUntilMissedChangesCount() {
    EndpointListLease lease = new EndpointListLease(ms(500), false);
    lease.answered(ms(1_000), ms(1_500));
    lease.disconnected(ms(3_500));
    assertEquals(ms(4_000), lease.expiresAt());
    lease.discoveryFoundDown(ms(3_800));
    assertEquals(ms(7_500), lease.expiresAt());
    lease.disconnected(ms(5_000));
    lease.discoveryFoundDown(ms(5_500));
    assertEquals(
        ms(5_500),
        lease.expiresAt(),
        "lapsed: it could not be asked for a while, and may have had news then");
  }

  /** Rule 3: what has begun to come is had by discovery, and binds though the rest never comes. */
  @Test
  void startedAnswerShortensLease() {
    EndpointListLease lease = new EndpointListLease(ms(500), false);
    lease.answered(ms(1_000), ms(1_500));
    lease.answerStarted(ms(2_000));
    assertEquals(ms(7_500), lease.expiresAt(), "the call is open, and the rest may come");
    lease.disconnected(ms(2_400));
    lease.discoveryFoundDown(ms(2_700));
    assertEquals(ms(2_500), lease.expiresAt(), "nor does later silence take it back");
    lease.answered(ms(3_000), ms(1_500));
    lease.disconnected(ms(5_500));
    lease.discoveryFoundDown(ms(5_800));
    lease.answerStarted(ms(6_000));
    assertEquals(ms(6_500), lease.expiresAt());
  }

  /** Rule 3: the old address may go on to speak, and knows nothing of what the new one has. */
  @Test
  void moveLimitsLeaseUntilNewAddressAnswers() {
    EndpointListLease lease = new EndpointListLease(ms(2_000), false);
    lease.answered(ms(1_000), ms(4_000));
    lease.moved(ms(2_000));
    lease.answered(ms(5_000), ms(4_000));
    assertTrue(lease.isValid(ms(7_999)));
    assertFalse(lease.isValid(ms(8_000)));
    lease.moveCompleted();
    assertEquals(ms(13_000), lease.expiresAt());
  }

  /** Rule 3: what a call missed that was silent before it failed counts from the last word on. */
  @Test
  void polledLeaseExpiresSixSecondsAndGracePeriodAfterLastAnswer() {
    EndpointListLease lease = new EndpointListLease(ms(2_000), true);
    lease.answered(ms(1_000), ms(10_000));
    assertEquals(
        ms(15_000),
        lease.expiresAt(),
        "while a watch is waited for what it misses counts 2 s after its wait");
    lease.disconnected(ms(9_500));
    assertFalse(lease.isValid(ms(9_500)));
    lease.answered(ms(10_000), ms(1));
    assertEquals(ms(18_000), lease.expiresAt());
    lease.disconnected(ms(12_000));
    assertEquals(ms(18_000), lease.expiresAt());
  }
}
