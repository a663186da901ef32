package weldcross.chaos.agent;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A wall clock with a fixed offset from the system clock, set when the process starts. */
public final class ShiftedClock implements InstantSource {

  /** The system property with the offset in milliseconds; positive if the clock is fast. */
  public static final String OFFSET_MILLIS_PROPERTY = "weldcross.chaos.wall";

  /** Creates a clock; called by the service loader. */
  public ShiftedClock() {}

  @Override
  public Instant instant() {
    return Instant.now().plus(Duration.ofMillis(Long.getLong(OFFSET_MILLIS_PROPERTY, 0)));
  }
}
