package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The order of events and timers, and stalls. */
class EventLoopTest {

  @Test
  void postedEventsRunBeforeDueTimers() throws InterruptedException {
    Duration[] clock = {Duration.ZERO};
    GatewayHarness harness = new GatewayHarness();
    EventLoop loop = new EventLoop(() -> clock[0]);
    List<String> order = new ArrayList<>();
    harness.gateway.at(Duration.ofMillis(1), () -> order.add("due"));
    for (int k = 0; k < 3; k++) {
      loop.post(g -> order.add("came"));
    }
    loop.post(
        g ->
            g.at(
                Duration.ofMillis(2),
                () -> {
                  g.stop();
                  clock[0] = Duration.ofSeconds(9);
                }));
    clock[0] = Duration.ofSeconds(5);
    loop.run(harness.gateway);
    assertEquals(List.of("came", "came", "came", "due"), order);
  }

  /** Rule 5: a late timer must not act on the time of an earlier one. */
  @Test
  @Timeout(20)
  void eachTimerRunsAtItsOwnTimeAndNoneForEver() {
    GatewayHarness harness = GatewayHarness.serving();
    List<Duration> at = new ArrayList<>();
    int[] again = {0};
    harness.gateway.at(
        harness.now.plusMillis(1),
        () -> {
          harness.now = harness.now.plusMillis(50);
          at.add(harness.gateway.now());
        });
    harness.gateway.at(harness.now.plusMillis(2), () -> at.add(harness.gateway.now()));
    Runnable[] always = new Runnable[1];
    always[0] =
        () -> {
          again[0]++;
          harness.now = harness.now.plusNanos(1);
          harness.gateway.at(harness.gateway.now().plusNanos(1), always[0]);
        };
    harness.gateway.at(harness.now.plusMillis(2), always[0]);
    harness.now = harness.now.plusMillis(2);
    harness.loop.catchUp(harness.gateway);
    assertEquals(Duration.ofMillis(50), at.get(1).minus(at.get(0)));
    assertEquals(1, again[0], "a timer that adds itself again waits for the next pass");
  }

  /** With the stack of its thread. */
  @Test
  void stalledIterationIsLoggedOnceWhileItLasts() throws InterruptedException {
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
                    g.at(g.now().plusSeconds(9), () -> {});
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
                l ->
                    l.startsWith("event loop stalled, nobody is answered: overMillis=2000")
                        && l.contains("stalledIterationIsLoggedOnceWhileItLasts"))
            .count(),
        lines::toString);
  }
}
