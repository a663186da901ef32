package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static weldcross.routing.RouterHarness.ms;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.routing.RequestClass.Consistency;

class RouterTimersTest {

  /** Wake-ups would multiply if each superseded one requested another. */
  @Test
  void supersededWakeUpRequestsNoOther() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    harness.arrive(Consistency.ANY);
    int requestedWakeUps = harness.timerCalls;
    for (int i = 0; i < 50; i++) {
      harness.router.timersDue(harness.now);
    }
    assertEquals(requestedWakeUps, harness.timerCalls);
  }

  @Test
  void callbacksRunInOrderOfDueTimeAndThenOfScheduling() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    RouterTimers timers = new RouterTimers(harness);
    List<String> order = new ArrayList<>();
    timers.schedule(ms(20), at -> order.add("second at " + at.toMillis()));
    timers.schedule(ms(10), at -> order.add("first at " + at.toMillis()));
    timers.schedule(ms(20), at -> order.add("third at " + at.toMillis()));
    timers.schedule(ms(90), at -> order.add("not due"));
    timers.fireDue(ms(9));
    assertEquals(List.of(), order);
    timers.fireDue(ms(30));
    assertEquals(List.of("first at 30", "second at 30", "third at 30"), order);
    assertEquals(ms(90), harness.timerAt, "the next wake-up is requested");
  }
}
