package weldcross.consensus;

import java.time.Duration;
import java.util.Optional;
import weldcross.mesh.PeerName;

/** The leader that a voter named last, which may lead no more. Pure. */
final class LeaderHint {

  private PeerName leader;
  private Duration namedAt;

  /** A voter names the leader. */
  void update(Duration now, PeerName named) {
    leader = named;
    namedAt = now;
  }

  /** The leader that was named last; empty where none ever was. */
  Optional<PeerName> leader() {
    return Optional.ofNullable(leader);
  }

  /** The leader, if by that time it has been named for less than the maximum age. */
  Optional<PeerName> freshAt(Duration time, Duration maxAge) {
    return leader().filter(named -> namedAt.plus(maxAge).compareTo(time) > 0);
  }

  /** How long ago a voter last named a leader; empty where none ever did. */
  Optional<Duration> age(Duration now) {
    return Optional.ofNullable(namedAt).map(now::minus);
  }
}
