package weldcross.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class IdleTimeoutEstimatorTest {

  private final IdleTimeoutEstimator rests = new IdleTimeoutEstimator();

  private static Duration ms(long n) {
    return Duration.ofMillis(n);
  }

  @Test
  void nothingIsHeldAgainstARestBeforeItFailed() {
    for (long rest : new long[] {0, 4, 100, 30_000, Integer.MAX_VALUE}) {
      assertTrue(rests.mayCarry(ms(rest)));
    }
    rests.lost(ms(200));
    assertTrue(rests.mayCarry(ms(200)), "one alone proves nothing");
  }

  @Test
  void whereNewConnectionsFailAsOftenNoneIsGivenUpInVain() {
    for (int k = 0; k < 200; k++) {
      rests.lost(ms(200));
      rests.lost(null);
    }
    assertTrue(rests.mayCarry(ms(200)));
  }

  /**
   * Connections that rest longer than a time nobody tells are gone, some always fail: found, and
   * forgotten.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void findsTheRestThatConnectionsDoNotOutliveAndThatTheyDoAgain(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    long limit = 20L + random.nextInt(2000);
    double gone = 0.4 + 0.6 * random.nextDouble();
    int lost = 0;
    for (int k = 0; k < 3000; k++) {
      boolean fresh = random.nextInt(4) == 0;
      Duration rested = fresh ? null : ms(1L << random.nextInt(13));
      // As a pool does it: RPCs only where they may, probes whatever there is.
      if (fresh || rests.mayCarry(rested) || random.nextInt(5) == 0) {
        boolean fails = random.nextDouble() < (!fresh && rested.toMillis() >= limit ? gone : 0.04);
        lost += fails && !fresh && rests.mayCarry(rested) ? 1 : 0;
        use(rested, fails);
      }
    }
    assertFalse(rests.mayCarry(ms(2 * Long.highestOneBit(limit))));
    assertTrue(rests.mayCarry(ms(Long.highestOneBit(limit) / 2)));
    assertTrue(lost < 300, "lost " + lost + " of some 2000");
    for (int k = 0; k < 3000; k++) {
      use(ms(1L << random.nextInt(13)), random.nextInt(25) == 0);
    }
    assertEquals(true, rests.mayCarry(ms(4096)));
  }

  private void use(Duration rested, boolean fails) {
    if (fails) {
      rests.lost(rested);
    } else {
      rests.answered(rested);
    }
  }
}
