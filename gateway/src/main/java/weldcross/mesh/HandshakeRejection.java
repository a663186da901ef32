package weldcross.mesh;

/** Why a gateway does not speak with who called it. */
public enum HandshakeRejection {
  /** It belongs to another cluster. */
  CLUSTER,
  /** Its name is not among those told. */
  NAME,
  /** It wanted another gateway. */
  NOT_ME,
  /** It speaks a version that is not understood here. */
  VERSION,
  /** A later life of it is known, or another under the same incarnation. */
  OLD
}
