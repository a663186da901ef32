package weldcross.mesh;

/** Why a connection to a peer was closed or could not be opened. */
public enum DisconnectReason {
  /** The connect failed or exceeded the connect timeout. */
  CONNECT_FAILED,
  /** The handshake exceeded the connect timeout. */
  HANDSHAKE_TIMEOUT,
  /** The peer rejected the handshake. */
  HANDSHAKE_REJECTED,
  /** The peer responded with an incarnation older than the latest known one. */
  STALE_INCARNATION,
  /**
   * The connection is open, but within the heartbeat timeout no heartbeat was acknowledged (on an
   * outbound connection) or nothing was received (on an inbound connection).
   */
  HEARTBEAT_TIMEOUT,
  /** The send queue for the peer is full. */
  QUEUE_FULL,
  /** The peer announced its shutdown. */
  GOODBYE,
  /** The connection was closed or reset by the peer or the network. */
  CONNECTION_CLOSED,
  /** The peer opened a new connection, which replaces this one. */
  REPLACED,
  /** A later incarnation of the peer is known. */
  PEER_RESTARTED,
  /** This gateway changed to a higher incarnation. */
  LOCAL_INCARNATION_CHANGED,
  /** The received data cannot be decoded. */
  UNREADABLE_FRAME,
  /** A handshake request arrived where none is expected. */
  UNEXPECTED_HANDSHAKE_REQUEST,
  /** A handshake response arrived where none is expected. */
  UNEXPECTED_HANDSHAKE_RESPONSE,
  /** A message arrived before the handshake. */
  MESSAGE_BEFORE_HANDSHAKE
}
