package weldcross.gateway;

import java.time.Duration;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Logs what may happen with every request: the first message at once, then one a second with a
 * count of those left out.
 */
final class RateLimitedLogger {

  private static final Duration INTERVAL = Duration.ofSeconds(1);

  private final Logger log;
  private Duration nextAt = Duration.ZERO;
  private int suppressed;

  RateLimitedLogger(Logger log) {
    this.log = log;
  }

  /** Logs a message, or counts it if one was logged less than an interval ago. */
  void log(Duration now, Level level, String message) {
    if (now.compareTo(nextAt) < 0) {
      suppressed++;
      return;
    }
    log.log(level, suppressed == 0 ? message : message + " suppressed=" + suppressed);
    suppressed = 0;
    nextAt = now.plus(INTERVAL);
  }
}
