package weldcross.mesh;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The connections that this gateway opens, one to each peer: connect, handshake, heartbeats,
 * sending, and backoff after a failure.
 */
final class OutboundConnections {

  private final MeshConfig config;
  private final PeerTransport transport;
  private final PeerConnectionListener listener;
  private final Map<PeerName, OutboundConnection> byPeer = new TreeMap<>();
  private final Map<Long, OutboundConnection> byId = new HashMap<>();
  private long lastId;

  OutboundConnections(
      MeshConfig config,
      PeerTransport transport,
      PeerConnectionListener listener,
      Collection<Peer> peers,
      SplittableRandom random) {
    this.config = config;
    this.transport = transport;
    this.listener = listener;
    for (Peer peer : peers) {
      byPeer.put(
          peer.name(),
          new OutboundConnection(
              peer, new SendQueue(config), new ReconnectBackoff(config, random)));
    }
  }

  Optional<OutboundConnection> find(PeerName peer) {
    return Optional.ofNullable(byPeer.get(peer));
  }

  private Optional<OutboundConnection> find(long id) {
    return Optional.ofNullable(byId.get(id));
  }

  // ---- Start and end

  /** Has all peers connected at the next timer, without a backoff. */
  void start(Duration now) {
    byPeer.values().forEach(connection -> connectAtOnce(now, connection));
  }

  private static void connectAtOnce(Duration now, OutboundConnection connection) {
    connection.backoff.reset();
    connection.waitUntil(now);
  }

  /** Closes all connections, as this gateway's incarnation has changed. */
  void closeAll(Duration now, DisconnectReason reason) {
    byPeer.values().forEach(connection -> close(now, connection, reason));
  }

  /** Says goodbye to all peers, so that none has to detect that this gateway ended. */
  void leave(Duration now) {
    for (OutboundConnection connection : byPeer.values()) {
      if (connection.isUp()) {
        transport.sendGoodbye(connection.id());
        transport.closeAfterFlush(connection.id());
      } else if (connection.phase() != OutboundConnection.Phase.BACKOFF) {
        transport.close(connection.id());
      }
      byId.remove(connection.id());
      connection.waitUntil(now);
    }
  }

  // ---- Sending

  /** As {@link PeerConnectionManager#send}. */
  boolean send(Duration now, PeerName to, int subject, ByteBuffer content, boolean mayBeLost) {
    OutboundConnection connection = byPeer.get(to);
    int size = content.remaining();
    if (connection == null || size > MeshConfig.MAX_MESSAGE_BYTES) {
      return false;
    }
    SendQueue queue = connection.queue;
    if (connection.isUp() && queue.canWriteNow(size)) {
      queue.writing(size);
      transport.sendMessage(connection.id(), subject, content);
      return true;
    }
    boolean queued = queue.offer(new SendQueue.QueuedMessage(subject, content), mayBeLost);
    if (!queued && connection.isUp() && !mayBeLost) {
      closeAndBackOff(now, connection, DisconnectReason.QUEUE_FULL);
    }
    return queued;
  }

  void onWritten(long id, int bytes) {
    find(id)
        .ifPresent(
            connection -> {
              connection.queue.written(bytes);
              flush(connection);
            });
  }

  private void flush(OutboundConnection connection) {
    while (connection.isUp()) {
      Optional<SendQueue.QueuedMessage> next = connection.queue.pollWritable();
      if (next.isEmpty()) {
        return;
      }
      transport.sendMessage(connection.id(), next.get().subject(), next.get().content());
    }
  }

  // ---- Events of the network

  void onConnected(Duration now, long id, Incarnation self) {
    Optional<OutboundConnection> found = find(id);
    if (found.isEmpty()) {
      transport.close(id);
      return;
    }
    OutboundConnection connection = found.get();
    connection.handshakeSent(now.plus(config.connectTimeout()));
    transport.sendHandshakeRequest(id, connection.peer.name(), self);
  }

  void onConnectFailed(Duration now, long id, boolean refused) {
    Optional<OutboundConnection> found = find(id);
    if (found.isEmpty()) {
      return;
    }
    OutboundConnection connection = found.get();
    closeAndBackOff(now, connection, DisconnectReason.CONNECT_FAILED);
    if (refused) {
      listener.connectionRefused(connection.peer.name(), connection.knownAtConnect());
    }
  }

  /** The connection that waits for an answer to its handshake under this number. */
  Optional<OutboundConnection> findInHandshake(long id) {
    return find(id).filter(connection -> connection.phase() == OutboundConnection.Phase.HANDSHAKE);
  }

