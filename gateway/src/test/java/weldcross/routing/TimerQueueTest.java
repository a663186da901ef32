package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** The order in which timers become due, and their cancellation. */
class TimerQueueTest {

  private static final Duration EARLY = Duration.ofMillis(1);
  private static final Duration LATE = Duration.ofMillis(2);

  private final TimerQueue<String> timers = new TimerQueue<>();

  @Test
  void timersWithEqualDueTimesRunInTheOrderAdded() {
    timers.add(LATE, "late");
    timers.add(EARLY, "first");
    timers.add(EARLY, "second");
    assertEquals(EARLY, timers.nextExpiryTime());
    assertEquals(3, timers.size());
    assertEquals("first", timers.pollExpired(EARLY));
    assertEquals("second", timers.pollExpired(EARLY));
    assertNull(timers.pollExpired(EARLY));
    assertEquals(LATE, timers.nextExpiryTime());
    assertEquals("late", timers.pollExpired(LATE));
  }

  @Test
  void timerThatIsNotDueStaysQueued() {
    assertNull(timers.nextExpiryTime());
    assertNull(timers.pollExpired(LATE));
    timers.add(LATE, "late");
    assertNull(timers.pollExpired(EARLY));
    assertEquals(1, timers.size());
  }

  @Test
  void cancelledTimerIsRemovedAtOnce() {
    timers.add(EARLY, "first");
    Timer second = timers.add(EARLY, "second");
    Timer late = timers.add(LATE, "late");
    second.cancel();
    late.cancel();
    late.cancel();
    assertEquals(1, timers.size());
    assertEquals("first", timers.pollExpired(LATE));
    assertNull(timers.nextExpiryTime());
  }
}
