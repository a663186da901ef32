package weldcross.chaos.agent;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A wall clock within a gateway of a run that is off by what its process was started with. */
public final class ShiftedClock implements InstantSource {

  /** The system property that says by how many milliseconds it is fast. */
  public static final String OFFSET_MILLIS = "weldcross.chaos.wall";

  /** Creates a clock; the service loader calls this. */
  public ShiftedClock() {}

  @Override
  public Instant instant() {
    return Instant.now().plus(Duration.ofMillis(Long.getLong(OFFSET_MILLIS, 0)));
  }
}
