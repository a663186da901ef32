package weldcross.mesh;

import java.util.Optional;

/** A configured peer and its latest known incarnation. */
final class Peer {

  private final PeerName name;
  private Optional<Incarnation> incarnation = Optional.empty();

  Peer(PeerName name) {
    this.name = name;
  }

  PeerName name() {
    return name;
  }

  Optional<Incarnation> incarnation() {
    return incarnation;
  }

  void setIncarnation(Incarnation latest) {
    incarnation = Optional.of(latest);
  }

  boolean isCurrent(Incarnation other) {
    return incarnation.isPresent() && incarnation.get().equals(other);
  }

  /**
   * Whether a later incarnation of the peer is known, or another process with the same incarnation
   * number.
   */
  boolean isStale(Incarnation other) {
    if (incarnation.isEmpty()) {
      return false;
    }
    Incarnation latest = incarnation.get();
    return other.number() < latest.number()
        || (other.number() == latest.number() && other.nonce() != latest.nonce());
  }
}
