package weldcross.extension;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Runs one extension without a gateway, on a thread of its own, as tests and benchmarks do. Nothing
 * is routed: quotas and readiness are ignored.
 */
public final class StandaloneEventLoop implements ExtensionContext {

  private static final Duration MAX_WAIT = Duration.ofMillis(100);

  private record Timer(Duration when, Runnable task) {}

  private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparing(Timer::when));
  private final long startNanos = System.nanoTime();
  private Duration now = Duration.ZERO;
  private volatile boolean stopped;

  private StandaloneEventLoop() {}

  /** Starts the loop's thread, which is a daemon of that name. */
  public static StandaloneEventLoop start(String name) {
    StandaloneEventLoop loop = new StandaloneEventLoop();
    Thread thread = new Thread(loop::run, name);
    thread.setDaemon(true);
    thread.start();
    return loop;
  }

  @Override
  public Duration now() {
    return now;
  }

  @Override
  public void at(Duration when, Runnable task) {
    timers.add(new Timer(when, task));
  }

  @Override
  public void soon(Runnable task) {
    tasks.add(task);
  }

  @Override
  public void post(Runnable task) {
    tasks.add(task);
  }

  @Override
  public void changed() {
    // No gateway asks whether the extension is ready.
  }

  @Override
  public void setQuota(double share) {
    // Nothing is routed.
  }

  /** Tasks that were posted and have not run. */
  public int pendingTasks() {
    return tasks.size();
  }

  /** Ends the thread after its current task; called from any thread. */
  public void stop() {
    stopped = true;
  }

  /** Whether {@link #stop} was called. */
  public boolean isStopped() {
    return stopped;
  }

  private void run() {
    try {
      while (!stopped) {
        Runnable task = tasks.poll(waitNanos(), TimeUnit.NANOSECONDS);
        now = elapsed();
        if (task != null) {
          task.run();
        }
        while (!timers.isEmpty() && timers.peek().when().compareTo(now) <= 0) {
          timers.poll().task().run();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private long waitNanos() {
    long max = MAX_WAIT.toNanos();
    if (timers.isEmpty()) {
      return max;
    }
    return Math.max(0, Math.min(max, timers.peek().when().minus(elapsed()).toNanos()));
  }

  private Duration elapsed() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }
}
