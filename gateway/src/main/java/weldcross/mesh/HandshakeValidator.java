package weldcross.mesh;

import java.util.Optional;

/** Decides whether the handshake of an inbound connection is accepted. */
final class HandshakeValidator {

  private final MeshConfig config;

  HandshakeValidator(MeshConfig config) {
    this.config = config;
  }

  /**
   * Validates a handshake request.
   *
   * @param sender the configured peer with the name stated in the request; empty if there is none
   * @return the reason for the rejection; empty if the handshake is accepted
   */
  Optional<HandshakeRejection> validate(HandshakeRequest request, Optional<Peer> sender) {
    if (!request.cluster().equals(config.cluster())) {
      return Optional.of(HandshakeRejection.DIFFERENT_CLUSTER);
    }
    if (sender.isEmpty()) {
      return Optional.of(HandshakeRejection.UNKNOWN_PEER);
    }
    if (!request.to().equals(config.self())) {
      return Optional.of(HandshakeRejection.WRONG_RECEIVER);
    }
    if (!MeshConfig.supportsVersion(request.version())) {
      return Optional.of(HandshakeRejection.UNSUPPORTED_VERSION);
    }
    if (sender.get().isStale(request.incarnation())) {
      return Optional.of(HandshakeRejection.STALE_INCARNATION);
    }
    return Optional.empty();
  }
}
