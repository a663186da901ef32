package weldcross.gateway;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/** The one thread that makes a gateway's changes: posted events in their order, and timers. */
final class EventLoop {

  /** An iteration that takes longer is logged while it lasts: until it ends nobody is answered. */
  private static final Duration STALL_THRESHOLD = Duration.ofSeconds(2);

  /** Number of stack frames that are logged of a stalled iteration. */
  private static final int LOGGED_FRAMES = 8;

  private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());

  private final LinkedBlockingQueue<Gateway.Event> posted = new LinkedBlockingQueue<>();
  private final Supplier<Duration> clock;

  /** When the iteration under way began; null between iterations. */
  private volatile Duration iterationBegan;

  /** The beginning of the last iteration that was logged as stalled; null if none was. */
  private Duration loggedStall;

  /**
   * Creates an event loop, which does nothing until it is run.
   *
   * @param clock the time since the gateway's start
   */
  EventLoop(Supplier<Duration> clock) {
    this.clock = clock;
  }

  /** Adds an event; may be called from any thread. */
  void post(Gateway.Event event) {
    posted.add(event);
  }

  /** Handles all events that were posted and all timers that are due, without waiting for more. */
  void catchUp(Gateway gateway) {
    for (Gateway.Event event = posted.poll(); event != null; event = posted.poll()) {
      gateway.reduce(clock.get(), event);
    }
    runDueTimers(gateway);
  }

  /**
   * Logs the iteration under way if it takes long, once, with the stack of its thread. Called
   * periodically, by one other thread.
   *
   * @param loopThread the thread that runs the loop
   */
  void logStall(Thread loopThread) {
    Duration began = iterationBegan;
    if (began == null
        || began.equals(loggedStall)
        || clock.get().minus(began).compareTo(STALL_THRESHOLD) <= 0) {
      return;
    }
    loggedStall = began;
    List<StackTraceElement> stack = Arrays.asList(loopThread.getStackTrace());
    LOG.warning(
        () ->
            "event loop stalled, nobody is answered: overMillis="
                + STALL_THRESHOLD.toMillis()
                + " stack="
                + stack.stream()
                    .limit(LOGGED_FRAMES)
                    .map(StackTraceElement::toString)
                    .collect(Collectors.joining(" < ")));
  }

  /**
   * Runs the timers that are due when this begins, and no more: a timer that adds itself again is
   * run after the events that were posted meanwhile.
   */
  private void runDueTimers(Gateway gateway) {
    Duration until = clock.get();
    for (Duration at = until; gateway.reduceNextDue(until, at); ) {
      at = clock.get();
    }
  }

  /**
   * Runs until the gateway has stopped. A fault in it is thrown, as a process that only seems alive
   * is worse than none.
   *
   * @throws InterruptedException if the thread is interrupted while it waits for events
   */
  void run(Gateway gateway) throws InterruptedException {
    while (gateway.phase() != Gateway.Phase.STOPPED) {
      Duration next = gateway.nextDue();
      long nanos = next == null ? Long.MAX_VALUE : next.minus(clock.get()).toNanos();
      Gateway.Event event = nanos <= 0 ? posted.poll() : posted.poll(nanos, TimeUnit.NANOSECONDS);
      iterationBegan = clock.get();
      // Posted events go before timers: an event may be what a timer waited for.
      for (int left = posted.size(); event != null; event = left-- > 0 ? posted.poll() : null) {
        gateway.reduce(clock.get(), event);
      }
      runDueTimers(gateway);
      iterationBegan = null;
    }
  }
}
