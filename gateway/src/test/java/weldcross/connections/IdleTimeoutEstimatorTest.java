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

  private static Duration ms(long millis) {
    return Duration.ofMillis(millis);
  }

  @Test
  void idleConnectionsMayBeReusedUntilSeveralFail() {
    for (long idleMillis : new long[] {0, 4, 100, 30_000, Integer.MAX_VALUE}) {
      assertTrue(estimator.mayReuse(ms(idleMillis)));
    }
    estimator.recordLost(ms(200));
    assertTrue(estimator.mayReuse(ms(200)), "one failure prevented reuse");
  }

  @Test
  void idleConnectionsMayBeReusedIfNewOnesFailAsOften() {
    for (int use = 0; use < 200; use++) {
      estimator.recordLost(ms(200));
      estimator.recordLost(null);
    }
    assertTrue(estimator.mayReuse(ms(200)));
  }

  /**
   * Connections that are idle for longer than an unknown limit are lost with a high probability,
   * and any request with a low one. The estimator must detect the limit, and later its removal.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void idleLimitAndItsRemovalAreDetected(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    long limitMillis = 20L + random.nextInt(2000);
    double lossProbability = 0.4 + 0.6 * random.nextDouble();
    int lost = 0;
    for (int use = 0; use < 3000; use++) {
      boolean newConnection = random.nextInt(4) == 0;
      Duration idleTime = newConnection ? null : ms(1L << random.nextInt(13));
      // As in a pool, requests use only reusable connections, and health checks use any.
      if (newConnection || estimator.mayReuse(idleTime) || random.nextInt(5) == 0) {
        boolean beyondLimit = !newConnection && idleTime.toMillis() >= limitMillis;
        boolean fails = random.nextDouble() < (beyondLimit ? lossProbability : 0.04);
        lost += fails && !newConnection && estimator.mayReuse(idleTime) ? 1 : 0;
        record(idleTime, fails);
      }
    }
    assertFalse(estimator.mayReuse(ms(2 * Long.highestOneBit(limitMillis))));
    assertTrue(estimator.mayReuse(ms(Long.highestOneBit(limitMillis) / 2)));
    assertTrue(lost < 300, lost + " of about 2000 requests lost");
    for (int use = 0; use < 3000; use++) {
      record(ms(1L << random.nextInt(13)), random.nextInt(25) == 0);
    }
    assertTrue(estimator.mayReuse(ms(4096)));
  }

  private void record(Duration idleTime, boolean fails) {
    if (fails) {
      estimator.recordLost(idleTime);
    } else {
      estimator.recordAnswered(idleTime);
    }
  }
}
