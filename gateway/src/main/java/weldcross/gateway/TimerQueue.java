package weldcross.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Timers in the order of their due time and, at one due time, in the order they were added. */
final class TimerQueue {

  private final TreeMap<Duration, List<Runnable>> timers = new TreeMap<>();

  /** Adds a timer. */
  void at(Duration when, Runnable timer) {
    timers.computeIfAbsent(when, time -> new ArrayList<>(1)).add(timer);
  }

  /** Returns the number of distinct due times. */
  int size() {
    return timers.size();
  }

  /** Returns the earliest due time; null if there are no timers. */
  Duration next() {
    return timers.isEmpty() ? null : timers.firstKey();
  }

  /** Removes and returns the timers of the earliest due time; null if none is due by now. */
  List<Runnable> poll(Duration now) {
    return timers.isEmpty() || timers.firstKey().compareTo(now) > 0
        ? null
        : timers.pollFirstEntry().getValue();
  }
}
