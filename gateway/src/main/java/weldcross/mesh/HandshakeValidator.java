package weldcross.mesh;

import java.util.Optional;

/** Decides whether the handshake of an inbound connection is accepted. */
final class HandshakeValidator {

  private final MeshConfig config;

  HandshakeValidator(MeshConfig config) {
    this.config = config;
  }

  /**
   * Checks a handshake.
   *
   * @param caller the configured peer of the name that the caller gives; empty where there is none
   * @return why it is rejected; empty where it is accepted
   */
  Optional<HandshakeRejection> validate(HandshakeRequest request, Optional<Peer> caller) {
    if (!request.cluster().equals(config.cluster())) {
      return Optional.of(HandshakeRejection.DIFFERENT_CLUSTER);
    }
    if (caller.isEmpty()) {
      return Optional.of(HandshakeRejection.UNKNOWN_PEER);
    }
    if (!request.to().equals(config.self())) {
      return Optional.of(HandshakeRejection.WRONG_RECEIVER);
    }
    if (!MeshConfig.supportsVersion(request.version())) {
      return Optional.of(HandshakeRejection.UNSUPPORTED_VERSION);
    }
    if (caller.get().isStale(request.incarnation())) {
      return Optional.of(HandshakeRejection.STALE_INCARNATION);
    }
    return Optional.empty();
  }
}
