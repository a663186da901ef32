package weldcross.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import weldcross.mesh.PeerName;

/** A pending ping of this gateway and the indirect probes requested for it. */
final class Probe {

  private final PeerName target;
  private final Duration deadline;

  /** Updates piggybacked on the ping; counted as delivered once the target acks. */
  private final List<MembershipUpdate> updates;

  /** Empty once indirect probes have been requested. */
  private Optional<Duration> indirectProbesAt;

  private boolean acked;
  private int pingRequestsSent;
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

  void recordAck() {
    acked = true;
  }

  void recordNack() {
    nacks++;
  }

  void recordPingRequest() {
    pingRequestsSent++;
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

  /** Returns when the probe must be checked next; an acked probe is removed then. */
  Duration nextDeadline() {
    return acked ? deadline : indirectProbesAt.orElse(deadline);
  }

  /**
   * Returns the points that an unanswered probe adds to the {@link LocalHealth} score, of which
   * more points are worse: one per relay that sent neither ack nor nack, as every live relay sends
   * one of them; one if there was no relay.
   */
  int healthPenalty() {
    return pingRequestsSent == 0 ? 1 : Math.max(0, pingRequestsSent - nacks);
  }
}
