package weldcross.consensus;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * Which share of what all gateways may do together is this one's. By the agreed view it is this
 * gateway's part of all parts. Gateways learn of a view at different times: so a share shrinks at
 * once and grows late, once the view that gives more has been known for some time, and what is not
 * known never widens it. Pure.
 */
final class FleetQuota {

  private record Known(Duration since, double share) {}

  private final Duration growsAfter;

  /** Each larger than the one before: the first is in force, the others wait for their time. */
  private final ArrayDeque<Known> shares = new ArrayDeque<>();

  /**
   * @param told in force until a view has been known for long enough, from the start values
   */
  FleetQuota(double told, Duration growsAfter) {
    this.growsAfter = growsAfter;
    shares.add(new Known(Duration.ZERO, told));
  }

  /** By the view in force from now on. */
  void known(Duration now, double share) {
    while (!shares.isEmpty() && shares.peekLast().share() >= share) {
      shares.pollLast();
    }
    // Where it is the least of all it is in force at once.
    shares.add(new Known(now, share));
  }

  double share(Duration now) {
    while (shares.size() > 1 && isRipe(now, second())) {
      shares.poll();
    }
    return shares.peek().share();
  }

  /** When it grows next, if nothing else comes; null where it does not. */
  Duration growsAt() {
    return shares.size() > 1 ? second().since().plus(growsAfter) : null;
  }

  private boolean isRipe(Duration now, Known known) {
    return now.minus(known.since()).compareTo(growsAfter) >= 0;
  }

  private Known second() {
    var each = shares.iterator();
    each.next();
    return each.next();
  }
}
