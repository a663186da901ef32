package weldcross.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import weldcross.mesh.PeerName;

/** A ping of this gateway's own that is under way, and the indirect probes sent for it. */
final class Probe {

  private final PeerName target;
  private final Duration deadline;

  /** The updates that its ping carried; delivered if the target answers. */
  private final List<MembershipUpdate> updates;

  /** Empty once other members have been asked to probe. */
  private Optional<Duration> indirectProbesAt;

  private boolean acked;
  private int requestsSent;
  private int nacks;

  Probe(
      PeerName target,
      Duration indirectProbesAt,
      Duration deadline,
      List<MembershipUpdate> updates) {
    this.target = target;
    this.indirectProbesAt = Optional.of(indirectProbesAt);
    this.deadline = deadline;
    this.updates = updates;
  }

  PeerName target() {
    return target;
  }

  List<MembershipUpdate> updates() {
    return updates;
  }

  boolean isAcked() {
    return acked;
  }

  void ack() {
    acked = true;
  }

  void nack() {
    nacks++;
  }

  void requestSent() {
    requestsSent++;
  }

  void indirectProbesStarted() {
    indirectProbesAt = Optional.empty();
  }

  boolean isExpired(Duration now) {
    return deadline.compareTo(now) <= 0;
  }

  boolean needsIndirectProbes(Duration now) {
    return indirectProbesAt.isPresent() && indirectProbesAt.get().compareTo(now) <= 0;
  }

  /** When the probe has to be looked at next. */
  Duration nextTimer() {
    return acked ? deadline : indirectProbesAt.orElse(deadline);
  }

  /**
   * How much an unanswered probe worsens the local health: one for each helper that gave neither
   * ack nor nack, as a helper that is alive gives one of them; one if there was no helper.
   */
  int healthPenalty() {
    return requestsSent == 0 ? 1 : Math.max(0, requestsSent - nacks);
  }
}
