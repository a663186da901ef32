package weldcross.mesh;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * How long to wait before connecting again: exponential backoff, extended at random by up to a
 * half, so that gateways that lost one peer at the same time do not all come back at once.
 */
final class ReconnectBackoff {

  private static final double MAX_JITTER = 0.5;

  private final MeshConfig config;
  private final SplittableRandom random;
  private int failures;

  ReconnectBackoff(MeshConfig config, SplittableRandom random) {
    this.config = config;
    this.random = random;
  }

  /** Counts a failure and returns the wait until the next attempt. */
  Duration nextDelay() {
    Duration delay = config.minBackoff();
    for (int k = 0; k < failures && delay.compareTo(config.maxBackoff()) < 0; k++) {
      delay = delay.multipliedBy(2);
    }
    if (delay.compareTo(config.maxBackoff()) > 0) {
      delay = config.maxBackoff();
    }
    failures++;
    return delay.plusNanos((long) (delay.toNanos() * MAX_JITTER * random.nextDouble()));
  }

  boolean hasFailures() {
    return failures > 0;
  }

  void reset() {
    failures = 0;
  }
}
