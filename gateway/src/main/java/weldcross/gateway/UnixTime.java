package weldcross.gateway;

import java.time.Duration;

/**
 * Converts between Unix time and time since the gateway's start.
 *
 * @param atStart Unix time, as time since 1970, at the gateway's time zero
 */
record UnixTime(Duration atStart) {

  /** Returns the time since the gateway's start for a Unix time; negative if before the start. */
  Duration sinceStart(long unixMillis) {
    return sinceStart(Duration.ofMillis(unixMillis));
  }

  /** Returns the time since the gateway's start for a Unix time; negative if before the start. */
  Duration sinceStart(Duration unix) {
    return unix.minus(atStart);
  }
}
