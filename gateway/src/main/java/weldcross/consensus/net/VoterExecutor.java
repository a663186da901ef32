package weldcross.consensus.net;

import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Executor with a single thread that is dedicated to the voter, because the voter blocks on
 * storage. The thread is started with the first task; tasks submitted after {@link #shutdown} are
 * discarded.
 */
final class VoterExecutor implements RaftNodeExecutor {

  private static final Logger LOG = Logger.getLogger(VoterExecutor.class.getName());

  private final ScheduledThreadPoolExecutor thread;

  /**
   * Creates the executor.
   *
   * @param threads one if the gateway is a voter, otherwise zero
   */
  VoterExecutor(int threads) {
    thread = new ScheduledThreadPoolExecutor(threads, VoterExecutor::newThread);
    thread.setRemoveOnCancelPolicy(true);
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "voter");
    thread.setDaemon(true);
    return thread;
  }

  @Override
  public void execute(Runnable task) {
    if (!thread.isShutdown()) {
      thread.execute(() -> run(task));
    }
  }

  @Override
  public void submit(Runnable task) {
    execute(task);
  }

  @Override
  public void schedule(Runnable task, long delay, TimeUnit unit) {
    if (!thread.isShutdown()) {
      Future<?> unused = thread.schedule(() -> run(task), delay, unit);
    }
  }

  private static void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "consensus: voter task failed", e);
    }
  }

  /** Runs the submitted tasks and accepts no more. */
  void shutdown() {
    thread.shutdown();
  }
}
