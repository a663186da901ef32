package weldcross.membership;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import weldcross.mesh.PeerName;

/** A member under suspicion: since when, and who shares the suspicion. */
final class Suspicion {

  private final Duration since;
  private final Set<PeerName> reporters = new HashSet<>();

  Suspicion(Duration since, PeerName reporter) {
    this.since = since;
    reporters.add(reporter);
  }

  /**
   * Counts another gateway that shares the suspicion, each once.
   *
   * @return whether it is new and shortens the suspicion
   */
  boolean confirm(PeerName reporter, int maxConfirmations) {
    return reporters.size() <= maxConfirmations && reporters.add(reporter);
  }

  /** When the member is given up: the maximum for one reporter, earlier with each further one. */
  Duration deadline(FailureDetectorConfig config, int memberCount) {
    double min = config.minSuspicion() * Math.max(1, Math.log10(Math.max(1, memberCount)));
    double max = min * config.maxSuspicionFactor();
    double confirmed = Math.log(reporters.size()) / Math.log(config.indirectProbes() + 1.0);
    double intervals = Math.max(min, max - (max - min) * confirmed);
    return since.plusNanos((long) (config.probeInterval().toNanos() * intervals));
  }
}
