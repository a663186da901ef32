package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order in which timers become due. */
class TimerQueueTest {

  private static final Duration EARLY = Duration.ofMillis(1);
  private static final Duration LATE = Duration.ofMillis(2);

  private final TimerQueue timers = new TimerQueue();
  private final List<String> run = new ArrayList<>();

  @Test
  void timersWithEqualDueTimesRunInTheOrderAdded() {
    timers.add(LATE, () -> run.add("late"));
    timers.add(EARLY, () -> run.add("first"));
    timers.add(EARLY, () -> run.add("second"));
    assertEquals(EARLY, timers.nextDueTime());
    assertEquals(2, timers.size());
    timers.pollDue(LATE).forEach(Runnable::run);
    assertEquals(List.of("first", "second"), run);
    assertEquals(LATE, timers.nextDueTime());
  }

  @Test
  void timerThatIsNotDueStaysQueued() {
    assertNull(timers.nextDueTime());
    assertNull(timers.pollDue(LATE));
    timers.add(LATE, () -> run.add("late"));
    assertNull(timers.pollDue(EARLY));
    assertEquals(1, timers.size());
  }
}
