package weldcross.mesh.net;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import weldcross.mesh.DatagramHeader;
import weldcross.mesh.HandshakeRejection;
import weldcross.mesh.HandshakeRequest;
import weldcross.mesh.Incarnation;
import weldcross.mesh.MeshConfig;
import weldcross.mesh.PeerName;
import weldcross.mesh.wire.Datagram;
import weldcross.mesh.wire.Frame;
import weldcross.mesh.wire.HandshakeRejected;
import weldcross.mesh.wire.HandshakeResponse;
import weldcross.mesh.wire.IncarnationId;
import weldcross.mesh.wire.Message;

/** Encodes and decodes the Protocol Buffers messages of the mesh for one gateway. */
final class MeshMessages {

  private final MeshConfig config;

  MeshMessages(MeshConfig config) {
    this.config = config;
  }

  Frame handshakeRequest(PeerName to, Incarnation localIncarnation) {
    return Frame.newBuilder()
        .setHandshakeRequest(
            weldcross.mesh.wire.HandshakeRequest.newBuilder()
                .setVersion(MeshConfig.PROTOCOL_VERSION)
                .setCluster(config.cluster())
                .setFrom(config.self().name())
                .setTo(to.name())
                .setIncarnation(encode(localIncarnation)))
        .build();
  }

  static Frame handshakeResponse(Incarnation localIncarnation) {
    return Frame.newBuilder()
        .setHandshakeResponse(
            HandshakeResponse.newBuilder()
                .setVersion(MeshConfig.PROTOCOL_VERSION)
                .setIncarnation(encode(localIncarnation)))
        .build();
  }

  static Frame handshakeRejected(HandshakeRejection reason, long knownIncarnation) {
    return Frame.newBuilder()
        .setHandshakeRejected(
            HandshakeRejected.newBuilder()
                .setReason(HandshakeRejectionNames.nameOf(reason))
                .setKnownIncarnation(knownIncarnation)
                .setNewestVersion(MeshConfig.PROTOCOL_VERSION))
        .build();
  }

  static Frame heartbeat(long sequence) {
    return Frame.newBuilder().setHeartbeat(sequence).build();
  }

  static Frame heartbeatAck(long sequence) {
    return Frame.newBuilder().setHeartbeatAck(sequence).build();
  }

  static Frame message(int subject, ByteBuffer content) {
    return Frame.newBuilder()
        .setMessage(
            Message.newBuilder()
                .setSubject(subject)
                .setContent(ByteString.copyFrom(content.duplicate())))
        .build();
  }

  static Frame goodbye() {
    return Frame.newBuilder().setGoodbye(true).build();
  }

  Datagram datagram(Incarnation localIncarnation, int subject, ByteBuffer content) {
    return Datagram.newBuilder()
        .setVersion(MeshConfig.PROTOCOL_VERSION)
        .setCluster(config.cluster())
        .setFrom(config.self().name())
        .setIncarnation(encode(localIncarnation))
        .setSubject(subject)
        .setContent(ByteString.copyFrom(content.duplicate()))
        .build();
  }

  static HandshakeRequest decode(weldcross.mesh.wire.HandshakeRequest request) {
    return new HandshakeRequest(
        request.getCluster(),
        new PeerName(request.getFrom()),
        new PeerName(request.getTo()),
        decode(request.getIncarnation()),
        request.getVersion());
  }

  static Incarnation decode(IncarnationId incarnation) {
    return new Incarnation(incarnation.getNumber(), incarnation.getNonce());
  }

  static DatagramHeader decodeHeader(Datagram datagram) {
    return new DatagramHeader(
        datagram.getCluster(),
        new PeerName(datagram.getFrom()),
        decode(datagram.getIncarnation()),
        datagram.getVersion());
  }

  private static IncarnationId encode(Incarnation incarnation) {
    return IncarnationId.newBuilder()
        .setNumber(incarnation.number())
        .setNonce(incarnation.nonce())
        .build();
  }
}
