package weldcross.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Connections opened by peers, with at most one established connection per peer. */
final class InboundConnections {

  /**
   * Accepted connections per configured peer: after a network cut, the old connection may still be
   * open when the peer connects again.
   */
  private static final int MAX_CONNECTIONS_PER_PEER = 2;

  /** A connection accepted by this gateway. */
  static final class InboundConnection {
    private final long id;
    private Optional<Peer> peer = Optional.empty();
    private Optional<Incarnation> incarnation = Optional.empty();
    private Duration lastReceivedAt;

    private InboundConnection(long id, Duration now) {
      this.id = id;
      this.lastReceivedAt = now;
    }

    /** The peer that opened the connection; empty before the handshake. */
    Optional<Peer> peer() {
      return peer;
    }

    /** The peer's incarnation; empty before the handshake. */
    Optional<Incarnation> incarnation() {
      return incarnation;
    }

    Duration lastReceivedAt() {
      return lastReceivedAt;
    }

    void markReceived(Duration now) {
      lastReceivedAt = now;
    }
  }

  private final MeshConfig config;
  private final PeerTransport transport;
  private final PeerConnectionListener listener;
  private final Map<Long, InboundConnection> byId = new TreeMap<>();
  private final Map<PeerName, InboundConnection> established = new HashMap<>();

  InboundConnections(MeshConfig config, PeerTransport transport, PeerConnectionListener listener) {
    this.config = config;
    this.transport = transport;
    this.listener = listener;
  }

  Optional<InboundConnection> find(long id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** The established connection of the peer, on which its messages are received. */
  Optional<InboundConnection> findEstablished(PeerName peer) {
    return Optional.ofNullable(established.get(peer));
  }

  /**
   * Registers a new connection.
   *
   * @return false if it was closed because there are too many connections
   */
  boolean accept(Duration now, long id) {
    if (byId.size() >= MAX_CONNECTIONS_PER_PEER * config.peers().size()) {
      transport.close(id);
      return false;
    }
    byId.put(id, new InboundConnection(id, now));
    return true;
  }

  /**
   * Establishes the connection after its handshake was accepted; it replaces an earlier connection
   * of the peer.
   */
  void establish(Duration now, InboundConnection connection, Peer peer, Incarnation incarnation) {
    findEstablished(peer.name()).ifPresent(earlier -> close(earlier, DisconnectReason.REPLACED));
    connection.peer = Optional.of(peer);
    connection.incarnation = Optional.of(incarnation);
    connection.markReceived(now);
    established.put(peer.name(), connection);
    listener.inboundConnectionUp(peer.name(), incarnation);
  }

  /** Closes the peer's connection if it belongs to an earlier incarnation. */
  void closeIfStale(Peer peer, Incarnation latest) {
    findEstablished(peer.name())
        .filter(connection -> !connection.incarnation.equals(Optional.of(latest)))
        .ifPresent(connection -> close(connection, DisconnectReason.PEER_RESTARTED));
  }

  private void close(InboundConnection connection, DisconnectReason reason) {
    remove(connection.id, reason);
    transport.close(connection.id);
  }

  /** Removes the connection and returns it if it was registered. */
  Optional<InboundConnection> remove(long id, DisconnectReason reason) {
    InboundConnection connection = byId.remove(id);
    if (connection == null) {
      return Optional.empty();
    }
    connection.peer.ifPresent(
        peer -> {
          established.remove(peer.name(), connection);
          listener.inboundConnectionDown(peer.name(), reason);
        });
    return Optional.of(connection);
  }

  /** Closes the connections on which nothing was received within their timeout. */
  void onTimer(Duration now) {
    for (InboundConnection connection : byId.values().toArray(InboundConnection[]::new)) {
      if (expiresAt(connection).compareTo(now) <= 0) {
        close(connection, DisconnectReason.HEARTBEAT_TIMEOUT);
      }
    }
  }

  /**
   * The handshake must complete within the connect timeout, so that clients that send none do not
   * exhaust the connection limit.
   */
  private Duration expiresAt(InboundConnection connection) {
    return connection.lastReceivedAt.plus(
        connection.peer.isEmpty() ? config.connectTimeout() : config.heartbeatTimeout());
  }

  /** When the next connection expires; empty if there is none. */
  Optional<Duration> nextDeadline() {
    return byId.values().stream().map(this::expiresAt).min(Duration::compareTo);
  }
}
