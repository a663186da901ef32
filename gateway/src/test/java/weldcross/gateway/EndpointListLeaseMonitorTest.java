package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import weldcross.discovery.EndpointListLease;

class EndpointListLeaseMonitorTest {

  private static final Duration GRACE_PERIOD = Duration.ofMillis(500);
  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(1);

  private final GatewayHarness harness = new GatewayHarness();
  private final EndpointListLease lease = new EndpointListLease(GRACE_PERIOD, false);
  private final EndpointListLeaseMonitor monitor =
      new EndpointListLeaseMonitor(harness.gateway, lease);

  @Test
  void listIsInvalidBeforeFirstResponse() {
    monitor.check();
    assertFalse(monitor.isValid());
  }

  @Test
  void listIsValidFromCheckAfterResponse() {
    lease.renew(harness.gateway.now(), WATCH_TIMEOUT);
    assertFalse(monitor.isValid());
    monitor.check();
    assertTrue(monitor.isValid());
  }

  @Test
  void timerInvalidatesListWhenLeaseExpires() {
    lease.renew(harness.gateway.now(), WATCH_TIMEOUT);
    monitor.check();
    assertEquals(Duration.ofMillis(6_500), lease.expiresAt());
    harness.advance(6_499);
    assertTrue(monitor.isValid());
    harness.advance(2);
    assertFalse(monitor.isValid());
  }

  @Test
  void laterResponseKeepsListValidBeyondFirstTimer() {
    lease.renew(harness.gateway.now(), WATCH_TIMEOUT);
    monitor.check();
    harness.advance(5_000);
    lease.renew(harness.gateway.now(), WATCH_TIMEOUT);
    monitor.check();
    harness.advance(6_499);
    assertTrue(monitor.isValid());
    harness.advance(2);
    assertFalse(monitor.isValid());
  }

  @Test
  void earlierExpiryReplacesTimer() {
    lease.renew(harness.gateway.now(), WATCH_TIMEOUT);
    monitor.check();
    lease.disconnected(harness.gateway.now());
    monitor.check();
    harness.advance(499);
    assertTrue(monitor.isValid());
    harness.advance(2);
    assertFalse(monitor.isValid());
  }
}
