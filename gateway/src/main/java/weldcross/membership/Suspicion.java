package weldcross.membership;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import weldcross.mesh.PeerName;

/** An open suspicion of a member: its start and the gateways that reported it. */
final class Suspicion {

  private final Duration since;
  private final Set<PeerName> reporters = new HashSet<>();

  Suspicion(Duration since, PeerName reporter) {
    this.since = since;
    reporters.add(reporter);
  }

  /**
   * Records a confirmation by another gateway; each reporter counts once.
   *
   * @return whether the confirmation is new and shortens the timeout
   */
  boolean confirm(PeerName reporter, int maxConfirmations) {
    return reporters.size() <= maxConfirmations && reporters.add(reporter);
  }

  /** Returns when the suspicion times out: sooner with each further reporter. */
  Duration deadline(FailureDetectorConfig config, int memberCount) {
    double minIntervals =
        config.minSuspicionIntervals() * Math.max(1, Math.log10(Math.max(1, memberCount)));
    double maxIntervals = minIntervals * config.maxSuspicionFactor();
    double confirmedRatio = Math.log(reporters.size()) / Math.log(config.indirectProbes() + 1.0);
    double intervals =
        Math.max(minIntervals, maxIntervals - (maxIntervals - minIntervals) * confirmedRatio);
    return since.plusNanos((long) (config.probeInterval().toNanos() * intervals));
  }
}
