package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import weldcross.discovery.EndpointListLease;
import weldcross.gateway.GatewayTest.World;

class EndpointListLeaseMonitorTest {

  private static final Duration GRACE_PERIOD = Duration.ofMillis(500);
  private static final Duration WATCH = Duration.ofSeconds(1);

  private final World world = new World();
  private final EndpointListLease lease = new EndpointListLease(GRACE_PERIOD, false);
  private final EndpointListLeaseMonitor monitor =
      new EndpointListLeaseMonitor(world.gateway, lease);

  @Test
  void listIsInvalidBeforeTheFirstAnswer() {
    monitor.check();
    assertFalse(monitor.isValid());
  }

  @Test
  void listIsValidFromTheCheckAfterAnAnswer() {
    lease.answered(world.gateway.now(), WATCH);
    assertFalse(monitor.isValid());
    monitor.check();
    assertTrue(monitor.isValid());
  }

  @Test
  void listBecomesInvalidByTimerAtTheEndOfTheLease() {
    lease.answered(world.gateway.now(), WATCH);
    monitor.check();
    assertEquals(Duration.ofMillis(6_500), lease.expiresAt());
    world.wait(6_499);
    assertTrue(monitor.isValid());
    world.wait(2);
    assertFalse(monitor.isValid());
  }

  @Test
  void laterAnswerKeepsTheListValidBeyondTheFirstTimer() {
    lease.answered(world.gateway.now(), WATCH);
    monitor.check();
    world.wait(5_000);
    lease.answered(world.gateway.now(), WATCH);
    monitor.check();
    world.wait(6_499);
    assertTrue(monitor.isValid());
    world.wait(2);
    assertFalse(monitor.isValid());
  }

  @Test
  void earlierEndReplacesTheTimer() {
    lease.answered(world.gateway.now(), WATCH);
    monitor.check();
    lease.disconnected(world.gateway.now());
    monitor.check();
    world.wait(499);
    assertTrue(monitor.isValid());
    world.wait(2);
    assertFalse(monitor.isValid());
  }
}
