package weldcross.consensus;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;

/**
 * This gateway's share, from 0 to 1, of the budgets that are divided among all gateways.
 *
 * <p>Gateways receive a view at different times. To keep the sum of all shares in force at or below
 * 1, a decrease takes effect immediately and an increase only after the growth delay. Performs no
 * I/O and reads no clock.
 */
final class FleetQuota {

  private record ShareUpdate(Duration receivedAt, double share) {}

  private final Duration growthDelay;

  /** Strictly increasing shares: the first is in force, the others await the growth delay. */
  private final ArrayDeque<ShareUpdate> updates = new ArrayDeque<>();

  /**
   * Creates a quota that starts at the configured share.
   *
   * @param configuredShare share in force until a view changes it
   * @param growthDelay how long a larger share must have been known before it takes effect
   */
  FleetQuota(double configuredShare, Duration growthDelay) {
    this.growthDelay = growthDelay;
    updates.add(new ShareUpdate(Duration.ZERO, configuredShare));
  }

  /** Records the share that results from a new view. */
  void update(Duration now, double share) {
    while (!updates.isEmpty() && updates.peekLast().share() >= share) {
      updates.pollLast();
    }
    updates.add(new ShareUpdate(now, share));
  }

  /** Returns the share in force at the given time. */
  double share(Duration now) {
    while (updates.size() > 1 && isGrowthDelayOver(now, nextUpdate())) {
      updates.poll();
    }
    return updates.peek().share();
  }

  /** Returns when the share next increases; empty if no increase is pending. */
  Optional<Duration> nextGrowthAt() {
    return updates.size() > 1
        ? Optional.of(nextUpdate().receivedAt().plus(growthDelay))
        : Optional.empty();
  }

  private boolean isGrowthDelayOver(Duration now, ShareUpdate update) {
    return now.minus(update.receivedAt()).compareTo(growthDelay) >= 0;
  }

  private ShareUpdate nextUpdate() {
    Iterator<ShareUpdate> iterator = updates.iterator();
    iterator.next();
    return iterator.next();
  }
}
