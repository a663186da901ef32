package weldcross.mesh;

import java.nio.ByteBuffer;

/**
 * The network as {@link PeerConnectionManager} uses it. Each call is begun at once and never waits;
 * calls on connections that have ended are ignored.
 *
 * <p>Connections are named by numbers: below zero those that this gateway opens, above zero those
 * that it accepts.
 */
public interface PeerTransport {

  /** Connects to the peer's configured address. The result is reported under the number. */
  void connect(long connection, PeerName to);

  /** Sends the handshake request: who is calling, and whom. */
  void sendHandshakeRequest(long connection, PeerName to, Incarnation self);

  /** Accepts a handshake. */
  void sendHandshakeResponse(long connection, Incarnation self);

  /**
   * Rejects a handshake.
   *
   * @param knownIncarnation the caller's highest known incarnation number, or zero
   */
  void sendHandshakeRejection(long connection, HandshakeRejection reason, long knownIncarnation);

  /** Sends a heartbeat, which the peer acknowledges with the same number. */
  void sendHeartbeat(long connection, long sequence);

  /** Acknowledges a heartbeat. */
  void sendHeartbeatAck(long connection, long sequence);

  /**
   * Sends a message; {@link PeerConnectionManager#onWritten} is called once the network took it.
   */
  void sendMessage(long connection, int subject, ByteBuffer content);

  /** Tells the peer that this gateway is about to end. */
  void sendGoodbye(long connection);

  /** Closes the connection, or gives up the connect, at once. */
  void close(long connection);

  /** Closes the connection once what was sent on it is out. */
  void closeAfterFlush(long connection);

  /** Sends a datagram, which may be lost, repeated and delayed. */
  void sendDatagram(PeerName to, Incarnation self, int subject, ByteBuffer content);
}
