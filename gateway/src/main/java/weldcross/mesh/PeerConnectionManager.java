package weldcross.mesh;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Manages the connections between gateways: when to connect and how long to back off, which
 * handshakes to accept, when an open connection counts as broken, how much may be queued for a slow
 * peer, and from which incarnation of a peer messages are accepted.
 *
 * <p>A gateway sends to each peer on a connection that it opened itself, and receives on one that
 * the peer opened, because network faults can affect one direction only; the two directions then
 * work and fail independently. Messages are ordered within one connection; none is resent on the
 * next. Safety depends on none of the timeouts here: they only determine when to close a connection
 * and retry.
 *
 * <p>Deterministic: performs no I/O, reads no clock and draws random numbers from a seed. Not
 * thread-safe: called only on the gateway's event loop thread. Times are durations since an
 * arbitrary fixed origin.
 */
public final class PeerConnectionManager {

  private final PeerTransport transport;
  private final PeerConnectionListener listener;
  private final MeshConfig config;
  private final HandshakeValidator handshakeValidator;
  private final Map<PeerName, Peer> peers = new TreeMap<>();
  private final OutboundConnections outbound;
  private final InboundConnections inbound;
  private Optional<Incarnation> localIncarnation = Optional.empty();
  private boolean shuttingDown;
  private Optional<Duration> wakeAt = Optional.empty();

  /**
   * Creates a manager that opens no connection before {@link #start}.
   *
   * @param seed the seed of the backoff jitter
   */
  public PeerConnectionManager(
      MeshConfig config, PeerTransport transport, PeerConnectionListener listener, long seed) {
    this.config = config;
    this.transport = transport;
    this.listener = listener;
    this.handshakeValidator = new HandshakeValidator(config);
    for (PeerName name : config.peers()) {
      peers.put(name, new Peer(name));
    }
    this.outbound =
        new OutboundConnections(
            config, transport, listener, peers.values(), new SplittableRandom(seed));
    this.inbound = new InboundConnections(config, transport, listener);
  }

  /**
   * Connects to all peers. Called once this process's incarnation is stored, and again whenever it
   * changes to a higher one.
   */
  public void start(Duration now, Incarnation incarnation) {
    boolean restart = localIncarnation.isPresent();
    localIncarnation = Optional.of(incarnation);
    if (restart) {
      outbound.closeAll(now, DisconnectReason.LOCAL_INCARNATION_CHANGED);
    }
    outbound.start(now);
    onTimer(now);
  }

  /**
   * Sends a goodbye to all peers and closes the outbound connections. Afterwards this gateway sends
   * no messages or datagrams, opens no connections and sets no timer.
   */
  public void shutdown(Duration now) {
    shuttingDown = true;
    outbound.shutdown(now);
  }

  // ---- Sending

  /**
   * Sends a message to a peer, in order after earlier ones, or queues it until the connection is up
   * and can take it.
   *
   * @param dropOldest if true and the queue is full, the oldest queued messages are dropped to make
   *     room for this one, also those that were sent with false. If false, this message is not
   *     accepted, and the connection is closed if it is up, so that the loss is reported by {@link
   *     PeerConnectionListener#connectionDown}
   * @return false if the message was not accepted: the peer is not configured, the content is
   *     longer than {@link MeshConfig#MAX_MESSAGE_BYTES}, the queue is full, or this gateway is
   *     shutting down
   */
  public boolean send(
      Duration now, PeerName peer, int subject, ByteBuffer content, boolean dropOldest) {
    if (shuttingDown) {
      return false;
    }
    boolean accepted = outbound.send(now, peer, subject, content, dropOldest);
    if (!accepted) {
      // A full queue may have closed the connection, which is reopened after a backoff.
      scheduleNextTimer(now);
    }
    return accepted;
  }

  /**
   * Sends a datagram, which may be lost.
   *
   * @return false if it was not sent: the peer is not configured, or this gateway has not started
   *     or is shutting down
   */
  public boolean sendDatagram(PeerName peer, int subject, ByteBuffer content) {
    if (!peers.containsKey(peer) || shuttingDown || localIncarnation.isEmpty()) {
      return false;
    }
    transport.sendDatagram(peer, localIncarnation.get(), subject, content);
    return true;
  }

