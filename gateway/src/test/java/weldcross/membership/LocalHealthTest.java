package weldcross.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class LocalHealthTest {

  private final LocalHealth health = new LocalHealth();

  @Test
  void timeoutGrowsWithScore() {
    Duration timeout = Duration.ofMillis(400);
    assertEquals(timeout, health.scale(timeout));
    health.worsen(2);
    assertEquals(Duration.ofMillis(1200), health.scale(timeout));
  }

  @Test
  void scoreIsClampedToItsRange() {
    health.improve();
    assertEquals(0, health.score());
    health.worsen(100);
    assertEquals(LocalHealth.MAX_SCORE, health.score());
    health.improve();
    assertEquals(LocalHealth.MAX_SCORE - 1, health.score());
  }
}
