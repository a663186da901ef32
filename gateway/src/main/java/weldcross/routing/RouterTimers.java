package weldcross.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The one-shot timers of a router, multiplexed on a single wake-up of its host. */
final class RouterTimers {

  private final RouterActions actions;
  private final TreeMap<Duration, List<Consumer<Duration>>> callbacks = new TreeMap<>();

  /** The wake-up asked for last; null if none is expected. */
  private Duration wakeUpAt;

  RouterTimers(RouterActions actions) {
    this.actions = actions;
  }

  /** Calls back at {@code at} with the time then; in the order of scheduling where times tie. */
  void schedule(Duration at, Consumer<Duration> callback) {
    callbacks.computeIfAbsent(at, time -> new ArrayList<>(1)).add(callback);
    if (wakeUpAt == null || at.compareTo(wakeUpAt) < 0) {
      requestWakeUp(at);
    }
  }

  /** Runs all callbacks that are due and asks for the next wake-up. */
  void fireDue(Duration now) {
    // A wake-up asked for before an earlier one came up is left over; if it asked for the next one
    // too, wake-ups would multiply.
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
