package weldcross.gateway;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * Runs posted events, in the order posted, and due timers on a single thread. All state of a
 * gateway is changed on this thread.
 */
final class EventLoop {

  /** An iteration that takes longer is logged as a stall, as no request is processed meanwhile. */
  private static final Duration STALL_THRESHOLD = Duration.ofSeconds(2);

  /** Number of stack frames logged for a stalled iteration. */
  private static final int LOGGED_FRAMES = 8;

  private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());

  private final LinkedBlockingQueue<Gateway.Event> posted = new LinkedBlockingQueue<>();
  private final Supplier<Duration> clock;

  /** When the current iteration started; null between iterations. */
  private volatile Duration iterationStart;

  /** The start of the last iteration that was logged as stalled; null if there was none. */
  private Duration loggedStall;

  /**
   * Creates an event loop that is not yet running.
   *
   * @param clock the time since the gateway's start
   */
  EventLoop(Supplier<Duration> clock) {
    this.clock = clock;
  }

  /** Queues an event; may be called from any thread. */
  void post(Gateway.Event event) {
    posted.add(event);
  }

  /** Handles all posted events and due timers without waiting for more. */
  void runPending(Gateway gateway) {
    for (Gateway.Event event = posted.poll(); event != null; event = posted.poll()) {
      gateway.handle(clock.get(), event);
    }
    runDueTimers(gateway);
  }

  /**
   * Logs the current iteration, with the stack of its thread, if it exceeds the stall threshold and
   * has not been logged yet. Called periodically by a single other thread.
   *
   * @param loopThread the thread that runs the loop
   */
  void logStall(Thread loopThread) {
    Duration start = iterationStart;
    if (start == null
        || start.equals(loggedStall)
        || clock.get().minus(start).compareTo(STALL_THRESHOLD) <= 0) {
      return;
    }
    loggedStall = start;
    List<StackTraceElement> stack = Arrays.asList(loopThread.getStackTrace());
    LOG.warning(
        () ->
            "event loop stalled, no requests are processed: overMillis="
                + STALL_THRESHOLD.toMillis()
                + " stack="
                + stack.stream()
                    .limit(LOGGED_FRAMES)
                    .map(StackTraceElement::toString)
                    .collect(Collectors.joining(" < ")));
  }

  /**
   * Runs only the timers that are due when this method is called. A timer that reschedules itself
   * runs again after the events that were posted in the meantime.
   */
  private void runDueTimers(Gateway gateway) {
    Duration dueBy = clock.get();
    Duration now = dueBy;
    while (gateway.runNextDueTimer(dueBy, now)) {
      now = clock.get();
    }
  }

  /**
   * Runs until the gateway has stopped. Exceptions of events and timers are not caught: the process
   * must exit rather than stay alive without serving requests.
   *
   * @throws InterruptedException if the thread is interrupted while it waits for events
   */
  void run(Gateway gateway) throws InterruptedException {
    while (gateway.phase() != Gateway.Phase.STOPPED) {
      Duration nextTimer = gateway.nextTimerTime();
      long waitNanos = nextTimer == null ? Long.MAX_VALUE : nextTimer.minus(clock.get()).toNanos();
      Gateway.Event event =
          waitNanos <= 0 ? posted.poll() : posted.poll(waitNanos, TimeUnit.NANOSECONDS);
      iterationStart = clock.get();
      // Events run before timers: an event may make a timeout that is already due unnecessary.
      for (int left = posted.size(); event != null; event = left-- > 0 ? posted.poll() : null) {
        gateway.handle(clock.get(), event);
      }
      runDueTimers(gateway);
      iterationStart = null;
    }
  }
}
