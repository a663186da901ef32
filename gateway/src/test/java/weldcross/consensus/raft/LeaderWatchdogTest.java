package weldcross.consensus.raft;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import org.junit.jupiter.api.Test;

class LeaderWatchdogTest {

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
  void expiresOnlyAfterMoreThanFourLeaderTimeouts() {
    ManualClock clock = new ManualClock();
    LeaderWatchdog watchdog = new LeaderWatchdog(clock, Duration.ofSeconds(2));
    watchdog.reset();
    clock.now = clock.now.plusSeconds(8);
    assertFalse(watchdog.isExpired());
    clock.now = clock.now.plusMillis(1);
    assertTrue(watchdog.isExpired());
    watchdog.reset();
    assertFalse(watchdog.isExpired());
  }
}
