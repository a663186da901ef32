package weldcross.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The one-shot timers of a router, multiplexed onto a single timer of its host. */
final class RouterTimers {

  private final RouterActions actions;
  private final TreeMap<Duration, List<Consumer<Duration>>> callbacks = new TreeMap<>();

  /** The time of the wake-up requested last; null if none is pending. */
  private Duration wakeUpAt;

  RouterTimers(RouterActions actions) {
    this.actions = actions;
  }

  /**
   * Schedules a callback, which receives the time at which it runs. Callbacks for the same time run
   * in the order in which they were scheduled.
   */
  void schedule(Duration at, Consumer<Duration> callback) {
    callbacks.computeIfAbsent(at, time -> new ArrayList<>(1)).add(callback);
    if (wakeUpAt == null || at.compareTo(wakeUpAt) < 0) {
      requestWakeUp(at);
    }
  }

  /** Runs all callbacks that are due and requests the next wake-up. */
  void fireDue(Duration now) {
    // This wake-up was superseded by an earlier one. If it requested another one too, wake-ups
    // would multiply.
    if (wakeUpAt == null || now.compareTo(wakeUpAt) < 0) {
      return;
    }
    wakeUpAt = null;
    while (!callbacks.isEmpty() && callbacks.firstKey().compareTo(now) <= 0) {
      callbacks.pollFirstEntry().getValue().forEach(callback -> callback.accept(now));
    }
    if (!callbacks.isEmpty()) {
      requestWakeUp(callbacks.firstKey());
    }
  }

  private void requestWakeUp(Duration at) {
    wakeUpAt = at;
    actions.scheduleTimer(at);
  }
}
