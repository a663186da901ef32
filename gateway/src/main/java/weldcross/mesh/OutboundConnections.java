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
 * The connections that this gateway opens, one to each peer: connecting, handshake, heartbeats,
 * sending, and backoff after failures.
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

  // ---- Startup and shutdown

  /** Schedules an immediate connect to all peers, which the next {@link #onTimer} starts. */
  void start(Duration now) {
    byPeer.values().forEach(connection -> scheduleConnect(now, connection));
  }

  /** Resets the backoff and schedules a connect for the next {@link #onTimer}. */
  private static void scheduleConnect(Duration now, OutboundConnection connection) {
    connection.backoff.reset();
    connection.enterBackoff(now);
  }

  /** Closes all connections, for example after this gateway changed its incarnation. */
  void closeAll(Duration now, DisconnectReason reason) {
    byPeer.values().forEach(connection -> close(now, connection, reason));
  }

  /**
   * Sends a goodbye to all connected peers, so that they need not detect the shutdown by timeout,
   * and closes all connections.
   */
  void shutdown(Duration now) {
    for (OutboundConnection connection : byPeer.values()) {
      if (connection.isUp()) {
        transport.sendGoodbye(connection.id());
        transport.closeAfterFlush(connection.id());
      } else if (connection.phase() != OutboundConnection.Phase.BACKOFF) {
        transport.close(connection.id());
      }
      byId.remove(connection.id());
      connection.enterBackoff(now);
    }
  }

  // ---- Sending

  /** As {@link PeerConnectionManager#send}. */
  boolean send(Duration now, PeerName peer, int subject, ByteBuffer content, boolean dropOldest) {
    OutboundConnection connection = byPeer.get(peer);
    int size = content.remaining();
    if (connection == null || size > MeshConfig.MAX_MESSAGE_BYTES) {
      return false;
    }
    SendQueue queue = connection.queue;
    if (connection.isUp() && queue.canWriteNow(size)) {
      queue.onWriteStarted(size);
      transport.sendMessage(connection.id(), subject, content);
      return true;
    }
    boolean queued = queue.offer(new SendQueue.QueuedMessage(subject, content), dropOldest);
    if (!queued && connection.isUp() && !dropOldest) {
      closeAndBackOff(now, connection, DisconnectReason.QUEUE_FULL);
    }
    return queued;
  }

  void onWritten(long id, int bytes) {
    find(id)
        .ifPresent(
            connection -> {
              connection.queue.onWriteCompleted(bytes);
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

  // ---- Network events

  void onConnected(Duration now, long id, Incarnation localIncarnation) {
    Optional<OutboundConnection> found = find(id);
    if (found.isEmpty()) {
      transport.close(id);
      return;
    }
    OutboundConnection connection = found.get();
    connection.markHandshakeSent(now.plus(config.connectTimeout()));
    transport.sendHandshakeRequest(id, connection.peer.name(), localIncarnation);
  }

  void onConnectFailed(Duration now, long id, boolean refused) {
    Optional<OutboundConnection> found = find(id);
    if (found.isEmpty()) {
      return;
    }
    OutboundConnection connection = found.get();
    closeAndBackOff(now, connection, DisconnectReason.CONNECT_FAILED);
    if (refused) {
      listener.connectionRefused(connection.peer.name(), connection.incarnationAtConnect());
    }
  }

  /** Returns the connection with this number if it is waiting for the handshake response. */
  Optional<OutboundConnection> findAwaitingHandshake(long id) {
    return find(id).filter(connection -> connection.phase() == OutboundConnection.Phase.HANDSHAKE);
  }

  /** Marks the connection as up and sends the queued messages. */
  void onHandshakeAccepted(Duration now, OutboundConnection connection, Incarnation incarnation) {
    connection.markUp(now, incarnation, now.plus(config.heartbeatInterval()));
    listener.connectionUp(connection.peer.name(), incarnation);
    flush(connection);
  }

  /** Whether a connection with this number is open or being opened. */
  boolean isOpen(long id) {
    return byId.containsKey(id);
  }

  void onHeartbeatAck(Duration now, long id, long sequence) {
    find(id).ifPresent(connection -> connection.onHeartbeatAck(now, sequence));
  }

  /** Closes the connection with this number, if there is one, and reconnects after a backoff. */
  void fail(Duration now, long id, DisconnectReason reason) {
    find(id).ifPresent(connection -> closeAndBackOff(now, connection, reason));
  }

  void closeAndBackOff(Duration now, OutboundConnection connection, DisconnectReason reason) {
    close(now, connection, reason);
    connection.enterBackoff(now.plus(connection.backoff.nextDelay()));
  }

  /**
   * Closes the connection if it leads to an earlier incarnation of the peer, and schedules an
   * immediate reconnect.
   *
   * @return whether such a connection was closed
   */
  boolean closeIfStale(Duration now, Peer peer, Incarnation latest) {
    OutboundConnection connection = byPeer.get(peer.name());
    if (!connection.isUp() || connection.isConnectedTo(latest)) {
      return false;
    }
    close(now, connection, DisconnectReason.PEER_RESTARTED);
    scheduleConnect(now, connection);
    return true;
  }

  /**
   * Ends the backoff for a peer that has just connected to this gateway and is therefore reachable.
   *
   * @return whether a backoff after a failure was ended
   */
  boolean endBackoff(Duration now, Peer peer) {
    OutboundConnection connection = byPeer.get(peer.name());
    if (connection.phase() != OutboundConnection.Phase.BACKOFF
        || !connection.backoff.hasFailures()) {
      return false;
    }
    scheduleConnect(now, connection);
    return true;
  }

  /**
   * Closes the connection. Messages queued while it was connecting are kept for the next
   * connection; messages queued while it was up were meant for the incarnation at its other end and
   * are dropped.
   */
  private void close(Duration now, OutboundConnection connection, DisconnectReason reason) {
    if (connection.phase() == OutboundConnection.Phase.BACKOFF) {
      return;
    }
    byId.remove(connection.id());
    transport.close(connection.id());
    final boolean wasUp = connection.isUp();
    connection.enterBackoff(now);
    connection.queue.resetUnwritten();
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
      } else if (connection.isPhaseExpired(now)) {
        onPhaseExpired(now, connection);
      }
    }
  }

  private void checkHeartbeat(Duration now, OutboundConnection connection) {
    Duration sinceLastAck = now.minus(connection.lastAckAt());
    if (sinceLastAck.compareTo(config.heartbeatTimeout()) >= 0) {
      closeAndBackOff(now, connection, DisconnectReason.HEARTBEAT_TIMEOUT);
    } else if (connection.isHeartbeatDue(now)) {
      long sequence = connection.startHeartbeat(now.plus(config.heartbeatInterval()));
      transport.sendHeartbeat(connection.id(), sequence);
    }
  }

  private void onPhaseExpired(Duration now, OutboundConnection connection) {
    switch (connection.phase()) {
      case BACKOFF -> connect(now, connection);
      case CONNECTING -> closeAndBackOff(now, connection, DisconnectReason.CONNECT_FAILED);
      default -> closeAndBackOff(now, connection, DisconnectReason.HANDSHAKE_TIMEOUT);
    }
  }

  private void connect(Duration now, OutboundConnection connection) {
    long id = --lastId;
    connection.markConnecting(id, now.plus(config.connectTimeout()));
    byId.put(id, connection);
    transport.connect(id, connection.peer.name());
  }

  /** When {@link #onTimer} is due next; empty if there is no peer. */
  Optional<Duration> nextDeadline() {
    return byPeer.values().stream()
        .map(connection -> connection.nextDeadline(config.heartbeatTimeout()))
        .min(Duration::compareTo);
  }
}
