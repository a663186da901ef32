package weldcross.consensus.net;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A clock that is unaffected by wall-clock changes; its instants do not represent real time. */
final class MonotonicClock extends Clock {

  /** Large enough that timestamps stay positive when the Raft library subtracts time-outs. */
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
