package weldcross.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The minimum backoff is 50 ms and the maximum 800 ms, before jitter. */
class ReconnectBackoffTest {

  private final ReconnectBackoff backoff =
      new ReconnectBackoff(MeshSimulation.CONFIG, new SplittableRandom(1));

  private void assertNextDelay(int minMillis) {
    Duration delay = backoff.nextDelay();
    Duration min = Duration.ofMillis(minMillis);
    assertTrue(delay.compareTo(min) >= 0, delay.toString());
    assertTrue(delay.compareTo(min.multipliedBy(3).dividedBy(2)) < 0, delay.toString());
  }

  @Test
  void delayDoublesUpToTheMaximumWithJitter() {
    for (int millis : new int[] {50, 100, 200, 400, 800, 800, 800}) {
      assertNextDelay(millis);
    }
  }

  @Test
  void delayStartsAtTheMinimumAfterAReset() {
    assertFalse(backoff.hasFailures());
    assertNextDelay(50);
    assertNextDelay(100);
    assertTrue(backoff.hasFailures());
    backoff.reset();
    assertFalse(backoff.hasFailures());
    assertNextDelay(50);
  }

  @Test
  void jitterDependsOnTheSeedAlone() {
    ReconnectBackoff same = new ReconnectBackoff(MeshSimulation.CONFIG, new SplittableRandom(1));
    assertEquals(backoff.nextDelay(), same.nextDelay());
  }
}
