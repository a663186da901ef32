package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The order of events and timers, and the log of stalls. */
class EventLoopTest {

  @Test
  void postedEventsRunBeforeDueTimers() throws InterruptedException {
    Duration[] clock = {Duration.ZERO};
    GatewayHarness harness = new GatewayHarness();
    EventLoop loop = new EventLoop(() -> clock[0]);
    List<String> order = new ArrayList<>();
    harness.gateway.schedule(Duration.ofMillis(1), () -> order.add("timer"));
    for (int k = 0; k < 3; k++) {
      loop.post(g -> order.add("event"));
    }
    loop.post(
        g ->
            g.schedule(
                Duration.ofMillis(2),
                () -> {
                  g.stop();
                  clock[0] = Duration.ofSeconds(9);
                }));
    clock[0] = Duration.ofSeconds(5);
    loop.run(harness.gateway);
    assertEquals(List.of("event", "event", "event", "timer"), order);
  }

  /**
   * A timer that runs late must see the current time, not the time at which the timers before it
   * ran. A timer that reschedules itself must not keep the loop from handling events.
   */
  @Test
  @Timeout(20)
  void timersSeeTheCurrentTimeAndSelfReschedulingTimersRunOncePerPass() {
    GatewayHarness harness = GatewayHarness.serving();
    List<Duration> runTimes = new ArrayList<>();
    int[] reschedulingRuns = {0};
    harness.gateway.schedule(
        harness.now.plusMillis(1),
        () -> {
          harness.now = harness.now.plusMillis(50);
          runTimes.add(harness.gateway.now());
        });
    harness.gateway.schedule(harness.now.plusMillis(2), () -> runTimes.add(harness.gateway.now()));
    Runnable[] rescheduling = new Runnable[1];
    rescheduling[0] =
        () -> {
          reschedulingRuns[0]++;
          harness.now = harness.now.plusNanos(1);
          harness.gateway.schedule(harness.gateway.now().plusNanos(1), rescheduling[0]);
        };
    harness.gateway.schedule(harness.now.plusMillis(2), rescheduling[0]);
    harness.now = harness.now.plusMillis(2);
    harness.loop.runPending(harness.gateway);
    assertEquals(Duration.ofMillis(50), runTimes.get(1).minus(runTimes.get(0)));
    assertEquals(1, reschedulingRuns[0], "a rescheduled timer waits for the next pass");
  }

  @Test
  void stalledIterationIsLoggedOnceWithTheStackOfItsThread() throws InterruptedException {
    Duration[] clock = {Duration.ZERO};
    EventLoop loop = new EventLoop(() -> clock[0]);
    Gateway gateway = GatewayHarness.serving().gateway;
    List<String> lines =
        GatewayHarness.logged(
            () -> {
              loop.logStall(Thread.currentThread());
              loop.post(
                  g -> {
                    clock[0] = Duration.ofSeconds(3);
                    loop.logStall(Thread.currentThread());
                    loop.logStall(Thread.currentThread());
                    g.stop();
                    g.schedule(g.now().plusSeconds(9), () -> {});
                    clock[0] = Duration.ofSeconds(30);
                  });
              try {
                loop.run(gateway);
              } catch (InterruptedException e) {
                throw new IllegalStateException(e);
              }
              loop.logStall(Thread.currentThread());
            });
    assertEquals(
        1,
        lines.stream()
            .filter(
                line ->
                    line.startsWith(
                            "event loop stalled, no requests are processed: overMillis=2000")
                        && line.contains("stalledIterationIsLoggedOnceWithTheStackOfItsThread"))
            .count(),
        lines::toString);
  }
}
