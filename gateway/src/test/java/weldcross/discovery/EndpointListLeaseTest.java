package weldcross.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class EndpointListLeaseTest {

  private static Duration ms(long millis) {
    return Duration.ofMillis(millis);
  }

  /** A change right after the last response is considered delivered at the latest 6 s later. */
  @Test
  void leaseExpiresSixSecondsAndGracePeriodAfterLastResponse() {
    EndpointListLease lease = new EndpointListLease(ms(500), false);
    assertFalse(lease.isValid(Duration.ZERO), "no response yet");
    lease.renew(ms(1_000), ms(4_000));
    assertTrue(lease.isValid(ms(7_499)));
    assertFalse(lease.isValid(ms(7_500)));
  }

  /** Without an open request, changes that discovery knows are considered delivered at once. */
  @Test
  void leaseExpiresGracePeriodAfterDisconnect() {
    EndpointListLease lease = new EndpointListLease(ms(2_000), false);
    lease.renew(ms(1_000), ms(4_000));
    lease.disconnected(ms(3_000));
    assertTrue(lease.isValid(ms(4_999)));
    assertFalse(lease.isValid(ms(5_000)));
    lease.disconnected(ms(4_000));
    assertEquals(ms(5_000), lease.expiresAt(), "the earlier disconnect counts");
  }

  /**
   * A watch without a response is noticed, and the list requested again, well before the changes it
   * missed are considered delivered.
   */
  @Test
  void watchTimeoutLeavesTimeToRequestListAgain() {
    assertEquals(ms(1_500), EndpointListLease.watchTimeout(ms(10_000), false));
    assertEquals(
        ms(1_000),
        EndpointListLease.watchTimeout(ms(2_000), false),
        "at most half of the poll interval");
    assertEquals(
        ms(10_000),
        EndpointListLease.watchTimeout(ms(10_000), true),
        "the shared service is requested only once per poll interval");
  }

  /**
   * Discovery that is down receives no changes, but the last watch may have missed earlier ones.
   */
  @Test
  void discoveryDownExtendsLeaseUntilMissedChangesAreDelivered() {
    EndpointListLease lease = new EndpointListLease(ms(500), false);
    lease.renew(ms(1_000), ms(1_500));
    lease.disconnected(ms(3_500));
    assertEquals(ms(4_000), lease.expiresAt());
    lease.discoveryDown(ms(3_800));
    assertEquals(ms(7_500), lease.expiresAt());
    lease.disconnected(ms(5_000));
    lease.discoveryDown(ms(5_500));
    assertEquals(
        ms(5_500),
        lease.expiresAt(),
        "an expired lease is not revived, as changes may have arrived without an open request");
  }

  /**
   * A partial response shows that discovery has a change, which takes effect even if the rest of
   * the response is never received.
   */
  @Test
  void startedResponseShortensLease() {
    EndpointListLease lease = new EndpointListLease(ms(500), false);
    lease.renew(ms(1_000), ms(1_500));
    lease.responseStarted(ms(2_000));
    assertEquals(ms(7_500), lease.expiresAt(), "the request is open, and the rest may be received");
    lease.disconnected(ms(2_400));
    lease.discoveryDown(ms(2_700));
    assertEquals(
        ms(2_500),
        lease.expiresAt(),
        "discovery that is down later does not extend the lease again");
    lease.renew(ms(3_000), ms(1_500));
    lease.disconnected(ms(5_500));
    lease.discoveryDown(ms(5_800));
    lease.responseStarted(ms(6_000));
    assertEquals(ms(6_500), lease.expiresAt());
  }

  /** The old address may continue to respond without the changes known at the new one. */
  @Test
  void addressChangeLimitsLeaseUntilNewAddressResponds() {
    EndpointListLease lease = new EndpointListLease(ms(2_000), false);
    lease.renew(ms(1_000), ms(4_000));
    lease.addressChanged(ms(2_000));
    lease.renew(ms(5_000), ms(4_000));
    assertTrue(lease.isValid(ms(7_999)));
    assertFalse(lease.isValid(ms(8_000)));
    lease.addressChangeCompleted();
    assertEquals(ms(13_000), lease.expiresAt());
  }

  /**
   * A request without a response may have missed changes before it failed, so the lease runs from
   * the last response.
   */
  @Test
  void disconnectedPolledLeaseExpiresSixSecondsAndGracePeriodAfterLastResponse() {
    EndpointListLease lease = new EndpointListLease(ms(2_000), true);
    lease.renew(ms(1_000), ms(10_000));
    assertEquals(
        ms(15_000),
        lease.expiresAt(),
        "changes that an open watch misses are considered delivered 2 s after its wait");
    lease.disconnected(ms(9_500));
    assertFalse(lease.isValid(ms(9_500)));
    lease.renew(ms(10_000), ms(1));
    assertEquals(ms(18_000), lease.expiresAt());
    lease.disconnected(ms(12_000));
    assertEquals(ms(18_000), lease.expiresAt());
  }
}
