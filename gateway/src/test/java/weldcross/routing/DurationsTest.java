package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class DurationsTest {

  private static final Duration ONE = Duration.ofMillis(1);
  private static final Duration TWO = Duration.ofMillis(2);

  @Test
  void laterIgnoresNull() {
    assertEquals(TWO, Durations.later(ONE, TWO));
    assertEquals(TWO, Durations.later(TWO, ONE));
    assertEquals(ONE, Durations.later(null, ONE));
    assertEquals(ONE, Durations.later(ONE, null));
    assertNull(Durations.later(null, null));
  }

  @Test
  void earlierReturnsTheSmallerDuration() {
    assertEquals(ONE, Durations.earlier(ONE, TWO));
    assertEquals(ONE, Durations.earlier(TWO, ONE));
  }

  @Test
  void secondsAreTruncatedToNanoseconds() {
    assertEquals(Duration.ofMillis(1500), Durations.ofSeconds(1.5));
    assertEquals(Duration.ZERO, Durations.ofSeconds(0.9e-9));
    assertEquals(0.002, Durations.inSeconds(TWO));
  }
}
