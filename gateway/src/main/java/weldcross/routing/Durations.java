package weldcross.routing;

import java.time.Duration;

/** Arithmetic on {@link Duration} that the JDK does not provide. */
final class Durations {

  private static final double NANOS_PER_SECOND = 1e9;

  private Durations() {}

  /** Returns the later of two times. Null is earlier than any time. */
  static Duration later(Duration first, Duration second) {
    return first == null || (second != null && second.compareTo(first) > 0) ? second : first;
  }

  /** Returns the earlier of two times; neither may be null. */
  static Duration earlier(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }

  /** Converts a fractional number of seconds to a duration, truncated to whole nanoseconds. */
  static Duration ofSeconds(double seconds) {
    return Duration.ofNanos((long) (NANOS_PER_SECOND * seconds));
  }

  /** Converts a duration to a fractional number of seconds. */
  static double inSeconds(Duration duration) {
    return duration.toNanos() / NANOS_PER_SECOND;
  }
}
