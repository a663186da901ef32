package weldcross.consensus;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;

/**
 * This gateway's share of the budgets that all gateways divide among them, from 0 to 1.
 *
 * <p>Gateways learn of a view at different times. So that the shares in force together do not
 * exceed the whole, a share shrinks at once and grows only after its view has been known for some
 * time. Pure.
 */
final class FleetQuota {

  private record KnownShare(Duration since, double share) {}

  private final Duration growthDelay;

  /** Strictly growing: the first is in force, the others wait for their delay to pass. */
  private final ArrayDeque<KnownShare> shares = new ArrayDeque<>();

  /**
   * Creates a quota from the configured share.
   *
   * @param configuredShare in force until the first view has been known for long enough
   * @param growthDelay for which a larger share must be known before it is in force
   */
  FleetQuota(double configuredShare, Duration growthDelay) {
    this.growthDelay = growthDelay;
    shares.add(new KnownShare(Duration.ZERO, configuredShare));
  }

  /** Takes the share by the view in force from now on. */
  void update(Duration now, double share) {
    while (!shares.isEmpty() && shares.peekLast().share() >= share) {
      shares.pollLast();
    }
    shares.add(new KnownShare(now, share));
  }

  /** The share in force. */
  double share(Duration now) {
    while (shares.size() > 1 && hasMatured(now, second())) {
      shares.poll();
    }
    return shares.peek().share();
  }

  /** When the share grows next if no other view comes; empty where it does not grow. */
  Optional<Duration> nextGrowthAt() {
    return shares.size() > 1 ? Optional.of(second().since().plus(growthDelay)) : Optional.empty();
  }

  private boolean hasMatured(Duration now, KnownShare known) {
    return now.minus(known.since()).compareTo(growthDelay) >= 0;
  }

  private KnownShare second() {
    Iterator<KnownShare> each = shares.iterator();
    each.next();
    return each.next();
  }
}
