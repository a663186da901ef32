package weldcross.consensus.raft;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import org.junit.jupiter.api.Test;

class LeaderWatchTest {

  /** Is advanced by hand. */
  private static final class ManualClock extends Clock {
    private Instant now = Instant.ofEpochSecond(1000);

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
      return now;
    }
  }

  @Test
  void watchExpiresOnceMoreThanFourLeaderTimeoutsHavePassed() {
    ManualClock clock = new ManualClock();
    LeaderWatch watch = new LeaderWatch(clock, Duration.ofSeconds(2));
    watch.reset();
    clock.now = clock.now.plusSeconds(8);
    assertFalse(watch.isExpired());
    clock.now = clock.now.plusMillis(1);
    assertTrue(watch.isExpired());
    watch.reset();
    assertFalse(watch.isExpired());
  }
}
