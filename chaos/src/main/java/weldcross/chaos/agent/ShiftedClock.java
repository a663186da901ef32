package weldcross.chaos.agent;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Within a gateway of a trial: a wall clock that is off by what the process was told. */
public final class ShiftedClock implements InstantSource {

  /** In milliseconds. */
  public static final String OFF = "weldcross.chaos.wall";

  @Override
  public Instant instant() {
    return Instant.now().plus(Duration.ofMillis(Long.getLong(OFF, 0)));
  }
}
