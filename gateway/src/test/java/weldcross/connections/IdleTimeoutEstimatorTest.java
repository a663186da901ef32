package weldcross.connections;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class IdleTimeoutEstimatorTest {

  private final IdleTimeoutEstimator estimator = new IdleTimeoutEstimator();

  private static Duration ms(long n) {
    return Duration.ofMillis(n);
  }

  @Test
  void idleConnectionsMayBeReusedBeforeFailures() {
    for (long idleMillis : new long[] {0, 4, 100, 30_000, Integer.MAX_VALUE}) {
      assertTrue(estimator.mayReuse(ms(idleMillis)));
    }
    estimator.recordLost(ms(200));
    assertTrue(estimator.mayReuse(ms(200)), "one alone proves nothing");
  }

  @Test
  void idleConnectionsMayBeReusedIfNewOnesFailAsOften() {
    for (int k = 0; k < 200; k++) {
      estimator.recordLost(ms(200));
      estimator.recordLost(null);
    }
    assertTrue(estimator.mayReuse(ms(200)));
  }

  /**
   * Connections that are idle for longer than an unknown limit are lost, and some requests always
   * fail: the limit is learnt, and forgotten once it is gone.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void idleLimitIsLearntAndForgotten(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    long limit = 20L + random.nextInt(2000);
    double gone = 0.4 + 0.6 * random.nextDouble();
    int lost = 0;
    for (int k = 0; k < 3000; k++) {
      boolean fresh = random.nextInt(4) == 0;
      Duration idleTime = fresh ? null : ms(1L << random.nextInt(13));
      // Like a pool: requests only on what may be reused, health checks on any connection.
      if (fresh || estimator.mayReuse(idleTime) || random.nextInt(5) == 0) {
        boolean fails =
            random.nextDouble() < (!fresh && idleTime.toMillis() >= limit ? gone : 0.04);
        lost += fails && !fresh && estimator.mayReuse(idleTime) ? 1 : 0;
        use(idleTime, fails);
      }
    }
    assertFalse(estimator.mayReuse(ms(2 * Long.highestOneBit(limit))));
    assertTrue(estimator.mayReuse(ms(Long.highestOneBit(limit) / 2)));
    assertTrue(lost < 300, "lost " + lost + " of some 2000");
    for (int k = 0; k < 3000; k++) {
      use(ms(1L << random.nextInt(13)), random.nextInt(25) == 0);
    }
    assertTrue(estimator.mayReuse(ms(4096)));
  }

  private void use(Duration idleTime, boolean fails) {
    if (fails) {
      estimator.recordLost(idleTime);
    } else {
      estimator.recordAnswered(idleTime);
    }
  }
}
