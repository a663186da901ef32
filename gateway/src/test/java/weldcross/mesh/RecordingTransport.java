package weldcross.mesh;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Records each call as text, in order. */
final class RecordingTransport implements PeerTransport {

  final List<String> calls = new ArrayList<>();

  /** Returns and clears the calls recorded so far. */
  List<String> takeCalls() {
    List<String> taken = List.copyOf(calls);
    calls.clear();
    return taken;
  }

  @Override
  public void connect(long connection, PeerName to) {
    calls.add("connect " + connection + " " + to);
  }

  @Override
  public void sendHandshakeRequest(long connection, PeerName to, Incarnation localIncarnation) {
    calls.add("handshake " + connection + " " + to);
  }

  @Override
  public void sendHandshakeResponse(long connection, Incarnation localIncarnation) {
    calls.add("accept " + connection);
  }

  @Override
  public void sendHandshakeRejection(
      long connection, HandshakeRejection reason, long knownIncarnation) {
    calls.add("reject " + connection + " " + reason);
  }

  @Override
  public void sendHeartbeat(long connection, long sequence) {
    calls.add("heartbeat " + connection + " " + sequence);
  }

  @Override
  public void sendHeartbeatAck(long connection, long sequence) {
    calls.add("ack " + connection + " " + sequence);
  }

  @Override
  public void sendMessage(long connection, int subject, ByteBuffer content) {
    calls.add("message " + connection + " " + subject + " " + content.remaining());
  }

  @Override
  public void sendGoodbye(long connection) {
    calls.add("goodbye " + connection);
  }

  @Override
  public void close(long connection) {
    calls.add("close " + connection);
  }

  @Override
  public void closeAfterFlush(long connection) {
    calls.add("flush " + connection);
  }

  @Override
  public void sendDatagram(
      PeerName to, Incarnation localIncarnation, int subject, ByteBuffer content) {
    calls.add("datagram " + to + " " + subject);
  }
}
