package weldcross.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** All that is due later, in the order of its time and, at one time, in the order asked for. */
final class TimerQueue {

  private final TreeMap<Duration, List<Runnable>> dues = new TreeMap<>();

  void at(Duration when, Runnable due) {
    dues.computeIfAbsent(when, w -> new ArrayList<>(1)).add(due);
  }

  int size() {
    return dues.size();
  }

  /** Null where nothing is due. */
  Duration next() {
    return dues.isEmpty() ? null : dues.firstKey();
  }

  /** The next that is due by now; null where there is none. */
  List<Runnable> poll(Duration now) {
    return dues.isEmpty() || dues.firstKey().compareTo(now) > 0
        ? null
        : dues.pollFirstEntry().getValue();
  }
}
