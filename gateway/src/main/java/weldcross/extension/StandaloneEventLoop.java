package weldcross.extension;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Runs one extension without a gateway, on a dedicated thread, for tests and benchmarks. No
 * requests are routed; quotas and readiness are ignored.
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

  /** Starts an event loop on a daemon thread of the given name. */
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
  public void schedule(Duration when, Runnable task) {
    timers.add(new Timer(when, task));
  }

  @Override
  public void defer(Runnable task) {
    tasks.add(task);
  }

  @Override
  public void post(Runnable task) {
    tasks.add(task);
  }

  @Override
  public void stateChanged() {
    // There is no gateway to check the extension's readiness.
  }

  @Override
  public void setQuota(double share) {
    // No requests are routed.
  }

  /** Returns the number of posted tasks that have not run. */
  public int pendingTasks() {
    return tasks.size();
  }

  /** Stops the thread after its current task; may be called from any thread. */
  public void stop() {
    stopped = true;
  }

  /** Returns whether {@link #stop} was called. */
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
