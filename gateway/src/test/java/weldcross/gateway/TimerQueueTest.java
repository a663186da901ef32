package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order of timers. */
class TimerQueueTest {

  private static final Duration EARLY = Duration.ofMillis(1);
  private static final Duration LATE = Duration.ofMillis(2);

  private final TimerQueue timers = new TimerQueue();
  private final List<String> fired = new ArrayList<>();

  @Test
  void timersOfOneDueTimeFireInTheOrderAdded() {
    timers.at(LATE, () -> fired.add("late"));
    timers.at(EARLY, () -> fired.add("first"));
    timers.at(EARLY, () -> fired.add("second"));
    assertEquals(EARLY, timers.next());
    assertEquals(2, timers.size());
    timers.poll(LATE).forEach(Runnable::run);
    assertEquals(List.of("first", "second"), fired);
    assertEquals(LATE, timers.next());
  }

  @Test
  void timerThatIsNotDueStays() {
    assertNull(timers.next());
    assertNull(timers.poll(LATE));
    timers.at(LATE, () -> fired.add("late"));
    assertNull(timers.poll(EARLY));
    assertEquals(1, timers.size());
  }
}
