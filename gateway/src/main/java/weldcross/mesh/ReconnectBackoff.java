package weldcross.mesh;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Exponential backoff between connects, with random jitter of up to half the delay, so that
 * gateways that lost the same peer at the same time do not all reconnect to it at once.
 */
final class ReconnectBackoff {

  private static final double MAX_JITTER_FRACTION = 0.5;

  private final MeshConfig config;
  private final SplittableRandom random;
  private int failures;

  ReconnectBackoff(MeshConfig config, SplittableRandom random) {
    this.config = config;
    this.random = random;
  }

  /** Records a failure and returns the delay before the next attempt. */
  Duration nextDelay() {
    Duration delay = config.minBackoff();
    for (int doublings = 0;
        doublings < failures && delay.compareTo(config.maxBackoff()) < 0;
        doublings++) {
      delay = delay.multipliedBy(2);
    }
    if (delay.compareTo(config.maxBackoff()) > 0) {
      delay = config.maxBackoff();
    }
    failures++;
    return delay.plusNanos((long) (delay.toNanos() * MAX_JITTER_FRACTION * random.nextDouble()));
  }

  boolean hasFailures() {
    return failures > 0;
  }

  void reset() {
    failures = 0;
  }
}
