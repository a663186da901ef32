package weldcross.consensus;

import java.time.Duration;
import java.util.Optional;
import weldcross.mesh.PeerName;

/**
 * The leader named most recently by a voter; it may since have been replaced. Performs no I/O and
 * reads no clock.
 */
final class LeaderHint {

  private PeerName leader;
  private Duration updatedAt;

  /** Records the leader named by a voter. */
  void update(Duration now, PeerName newLeader) {
    leader = newLeader;
    updatedAt = now;
  }

  /** Returns the latest known leader; empty if no voter has named one. */
  Optional<PeerName> leader() {
    return Optional.ofNullable(leader);
  }

  /** Returns the latest known leader if the hint is younger than the maximum age at that time. */
  Optional<PeerName> leaderIfFresh(Duration time, Duration maxAge) {
    return leader().filter(known -> updatedAt.plus(maxAge).compareTo(time) > 0);
  }

  /** Returns the time since a voter last named a leader; empty if none has. */
  Optional<Duration> age(Duration now) {
    return Optional.ofNullable(updatedAt).map(now::minus);
  }
}
