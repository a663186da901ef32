package weldcross.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetQuotaTest {

  @Test
  void shareShrinksImmediatelyAndGrowsAfterDelay() {
    FleetQuota quota = new FleetQuota(0.2, Duration.ofSeconds(30));
    quota.update(Duration.ofSeconds(1), 0.5);
    assertEquals(0.2, quota.share(Duration.ofSeconds(30)));
    assertEquals(Optional.of(Duration.ofSeconds(31)), quota.nextGrowthAt());
    assertEquals(0.5, quota.share(Duration.ofSeconds(31)));
    assertEquals(Optional.empty(), quota.nextGrowthAt());
    quota.update(Duration.ofSeconds(40), 0.25);
    assertEquals(0.25, quota.share(Duration.ofSeconds(40)));
    quota.update(Duration.ofSeconds(41), 0.5);
    quota.update(Duration.ofSeconds(60), 0.3);
    assertEquals(
        0.25,
        quota.share(Duration.ofSeconds(89)),
        "an increase replaced before its growth delay has passed never takes effect");
    assertEquals(0.3, quota.share(Duration.ofSeconds(90)));
  }

  /** The share never exceeds the smallest share received within the growth delay. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shareNeverExceedsSmallestShareWithinGrowthDelay(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FleetQuota quota = new FleetQuota(0.1, Duration.ofSeconds(30));
    List<Double> shares = new ArrayList<>(List.of(0.1));
    List<Duration> receivedAt = new ArrayList<>(List.of(Duration.ofSeconds(-100)));
    Duration now = Duration.ZERO;
    for (int step = 0; step < 2000; step++) {
      now = now.plusMillis(random.nextInt(20_000));
      double smallest = shares.get(shares.size() - 1);
      for (int k = shares.size() - 1; k >= 0; k--) {
        smallest = Math.min(smallest, shares.get(k));
        // Older shares were replaced by this one more than a growth delay ago.
        if (now.minus(receivedAt.get(k)).compareTo(Duration.ofSeconds(30)) >= 0) {
          break;
        }
      }
      assertTrue(
          quota.share(now) <= smallest + 1e-12,
          "step " + step + ": share " + quota.share(now) + " exceeds " + smallest);
      if (random.nextBoolean()) {
        double next = 1.0 / (1 + random.nextInt(20));
        quota.update(now, next);
        shares.add(next);
        receivedAt.add(now);
      }
    }
  }
}
