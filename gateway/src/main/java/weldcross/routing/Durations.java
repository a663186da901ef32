package weldcross.routing;

import java.time.Duration;

/** Arithmetic on {@link Duration} that the JDK lacks. */
final class Durations {

  private static final double NANOS_PER_SECOND = 1e9;

  private Durations() {}

  /** Returns the later of the two; null counts as never, so it is returned only for two nulls. */
  static Duration later(Duration first, Duration second) {
    return first == null || (second != null && second.compareTo(first) > 0) ? second : first;
  }

  /** Returns the earlier of the two; neither may be null. */
  static Duration earlier(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }

  /** Returns the duration of a fractional number of seconds, truncated to whole nanoseconds. */
  static Duration ofSeconds(double seconds) {
    return Duration.ofNanos((long) (NANOS_PER_SECOND * seconds));
  }

  /** Returns the duration as a fractional number of seconds. */
  static double inSeconds(Duration duration) {
    return duration.toNanos() / NANOS_PER_SECOND;
  }
}
