package weldcross.mesh;

import java.nio.ByteBuffer;

/**
 * Network operations used by {@link PeerConnectionManager}. All calls are non-blocking; calls on
 * connections that have ended are ignored.
 *
 * <p>Connections are identified by numbers: negative for those that this gateway opens, positive
 * for those that it accepts.
 */
public interface PeerTransport {

  /**
   * Connects to the peer's configured address. The result is reported with the connection number.
   */
  void connect(long connection, PeerName to);

  /** Sends the handshake request, which identifies this gateway and the intended receiver. */
  void sendHandshakeRequest(long connection, PeerName to, Incarnation localIncarnation);

  /** Accepts a handshake. */
  void sendHandshakeResponse(long connection, Incarnation localIncarnation);

  /**
   * Rejects a handshake.
   *
   * @param knownIncarnation the highest known incarnation number of the rejected peer, or zero
   */
  void sendHandshakeRejection(long connection, HandshakeRejection reason, long knownIncarnation);

  /** Sends a heartbeat, which the peer acknowledges with the same sequence number. */
  void sendHeartbeat(long connection, long sequence);

  /** Acknowledges a heartbeat. */
  void sendHeartbeatAck(long connection, long sequence);

  /**
   * Sends a message; {@link PeerConnectionManager#onWritten} is called once it is written to the
   * network.
   */
  void sendMessage(long connection, int subject, ByteBuffer content);

  /** Announces this gateway's shutdown to the peer. */
  void sendGoodbye(long connection);

  /** Closes the connection or cancels the connect, without sending pending data. */
  void close(long connection);

  /** Closes the connection once all pending data is written. */
  void closeAfterFlush(long connection);

  /** Sends a datagram, which may be lost, duplicated or delayed. */
  void sendDatagram(PeerName to, Incarnation localIncarnation, int subject, ByteBuffer content);
}