  /** Reports that message bytes of this connection were written to the network. */
  public void onWritten(long connection, int bytes) {
    outbound.onWritten(connection, bytes);
  }

  // ---- Outbound connections

  /** A connect succeeded. */
  public void onConnected(Duration now, long connection) {
    localIncarnation.ifPresent(incarnation -> outbound.onConnected(now, connection, incarnation));
    scheduleNextTimer(now);
  }

  /**
   * A connect failed.
   *
   * @param refused whether the connect was refused, which means that no process listens on the
   *     address
   */
  public void onConnectFailed(Duration now, long connection, boolean refused) {
    outbound.onConnectFailed(now, connection, refused);
    scheduleNextTimer(now);
  }

  /** The peer accepted the handshake. */
  public void onHandshakeResponse(Duration now, long connection, Incarnation incarnation) {
    Optional<OutboundConnection> found = outbound.findAwaitingHandshake(connection);
    if (found.isEmpty()) {
      onProtocolError(now, connection, DisconnectReason.UNEXPECTED_HANDSHAKE_RESPONSE);
      return;
    }
    Peer peer = found.get().peer;
    if (peer.isStale(incarnation)) {
      outbound.closeAndBackOff(now, found.get(), DisconnectReason.STALE_INCARNATION);
    } else {
      updateIncarnation(now, peer, incarnation);
      outbound.onHandshakeAccepted(now, found.get(), incarnation);
    }
    scheduleNextTimer(now);
  }

  /**
   * The peer rejected the handshake; this gateway retries with increasing backoff.
   *
   * @param knownIncarnation number of this gateway's latest incarnation known to the peer; 0 unless
   *     the reason is {@link HandshakeRejection#STALE_INCARNATION}
   */
  public void onHandshakeRejection(
      Duration now, long connection, HandshakeRejection reason, long knownIncarnation) {
    if (!outbound.isOpen(connection)) {
      return;
    }
    outbound.fail(now, connection, DisconnectReason.HANDSHAKE_REJECTED);
    scheduleNextTimer(now);
    // The peer rejects an equal number only from another process: stored data was lost, and the
    // number was assigned twice.
    boolean numberAlreadyUsed =
        localIncarnation.isPresent() && knownIncarnation >= localIncarnation.get().number();
    if (reason == HandshakeRejection.STALE_INCARNATION && numberAlreadyUsed) {
      listener.localIncarnationOutdated(knownIncarnation);
    }
  }

  /** The peer acknowledged a heartbeat. */
  public void onHeartbeatAck(Duration now, long connection, long sequence) {
    outbound.onHeartbeatAck(now, connection, sequence);
  }

  // ---- Inbound connections

  /**
   * A connection to this gateway was accepted.
   *
   * @param fromPeerHost whether the remote address is a host on which a peer listens; other
   *     connections are closed
   */
  public void onAccepted(Duration now, long connection, boolean fromPeerHost) {
    if (!fromPeerHost) {
      transport.close(connection);
    } else if (inbound.accept(now, connection)) {
      scheduleNextTimer(now);
    }
  }

  /** A handshake request was received on an inbound connection. */
  public void onHandshakeRequest(Duration now, long connection, HandshakeRequest request) {
    Optional<InboundConnections.InboundConnection> inboundConnection =
        inbound.find(connection).filter(candidate -> candidate.peer().isEmpty());
    if (inboundConnection.isEmpty()) {
      onProtocolError(now, connection, DisconnectReason.UNEXPECTED_HANDSHAKE_REQUEST);
      return;
    }
    Optional<Peer> peer = findPeer(request.from());
    Optional<HandshakeRejection> rejection = handshakeValidator.validate(request, peer);
    if (rejection.isPresent()) {
      rejectHandshake(connection, rejection.get(), peer);
    } else if (localIncarnation.isEmpty() || shuttingDown) {
      inbound.remove(connection, DisconnectReason.HANDSHAKE_REJECTED);
      transport.close(connection);
    } else {
      acceptHandshake(
          now, inboundConnection.get(), connection, peer.orElseThrow(), request.incarnation());
    }
  }

