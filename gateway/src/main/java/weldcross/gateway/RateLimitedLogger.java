package weldcross.gateway;

import java.time.Duration;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Limits the rate of log messages that may occur with every request: logs the first one immediately
 * and then at most one per second, with the number of messages suppressed in between.
 */
final class RateLimitedLogger {

  private static final Duration INTERVAL = Duration.ofSeconds(1);

  private final Logger log;
  private Duration nextLogTime = Duration.ZERO;
  private int suppressed;

  RateLimitedLogger(Logger log) {
    this.log = log;
  }

  /** Logs a message, or only counts it if another one was logged within the last interval. */
  void log(Duration now, Level level, String message) {
    if (now.compareTo(nextLogTime) < 0) {
      suppressed++;
      return;
    }
    log.log(level, suppressed == 0 ? message : message + " suppressed=" + suppressed);
    suppressed = 0;
    nextLogTime = now.plus(INTERVAL);
  }
}
