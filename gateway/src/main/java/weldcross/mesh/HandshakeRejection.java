package weldcross.mesh;

/** Why a gateway rejects the handshake of an inbound connection. */
public enum HandshakeRejection {
  /** The caller belongs to another cluster. */
  DIFFERENT_CLUSTER,
  /** The caller's name is not among the configured peers. */
  UNKNOWN_PEER,
  /** The caller wanted another gateway. */
  WRONG_RECEIVER,
  /** The caller speaks a protocol version that is not supported here. */
  UNSUPPORTED_VERSION,
  /** A later incarnation of the caller is known, or another process under the same one. */
  STALE_INCARNATION
}
