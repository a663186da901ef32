package weldcross.routing;

import java.time.Duration;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * Timers ordered by due time and, for equal due times, by the order in which they were added. Not
 * thread-safe.
 *
 * @param <A> type of what a timer does when it is due
 */
public final class TimerQueue<A> {

  private static final Comparator<QueuedTimer<?>> ORDER =
      Comparator.<QueuedTimer<?>, Duration>comparing(timer -> timer.dueTime)
          .thenComparingLong(timer -> timer.number);

  private static final class QueuedTimer<A> {
    private final Duration dueTime;
    private final long number;
    private final A action;

    private QueuedTimer(Duration dueTime, long number, A action) {
      this.dueTime = dueTime;
      this.number = number;
      this.action = action;
    }
  }

  private final TreeSet<QueuedTimer<A>> timers = new TreeSet<>(ORDER);
  private long lastNumber;

  /** Creates an empty queue. */
  public TimerQueue() {}

  /** Adds a timer. */
  public Timer add(Duration dueTime, A action) {
    QueuedTimer<A> timer = new QueuedTimer<>(dueTime, ++lastNumber, action);
    timers.add(timer);
    return () -> timers.remove(timer);
  }

  /** Returns the number of timers. */
  public int size() {
    return timers.size();
  }

  /** Returns the earliest due time; null if there are no timers. */
  public Duration nextDueTime() {
    return timers.isEmpty() ? null : timers.first().dueTime;
  }

  /** Removes the next timer and returns its action; returns null if none is due. */
  public A pollDue(Duration now) {
    return timers.isEmpty() || timers.first().dueTime.compareTo(now) > 0
        ? null
        : timers.pollFirst().action;
  }
}
