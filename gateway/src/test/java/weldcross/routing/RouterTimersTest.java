package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import weldcross.routing.RequestClass.Consistency;

class RouterTimersTest {

  /** Wake-ups would multiply if each one left over from an earlier time asked for another. */
  @Test
  void leftOverWakeUpAsksForNoOther() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.arrive(Consistency.ANY, 0, Duration.ZERO);
    int asks = harness.timerCalls;
    for (int k = 0; k < 50; k++) {
      harness.router.timersDue(harness.now);
    }
    assertEquals(asks, harness.timerCalls);
  }
}
