package weldcross.mesh;

/** Why a connection to a peer was closed or could not be opened. */
public enum DisconnectReason {
  /** The connect failed, or took longer than the connect timeout. */
  CONNECT_FAILED,
  /** The handshake took longer than the connect timeout. */
  HANDSHAKE_TIMEOUT,
  /** The peer rejected the handshake. */
  HANDSHAKE_REJECTED,
  /** The peer answered as an incarnation older than the latest one known. */
  STALE_INCARNATION,
  /**
   * No heartbeat was acknowledged or, on a connection of the peer, received within the heartbeat
   * timeout, though the connection is open.
   */
  HEARTBEAT_TIMEOUT,
  /** Too much is queued for the peer. */
  QUEUE_FULL,
  /** The peer announced its end. */
  GOODBYE,
  /** The connection was closed or reset by the peer or the network. */
  CONNECTION_CLOSED,
  /** The peer opened a later connection. */
  REPLACED,
  /** A later incarnation of the peer is known. */
  PEER_RESTARTED,
  /** This gateway took a higher incarnation. */
  LOCAL_INCARNATION_CHANGED,
  /** What was received cannot be decoded. */
  UNREADABLE_FRAME,
  /** A handshake request where none is expected. */
  UNEXPECTED_HANDSHAKE_REQUEST,
  /** A handshake response where none is expected. */
  UNEXPECTED_HANDSHAKE_RESPONSE,
  /** A message before the handshake. */
  MESSAGE_BEFORE_HANDSHAKE
}
