package weldcross.chaos.proxy;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Tasks that run on the proxy thread at a later time. Tasks due at the same time run in the order
 * in which they were added.
 */
final class DelayedTasks {

  private record Task(long due, long sequence, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::due).thenComparingLong(Task::sequence));
  private long lastSequence;

  /**
   * Adds a task.
   *
   * @param due when the task runs, as a reading of {@link System#nanoTime}
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

  /** Returns the nanoseconds until the next task is due, limited to {@code atMost}. */
  long nanosToNext(long now, long atMost) {
    return tasks.isEmpty() ? atMost : Math.min(atMost, Math.max(0, tasks.peek().due() - now));
  }
}
