package weldcross.routing;

import java.time.Duration;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * Timers ordered by expiry time and, for equal times, by the order in which they were added. Not
 * thread-safe.
 *
 * @param <A> type of what a timer does when it expires
 */
public final class TimerQueue<A> {

  private static final Comparator<QueuedTimer<?>> ORDER =
      Comparator.<QueuedTimer<?>, Duration>comparing(timer -> timer.expiryTime)
          .thenComparingLong(timer -> timer.number);

  private static final class QueuedTimer<A> {
    private final Duration expiryTime;
    private final long number;
    private final A action;

    private QueuedTimer(Duration expiryTime, long number, A action) {
      this.expiryTime = expiryTime;
      this.number = number;
      this.action = action;
    }
  }

  private final TreeSet<QueuedTimer<A>> timers = new TreeSet<>(ORDER);
  private long lastNumber;

  /** Creates an empty queue. */
  public TimerQueue() {}

  /** Adds a timer. */
  public Timer add(Duration expiryTime, A action) {
    QueuedTimer<A> timer = new QueuedTimer<>(expiryTime, ++lastNumber, action);
    timers.add(timer);
    return () -> timers.remove(timer);
  }

  /** Returns the number of timers. */
  public int size() {
    return timers.size();
  }

  /** Returns the earliest expiry time; null if there are no timers. */
  public Duration nextExpiryTime() {
    return timers.isEmpty() ? null : timers.first().expiryTime;
  }

  /** Removes the next timer and returns its action; returns null if none has expired. */
  public A pollExpired(Duration now) {
    return timers.isEmpty() || timers.first().expiryTime.compareTo(now) > 0
        ? null
        : timers.pollFirst().action;
  }
}
