package weldcross.chaos.proxy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Tasks of the proxy's thread that run at a later time, those of one time in their order. */
final class DelayedTasks {

  private record Task(long due, long sequence, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::due).thenComparingLong(Task::sequence));
  private long lastSequence;

  /**
   * Adds a task.
   *
   * @param due when it runs, by {@link System#nanoTime}
   */
  void add(long due, Runnable action) {
    tasks.add(new Task(due, ++lastSequence, action));
  }

  /** Runs all tasks that are due. */
  void runDue(long now) {
    while (!tasks.isEmpty() && tasks.peek().due() <= now) {
      tasks.poll().action().run();
    }
  }

  /** Returns in how many nanoseconds the next one is due, or the given time if that is sooner. */
  long nanosToNext(long now, long atMost) {
    return tasks.isEmpty() ? atMost : Math.min(atMost, Math.max(0, tasks.peek().due() - now));
  }
}
