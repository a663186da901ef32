package weldcross.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The connections that peers opened to this gateway; at most one that is established a peer. */
final class InboundConnections {

  /**
   * Connections accepted for each peer: one that was cut may not have ended when the next one
   * comes.
   */
  private static final int MAX_PER_PEER = 2;

  /** A connection that somebody opened to this gateway. */
  static final class InboundConnection {
    private final long id;
    private Optional<Peer> peer = Optional.empty();
    private Optional<Incarnation> incarnation = Optional.empty();
    private Duration lastHeardAt;

    private InboundConnection(long id, Duration now) {
      this.id = id;
      this.lastHeardAt = now;
    }

    /** Who opened it; empty before its handshake. */
    Optional<Peer> peer() {
      return peer;
    }

    /** The peer's incarnation; empty before its handshake. */
    Optional<Incarnation> incarnation() {
      return incarnation;
    }

    Duration lastHeardAt() {
      return lastHeardAt;
    }

    void heard(Duration now) {
      lastHeardAt = now;
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

  /** The connection on which the peer is heard. */
  Optional<InboundConnection> findEstablished(PeerName peer) {
    return Optional.ofNullable(established.get(peer));
  }

  /**
   * Takes a new connection.
   *
   * @return false where there are too many, and it was closed
   */
  boolean accept(Duration now, long id) {
    if (byId.size() >= MAX_PER_PEER * config.peers().size()) {
      transport.close(id);
      return false;
    }
    byId.put(id, new InboundConnection(id, now));
    return true;
  }

  /** The handshake was accepted: the connection takes the place of an earlier one of the peer. */
  void establish(Duration now, InboundConnection connection, Peer peer, Incarnation incarnation) {
    findEstablished(peer.name()).ifPresent(earlier -> close(earlier, DisconnectReason.REPLACED));
    connection.peer = Optional.of(peer);
    connection.incarnation = Optional.of(incarnation);
    connection.heard(now);
    established.put(peer.name(), connection);
    listener.inboundConnectionUp(peer.name(), incarnation);
  }

  /** Closes the connection of an earlier incarnation of the peer. */
  void closeOfEarlierIncarnation(Peer peer, Incarnation latest) {
    findEstablished(peer.name())
        .filter(connection -> !connection.incarnation.equals(Optional.of(latest)))
        .ifPresent(connection -> close(connection, DisconnectReason.PEER_RESTARTED));
  }

  private void close(InboundConnection connection, DisconnectReason reason) {
    remove(connection.id, reason);
    transport.close(connection.id);
  }

  /** Forgets the connection, and returns it if it was known. */
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

  /** Closes the connections of which nothing was heard for too long. */
  void onTimer(Duration now) {
    for (InboundConnection connection : byId.values().toArray(InboundConnection[]::new)) {
      if (expiresAt(connection).compareTo(now) <= 0) {
        close(connection, DisconnectReason.HEARTBEAT_TIMEOUT);
      }
    }
  }

  /**
   * A caller has the connect timeout for its handshake, so that silent callers do not hold the
   * places of peers.
   */
  private Duration expiresAt(InboundConnection connection) {
    return connection.lastHeardAt.plus(
        connection.peer.isEmpty() ? config.connectTimeout() : config.heartbeatTimeout());
  }

  /** When the next connection expires; empty where there is none. */
  Optional<Duration> nextTimer() {
    return byId.values().stream().map(this::expiresAt).min(Duration::compareTo);
  }
}
