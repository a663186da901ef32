package weldcross.mesh.net;

import java.time.Duration;
import weldcross.mesh.PeerConnectionManager;
import weldcross.mesh.wire.Frame;

/** Passes received frames to the connection manager, on the gateway's event loop thread. */
final class FrameDispatcher {

  private final PeerConnectionManager connections;

  FrameDispatcher(PeerConnectionManager connections) {
    this.connections = connections;
  }

  void dispatch(Duration now, long connection, Frame frame) {
    switch (frame.getKindCase()) {
      case HANDSHAKE_REQUEST ->
          connections.onHandshakeRequest(
              now, connection, MeshMessages.decode(frame.getHandshakeRequest()));
      case HANDSHAKE_RESPONSE ->
          connections.onHandshakeResponse(
              now, connection, MeshMessages.decode(frame.getHandshakeResponse().getIncarnation()));
      case HANDSHAKE_REJECTED ->
          connections.onHandshakeRejection(
              now,
              connection,
              HandshakeRejectionNames.rejectionOf(frame.getHandshakeRejected().getReason()),
              frame.getHandshakeRejected().getKnownIncarnation());
      case HEARTBEAT -> connections.onHeartbeat(now, connection, frame.getHeartbeat());
      case HEARTBEAT_ACK -> connections.onHeartbeatAck(now, connection, frame.getHeartbeatAck());
      case MESSAGE ->
          connections.onMessage(
              now,
              connection,
              frame.getMessage().getSubject(),
              frame.getMessage().getContent().asReadOnlyByteBuffer());
      case GOODBYE -> connections.onGoodbye(now, connection);
      default -> {
        // Ignore frame kinds of later protocol versions.
      }
    }
  }
}