  private void rejectHandshake(long connection, HandshakeRejection reason, Optional<Peer> peer) {
    inbound.remove(connection, DisconnectReason.HANDSHAKE_REJECTED);
    long knownIncarnation = 0;
    if (reason == HandshakeRejection.STALE_INCARNATION) {
      knownIncarnation = peer.flatMap(Peer::incarnation).map(Incarnation::number).orElse(0L);
    }
    transport.sendHandshakeRejection(connection, reason, knownIncarnation);
    transport.closeAfterFlush(connection);
  }

  private void acceptHandshake(
      Duration now,
      InboundConnections.InboundConnection inboundConnection,
      long connection,
      Peer peer,
      Incarnation incarnation) {
    updateIncarnation(now, peer, incarnation);
    inbound.establish(now, inboundConnection, peer, incarnation);
    localIncarnation.ifPresent(local -> transport.sendHandshakeResponse(connection, local));
    if (outbound.endBackoff(now, peer)) {
      onTimer(now);
    }
  }

  /** A peer sent a heartbeat; acknowledges it. */
  public void onHeartbeat(Duration now, long connection, long sequence) {
    inbound
        .find(connection)
        .filter(inboundConnection -> inboundConnection.peer().isPresent())
        .ifPresent(
            inboundConnection -> {
              inboundConnection.markReceived(now);
              transport.sendHeartbeatAck(connection, sequence);
            });
  }

  /** A peer sent a message. */
  public void onMessage(Duration now, long connection, int subject, ByteBuffer content) {
    Optional<InboundConnections.InboundConnection> found = inbound.find(connection);
    if (found.isEmpty()) {
      return;
    }
    InboundConnections.InboundConnection inboundConnection = found.get();
    if (inboundConnection.peer().isEmpty()) {
      onProtocolError(now, connection, DisconnectReason.MESSAGE_BEFORE_HANDSHAKE);
      return;
    }
    inboundConnection.markReceived(now);
    listener.messageReceived(
        inboundConnection.peer().get().name(),
        inboundConnection.incarnation().orElseThrow(),
        subject,
        content);
  }

  /**
   * A datagram was received. Datagrams of another cluster, an unknown peer, an unsupported protocol
   * version or a stale incarnation are ignored.
   */
  public void onDatagram(Duration now, DatagramHeader header, int subject, ByteBuffer content) {
    Optional<Peer> sender =
        findPeer(header.from())
            .filter(peer -> header.cluster().equals(config.cluster()))
            .filter(peer -> MeshConfig.supportsVersion(header.version()))
            .filter(peer -> !peer.isStale(header.incarnation()));
    if (sender.isPresent()) {
      updateIncarnation(now, sender.get(), header.incarnation());
      listener.messageReceived(header.from(), header.incarnation(), subject, content);
    }
  }

  /** A peer announced its shutdown. */
  public void onGoodbye(Duration now, long connection) {
    Optional<Peer> peer =
        inbound
            .remove(connection, DisconnectReason.GOODBYE)
            .flatMap(InboundConnections.InboundConnection::peer);
    if (peer.isEmpty()) {
      return;
    }
    transport.close(connection);
    outbound
        .find(peer.get().name())
        .filter(OutboundConnection::isUp)
        .ifPresent(
            outboundConnection -> {
              outbound.closeAndBackOff(now, outboundConnection, DisconnectReason.GOODBYE);
              scheduleNextTimer(now);
            });
  }

  // ---- Closed connections

  /** An inbound or outbound connection has ended. */
  public void onClosed(Duration now, long connection) {
    inbound.remove(connection, DisconnectReason.CONNECTION_CLOSED);
    outbound.fail(now, connection, DisconnectReason.CONNECTION_CLOSED);
    scheduleNextTimer(now);
  }

  /**
   * Received data violates the protocol: closes the connection on which it arrived, and no other.
   */
  public void onProtocolError(Duration now, long connection, DisconnectReason reason) {
    transport.close(connection);
    inbound.remove(connection, reason);
    outbound.fail(now, connection, reason);
    scheduleNextTimer(now);
  }

