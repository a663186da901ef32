package weldcross.gateway;

import java.time.Duration;

/**
 * Converts Unix time to time since the gateway's start.
 *
 * @param atStart the Unix time, as a duration since 1970, at the gateway's start
 */
record UnixTime(Duration atStart) {

  /** Converts a Unix time in milliseconds; negative if before the gateway's start. */
  Duration sinceStart(long unixMillis) {
    return sinceStart(Duration.ofMillis(unixMillis));
  }

  /**
   * Converts a Unix time given as a duration since 1970; negative if before the gateway's start.
   */
  Duration sinceStart(Duration unix) {
    return unix.minus(atStart);
  }
}