  /** The peer accepted the handshake. */
  void up(Duration now, OutboundConnection connection, Incarnation incarnation) {
    connection.up(now, incarnation, now.plus(config.heartbeatInterval()));
    listener.connectionUp(connection.peer.name(), incarnation);
    flush(connection);
  }

  /** Whether a connection of this number is open or being opened. */
  boolean isOpen(long id) {
    return byId.containsKey(id);
  }

  void onHeartbeatAck(Duration now, long id, long sequence) {
    find(id).ifPresent(connection -> connection.heartbeatAcked(now, sequence));
  }

  /** Closes the connection of this number, if there is one, and connects again after a backoff. */
  void fail(Duration now, long id, DisconnectReason reason) {
    find(id).ifPresent(connection -> closeAndBackOff(now, connection, reason));
  }

  void closeAndBackOff(Duration now, OutboundConnection connection, DisconnectReason reason) {
    close(now, connection, reason);
    connection.waitUntil(now.plus(connection.backoff.nextDelay()));
  }

  /**
   * Closes the connection to an earlier incarnation of the peer and connects again at once.
   *
   * @return whether there was one
   */
  boolean closeToEarlierIncarnation(Duration now, Peer peer, Incarnation latest) {
    OutboundConnection connection = byPeer.get(peer.name());
    if (!connection.isUp() || connection.isConnectedTo(latest)) {
      return false;
    }
    close(now, connection, DisconnectReason.PEER_RESTARTED);
    connectAtOnce(now, connection);
    return true;
  }

  /**
   * Ends the backoff of a peer that can be reached, as it has just connected to this gateway.
   *
   * @return whether it was waiting after a failure
   */
  boolean endBackoff(Duration now, Peer peer) {
    OutboundConnection connection = byPeer.get(peer.name());
    if (connection.phase() != OutboundConnection.Phase.BACKOFF
        || !connection.backoff.hasFailures()) {
      return false;
    }
    connectAtOnce(now, connection);
    return true;
  }

  /**
   * Closes the connection. Messages that were queued while it was connecting stay for the next one;
   * those queued behind an open connection were meant for the incarnation that it led to, and are
   * dropped.
   */
  private void close(Duration now, OutboundConnection connection, DisconnectReason reason) {
    if (connection.phase() == OutboundConnection.Phase.BACKOFF) {
      return;
    }
    byId.remove(connection.id());
    transport.close(connection.id());
    final boolean wasUp = connection.isUp();
    connection.waitUntil(now);
    connection.queue.forgetUnwritten();
    if (wasUp) {
      connection.queue.dropAll();
      listener.connectionDown(connection.peer.name(), reason);
    }
  }

  // ---- Timers

  void onTimer(Duration now) {
    for (OutboundConnection connection : byPeer.values()) {
      if (connection.isUp()) {
        checkHeartbeat(now, connection);
      } else if (connection.isPhaseOver(now)) {
        endPhase(now, connection);
      }
    }
  }

  private void checkHeartbeat(Duration now, OutboundConnection connection) {
    Duration silence = now.minus(connection.lastHeardAt());
    if (silence.compareTo(config.heartbeatTimeout()) >= 0) {
      closeAndBackOff(now, connection, DisconnectReason.HEARTBEAT_TIMEOUT);
    } else if (connection.isHeartbeatDue(now)) {
      long sequence = connection.nextHeartbeat(now.plus(config.heartbeatInterval()));
      transport.sendHeartbeat(connection.id(), sequence);
    }
  }

  private void endPhase(Duration now, OutboundConnection connection) {
    switch (connection.phase()) {
      case BACKOFF -> connect(now, connection);
      case CONNECTING -> closeAndBackOff(now, connection, DisconnectReason.CONNECT_FAILED);
      default -> closeAndBackOff(now, connection, DisconnectReason.HANDSHAKE_TIMEOUT);
    }
  }

  private void connect(Duration now, OutboundConnection connection) {
    long id = --lastId;
    connection.connecting(id, now.plus(config.connectTimeout()));
    byId.put(id, connection);
    transport.connect(id, connection.peer.name());
  }

  /** When the next timer is due; empty where there is no peer. */
  Optional<Duration> nextTimer() {
    return byPeer.values().stream()
        .map(connection -> connection.nextTimer(config.heartbeatTimeout()))
        .min(Duration::compareTo);
  }
}
