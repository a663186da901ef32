package weldcross.gateway;

import java.time.Duration;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Lines about what may happen with every RPC: the first at once, then one a second with a count of
 * the rest.
 */
final class RateLimitedLogger {

  private static final Duration APART = Duration.ofSeconds(1);

  private final Logger log;
  private Duration next = Duration.ZERO;
  private int unsaid;

  RateLimitedLogger(Logger log) {
    this.log = log;
  }

  void say(Duration now, Level level, String what) {
    if (now.compareTo(next) < 0) {
      unsaid++;
      return;
    }
    log.log(
        level,
        what + (unsaid == 0 ? "" : " (and " + unsaid + " more of this kind since the last)"));
    unsaid = 0;
    next = now.plus(APART);
  }
}
