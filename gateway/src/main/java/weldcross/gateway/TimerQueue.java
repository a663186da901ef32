package weldcross.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Timers ordered by due time and, for equal due times, by the order in which they were added. */
final class TimerQueue {

  private final TreeMap<Duration, List<Runnable>> timers = new TreeMap<>();

  void add(Duration dueTime, Runnable timer) {
    timers.computeIfAbsent(dueTime, time -> new ArrayList<>(1)).add(timer);
  }

  /** Returns the number of distinct due times. */
  int size() {
    return timers.size();
  }

  /** Returns the earliest due time; null if there are no timers. */
  Duration nextDueTime() {
    return timers.isEmpty() ? null : timers.firstKey();
  }

  /** Removes and returns the timers of the earliest due time; null if none is due. */
  List<Runnable> pollDue(Duration now) {
    return timers.isEmpty() || timers.firstKey().compareTo(now) > 0
        ? null
        : timers.pollFirstEntry().getValue();
  }
}
