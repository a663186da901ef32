package weldcross.extension;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class RestartableTimerTest {

  /** A context with a manual clock that supports only timers. */
  private static final class ManualContext implements ExtensionContext {
    final Map<Duration, Runnable> tasks = new TreeMap<>();
    Duration now = Duration.ZERO;

    @Override
    public Duration now() {
      return now;
    }

    @Override
    public void schedule(Duration when, Runnable task) {
      tasks.put(when, task);
    }

    @Override
    public void defer(Runnable task) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void post(Runnable task) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void stateChanged() {
      throw new UnsupportedOperationException();
    }

    @Override
    public void setQuota(double share) {
      throw new UnsupportedOperationException();
    }

    void runAll() {
      tasks.forEach(
          (when, task) -> {
            now = when;
            task.run();
          });
    }
  }

  @Test
  void onlyTheLastRequestRuns() {
    ManualContext context = new ManualContext();
    List<Duration> runs = new ArrayList<>();
    RestartableTimer timer = new RestartableTimer(context, runs::add);
    timer.schedule(Duration.ofSeconds(5));
    timer.schedule(Duration.ofSeconds(2));
    timer.schedule(Duration.ofSeconds(3));
    context.runAll();
    assertEquals(List.of(Duration.ofSeconds(3)), runs);
  }
}
