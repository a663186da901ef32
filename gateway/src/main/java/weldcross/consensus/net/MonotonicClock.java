package weldcross.consensus.net;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A clock that advances evenly whatever the wall clock does; its instants name no real time. */
final class MonotonicClock extends Clock {

  /** Far enough from zero that no time that the Raft library looks back to is negative. */
  private static final Instant START = Instant.ofEpochSecond(3600);

  private final long startNanos = System.nanoTime();

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }

  @Override
  public Instant instant() {
    return START.plusNanos(System.nanoTime() - startNanos);
  }
}
