package weldcross.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** One peer, a connect timeout of 200 ms for the handshake and a heartbeat timeout of 400 ms. */
class InboundConnectionsTest {

  private static final PeerName PEER_NAME = new PeerName("peer");
  private static final Incarnation FIRST = new Incarnation(1, 1);
  private static final Incarnation SECOND = new Incarnation(2, 2);
  private static final MeshConfig CONFIG =
      MeshSimulation.config(new PeerName("self"), List.of(PEER_NAME));

  private final Peer peer = new Peer(PEER_NAME);
  private final RecordingTransport transport = new RecordingTransport();
  private final RecordingListener listener = new RecordingListener();
  private final InboundConnections connections =
      new InboundConnections(CONFIG, transport, listener);

  private static Duration millis(long count) {
    return Duration.ofMillis(count);
  }

  private void establish(Duration now, long id, Incarnation incarnation) {
    assertTrue(connections.accept(now, id));
    connections.establish(now, connections.find(id).orElseThrow(), peer, incarnation);
  }

  @Test
  void connectionAboveTheLimitIsClosed() {
    assertTrue(connections.accept(millis(0), 1));
    assertTrue(connections.accept(millis(0), 2));
    assertFalse(connections.accept(millis(0), 3));
    assertEquals(List.of("close 3"), transport.takeCalls());
  }

  @Test
  void laterConnectionReplacesTheEstablishedOne() {
    establish(millis(0), 1, FIRST);
    establish(millis(0), 2, FIRST);
    assertEquals(List.of("close 1"), transport.takeCalls());
    assertEquals(connections.find(2), connections.findEstablished(PEER_NAME));
    assertEquals(Optional.empty(), connections.find(1));
  }

  @Test
  void connectionOfAnEarlierIncarnationIsClosed() {
    establish(millis(0), 1, FIRST);
    connections.closeIfStale(peer, FIRST);
    assertEquals(List.of(), transport.takeCalls());
    connections.closeIfStale(peer, SECOND);
    assertEquals(List.of("close 1"), transport.takeCalls());
    assertEquals(Optional.empty(), connections.findEstablished(PEER_NAME));
  }

  @Test
  void closeOfAReplacedConnectionKeepsTheEstablishedOne() {
    establish(millis(0), 1, FIRST);
    establish(millis(0), 2, FIRST);
    assertEquals(Optional.empty(), connections.remove(1, DisconnectReason.CONNECTION_CLOSED));
    assertTrue(connections.findEstablished(PEER_NAME).isPresent());
    assertTrue(connections.remove(2, DisconnectReason.CONNECTION_CLOSED).isPresent());
    assertEquals(Optional.empty(), connections.findEstablished(PEER_NAME));
    assertEquals(
        List.of(
            "inbound up 1",
            "inbound down REPLACED",
            "inbound up 1",
            "inbound down CONNECTION_CLOSED"),
        listener.events);
  }

  @Test
  void connectionWithoutAHandshakeExpiresAfterTheConnectTimeout() {
    connections.accept(millis(0), 1);
    assertEquals(Optional.of(millis(200)), connections.nextDeadline());
    connections.onTimer(millis(199));
    assertEquals(List.of(), transport.takeCalls());
    connections.onTimer(millis(200));
    assertEquals(List.of("close 1"), transport.takeCalls());
    assertEquals(Optional.empty(), connections.nextDeadline());
  }

  @Test
  void establishedConnectionExpiresAfterTheHeartbeatTimeout() {
    establish(millis(0), 1, FIRST);
    connections.find(1).orElseThrow().markReceived(millis(300));
    assertEquals(Optional.of(millis(700)), connections.nextDeadline());
    connections.onTimer(millis(699));
    assertEquals(List.of(), transport.takeCalls());
    connections.onTimer(millis(700));
    assertEquals(List.of("close 1"), transport.takeCalls());
    assertEquals(List.of("inbound up 1", "inbound down HEARTBEAT_TIMEOUT"), listener.events);
  }
}
