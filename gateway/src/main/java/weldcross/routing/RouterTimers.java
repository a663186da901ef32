package weldcross.routing;

import java.time.Duration;
import java.util.function.Consumer;

/** The one-shot timers of a router, multiplexed onto a single timer of its host. */
final class RouterTimers {

  private final RouterActions actions;
  private final TimerQueue<Consumer<Duration>> callbacks = new TimerQueue<>();

  /** The time of the wake-up requested last; null if none is pending. */
  private Duration wakeUpAt;

  RouterTimers(RouterActions actions) {
    this.actions = actions;
  }

  /**
   * Schedules a callback, which receives the time at which it runs. Callbacks for the same time run
   * in the order in which they were scheduled.
   */
  Timer schedule(Duration at, Consumer<Duration> callback) {
    Timer timer = callbacks.add(at, callback);
    if (wakeUpAt == null || at.compareTo(wakeUpAt) < 0) {
      requestWakeUp(at);
    }
    return timer;
  }

  /** Runs all callbacks that are due and requests the next wake-up. */
  void fireDue(Duration now) {
    // This wake-up was superseded by an earlier one. If it requested another one too, wake-ups
    // would multiply.
    if (wakeUpAt == null || now.compareTo(wakeUpAt) < 0) {
      return;
    }
    wakeUpAt = null;
    for (Consumer<Duration> callback = callbacks.pollExpired(now);
        callback != null;
        callback = callbacks.pollExpired(now)) {
      callback.accept(now);
    }
    if (callbacks.size() > 0) {
      requestWakeUp(callbacks.nextExpiryTime());
    }
  }

  private void requestWakeUp(Duration at) {
    wakeUpAt = at;
    actions.scheduleTimer(at);
  }
}
