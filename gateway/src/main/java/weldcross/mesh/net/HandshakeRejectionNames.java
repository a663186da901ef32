package weldcross.mesh.net;

import java.util.Map;
import java.util.stream.Collectors;
import weldcross.mesh.HandshakeRejection;

/**
 * The wire names of handshake rejections. They are part of the protocol and independent of the
 * names of the {@link HandshakeRejection} constants.
 */
final class HandshakeRejectionNames {

  private static final Map<HandshakeRejection, String> NAMES =
      Map.of(
          HandshakeRejection.DIFFERENT_CLUSTER, "CLUSTER",
          HandshakeRejection.UNKNOWN_PEER, "NAME",
          HandshakeRejection.WRONG_RECEIVER, "NOT_ME",
          HandshakeRejection.UNSUPPORTED_VERSION, "VERSION",
          HandshakeRejection.STALE_INCARNATION, "OLD");

  private static final Map<String, HandshakeRejection> REJECTIONS =
      NAMES.entrySet().stream()
          .collect(Collectors.toUnmodifiableMap(Map.Entry::getValue, Map.Entry::getKey));

  private HandshakeRejectionNames() {}

  static String nameOf(HandshakeRejection rejection) {
    return NAMES.get(rejection);
  }

  /**
   * The rejection with the given wire name; an unknown name, as sent by a later version, maps to
   * {@link HandshakeRejection#UNKNOWN_PEER}.
   */
  static HandshakeRejection rejectionOf(String name) {
    return REJECTIONS.getOrDefault(name, HandshakeRejection.UNKNOWN_PEER);
  }
}
