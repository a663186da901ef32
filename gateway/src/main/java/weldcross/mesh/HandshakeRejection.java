package weldcross.mesh;

/** Why a gateway rejects the handshake of an inbound connection. */
public enum HandshakeRejection {
  /** The sender belongs to another cluster. */
  DIFFERENT_CLUSTER,
  /** The sender's name is not among the configured peers. */
  UNKNOWN_PEER,
  /** The request is addressed to another gateway. */
  WRONG_RECEIVER,
  /** The sender's protocol version is not supported. */
  UNSUPPORTED_VERSION,
  /**
   * A later incarnation of the sender is known, or another process with the same incarnation
   * number.
   */
  STALE_INCARNATION
}