  /**
   * Records the incarnation of a peer; a later one closes the connections to and from earlier ones.
   */
  private void updateIncarnation(Duration now, Peer peer, Incarnation incarnation) {
    if (peer.isCurrent(incarnation)) {
      return;
    }
    peer.setIncarnation(incarnation);
    inbound.closeIfStale(peer, incarnation);
    if (outbound.closeIfStale(now, peer, incarnation)) {
      scheduleNextTimer(now);
    }
  }

  // ---- Timers

  /** Performs all actions due by now and requests the next timer. */
  public void onTimer(Duration now) {
    if (shuttingDown || localIncarnation.isEmpty()) {
      return;
    }
    outbound.onTimer(now);
    inbound.onTimer(now);
    wakeAt = Optional.empty();
    scheduleNextTimer(now);
  }

  private void scheduleNextTimer(Duration now) {
    Optional<Duration> next =
        Stream.of(outbound.nextDeadline(), inbound.nextDeadline())
            .flatMap(Optional::stream)
            .min(Duration::compareTo);
    if (shuttingDown || next.isEmpty()) {
      return;
    }
    if (wakeAt.isEmpty() || next.get().compareTo(wakeAt.get()) < 0) {
      Duration when = next.get().compareTo(now) > 0 ? next.get() : now;
      wakeAt = Optional.of(when);
      listener.wakeAt(when);
    }
  }

  // ---- State

  private Optional<Peer> findPeer(PeerName name) {
    return Optional.ofNullable(peers.get(name));
  }

  /** Whether the outbound connection to the peer is up. */
  public boolean isUp(PeerName name) {
    return outbound.find(name).map(OutboundConnection::isUp).orElse(false);
  }

  /** All configured peers, ordered by name. */
  public Set<PeerName> peers() {
    return Collections.unmodifiableSet(peers.keySet());
  }

  /**
   * When something was last received from the peer on a connection that is still open; empty if
   * none is open.
   */
  public Optional<Duration> lastHeardAt(PeerName name) {
    Optional<Duration> received =
        inbound.findEstablished(name).map(InboundConnections.InboundConnection::lastReceivedAt);
    Optional<Duration> acknowledged =
        outbound.find(name).filter(OutboundConnection::isUp).map(OutboundConnection::lastAckAt);
    return Stream.of(received, acknowledged).flatMap(Optional::stream).max(Duration::compareTo);
  }

  /** The latest known incarnation of the peer; empty if none is known. */
  public Optional<Incarnation> incarnationOf(PeerName name) {
    return findPeer(name).flatMap(Peer::incarnation);
  }

  /** Messages queued for the peer; zero for a name that is not configured. */
  public int queuedMessages(PeerName name) {
    return outbound.find(name).map(connection -> connection.queue.messageCount()).orElse(0);
  }

  /**
   * Bytes queued for the peer plus bytes passed to its connection and not yet written to the
   * network; zero for a name that is not configured.
   */
  public int queuedBytes(PeerName name) {
    return outbound.find(name).map(connection -> connection.queue.totalBytes()).orElse(0);
  }

  /**
   * One line describing the state, without a line terminator: this gateway's incarnation and each
   * peer.
   */
  public String describe() {
    StringBuilder line =
        new StringBuilder("mesh: incarnation=")
            .append(localIncarnation.map(local -> String.valueOf(local.number())).orElse("none"));
    for (Peer peer : peers.values()) {
      outbound.find(peer.name()).ifPresent(connection -> describe(line, connection));
    }
    return line.toString();
  }

  private void describe(StringBuilder line, OutboundConnection connection) {
    Peer peer = connection.peer;
    line.append("; peer=").append(peer.name()).append(" phase=").append(connection.phase());
    peer.incarnation().ifPresent(known -> line.append(" incarnation=").append(known.number()));
    line.append(
        inbound.findEstablished(peer.name()).isPresent() ? " inbound=open" : " inbound=none");
    if (connection.queue.messageCount() > 0) {
      line.append(" queued=").append(connection.queue.messageCount());
    }
    if (connection.queue.droppedCount() > 0) {
      line.append(" dropped=").append(connection.queue.droppedCount());
    }
  }
}
