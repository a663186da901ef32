package weldcross.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * One peer, a heartbeat interval of 100 ms and timeout of 400 ms, a connect timeout of 200 ms for
 * the connect and for the handshake, and a first backoff of 50 to 75 ms.
 */
class OutboundConnectionsTest {

  private static final PeerName PEER_NAME = new PeerName("peer");
  private static final Incarnation SELF = new Incarnation(1, 1);
  private static final Incarnation FIRST = new Incarnation(3, 3);
  private static final Incarnation SECOND = new Incarnation(4, 4);
  private static final MeshConfig CONFIG =
      MeshSimulation.config(new PeerName("self"), List.of(PEER_NAME));

  private final Peer peer = new Peer(PEER_NAME);
  private final RecordingTransport transport = new RecordingTransport();
  private final RecordingListener listener = new RecordingListener();
  private final OutboundConnections connections =
      new OutboundConnections(CONFIG, transport, listener, List.of(peer), new SplittableRandom(1));

  private static Duration millis(long count) {
    return Duration.ofMillis(count);
  }

  private void connect() {
    connections.start(millis(0));
    connections.onTimer(millis(0));
    assertEquals(List.of("connect -1 peer"), transport.takeCalls());
  }

  private void connectAndHandshake() {
    connect();
    connections.onConnected(millis(0), -1, SELF);
    peer.setIncarnation(FIRST);
    connections.onHandshakeAccepted(
        millis(0), connections.findAwaitingHandshake(-1).orElseThrow(), FIRST);
    transport.takeCalls();
    listener.events.clear();
  }

  private boolean send(int size, boolean dropOldest) {
    return connections.send(millis(1), PEER_NAME, 1, ByteBuffer.allocate(size), dropOldest);
  }

  @Test
  void messagesQueuedBeforeTheHandshakeAreSentOnceTheConnectionIsUp() {
    connect();
    assertTrue(send(10, false));
    connections.onConnected(millis(0), -1, SELF);
    assertEquals(List.of("handshake -1 peer"), transport.takeCalls());
    connections.onHandshakeAccepted(
        millis(0), connections.findAwaitingHandshake(-1).orElseThrow(), FIRST);
    assertEquals(List.of("message -1 1 10"), transport.takeCalls());
    assertEquals(List.of("up 3"), listener.events);
  }

  @Test
  void refusedConnectReportsTheIncarnationKnownBeforeIt() {
    peer.setIncarnation(FIRST);
    connect();
    peer.setIncarnation(SECOND);
    connections.onConnectFailed(millis(1), -1, true);
    assertEquals(List.of("refused 3"), listener.events);
    Duration next = connections.nextDeadline().orElseThrow();
    assertTrue(next.compareTo(millis(51)) >= 0 && next.compareTo(millis(76)) < 0, next.toString());
  }

  @Test
  void connectAndHandshakeTimeOut() {
    connect();
    connections.onTimer(millis(200));
    assertEquals(List.of("close -1"), transport.takeCalls());
    connections.onTimer(millis(300));
    connections.onConnected(millis(400), -2, SELF);
    assertEquals(List.of("connect -2 peer", "handshake -2 peer"), transport.takeCalls());
    connections.onTimer(millis(600));
    assertEquals(List.of("close -2"), transport.takeCalls());
    assertEquals(List.of(), listener.events);
  }

  @Test
  void connectThatSucceedsAfterItsTimeoutIsClosed() {
    connect();
    connections.onTimer(millis(200));
    transport.takeCalls();
    connections.onConnected(millis(201), -1, SELF);
    assertEquals(List.of("close -1"), transport.takeCalls());
  }

  @Test
  void heartbeatsAreSentUntilOneIsNotAcknowledgedInTime() {
    connectAndHandshake();
    connections.onTimer(millis(100));
    connections.onHeartbeatAck(millis(101), -1, 1);
    connections.onTimer(millis(200));
    assertEquals(List.of("heartbeat -1 1", "heartbeat -1 2"), transport.takeCalls());
    connections.onTimer(millis(501));
    assertEquals(List.of("close -1"), transport.takeCalls());
    assertEquals(List.of("down HEARTBEAT_TIMEOUT"), listener.events);
  }

  @Test
  void acknowledgementOfAHeartbeatThatWasNotSentIsIgnored() {
    connectAndHandshake();
    connections.onHeartbeatAck(millis(300), -1, 7);
    connections.onTimer(millis(400));
    assertEquals(List.of("down HEARTBEAT_TIMEOUT"), listener.events);
  }

  @Test
  void fullQueueClosesTheConnectionOnlyForMessagesThatAreNotDroppable() {
    connectAndHandshake();
    for (int k = 0; k < 9; k++) {
      assertTrue(send(350, true));
    }
    assertEquals(List.of(), listener.events);
    assertFalse(send(350, false));
    assertEquals(List.of("down QUEUE_FULL"), listener.events);
  }

  @Test
  void oversizedMessageAndUnknownPeerAreRejected() {
    connectAndHandshake();
    assertFalse(send(MeshConfig.MAX_MESSAGE_BYTES + 1, true));
    assertFalse(
        connections.send(millis(1), new PeerName("other"), 1, ByteBuffer.allocate(1), true));
    assertEquals(List.of(), transport.takeCalls());
  }

  @Test
  void connectionToAnEarlierIncarnationIsReopenedWithoutBackoff() {
    connectAndHandshake();
    assertFalse(connections.closeIfStale(millis(5), peer, FIRST));
    assertTrue(connections.closeIfStale(millis(5), peer, SECOND));
    assertEquals(List.of("down PEER_RESTARTED"), listener.events);
    connections.onTimer(millis(5));
    assertEquals(List.of("close -1", "connect -2 peer"), transport.takeCalls());
  }

  @Test
  void shutdownSendsAGoodbyeOnAnOpenConnection() {
    connectAndHandshake();
    connections.shutdown(millis(1));
    assertEquals(List.of("goodbye -1", "flush -1"), transport.takeCalls());
  }
}
