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
 * Decides all about the connections between gateways: when to connect and how long to back off,
 * whose handshake to accept, when an open connection counts as broken, how much may be queued for a
 * slow peer, and which incarnation of a peer is listened to.
 *
 * <p>A gateway sends to each peer on a connection that it opened itself, and receives on one that
 * the peer opened, so that the two directions work and fail independently, as networks do. Order is
 * kept within one connection; nothing is repeated on the next. Safety rests on none of the timeouts
 * here: they only say when to give up and try again.
 *
 * <p>Pure: no I/O, no clock, random choices from a seed. Not thread-safe: called by the one thread
 * that owns the gateway's state. Times are durations since any fixed origin.
 */
public final class PeerConnectionManager {

  private final PeerTransport transport;
  private final PeerConnectionListener listener;
  private final MeshConfig config;
  private final HandshakeValidator handshakes;
  private final Map<PeerName, Peer> peers = new TreeMap<>();
  private final OutboundConnections outbound;
  private final InboundConnections inbound;
  private Optional<Incarnation> self = Optional.empty();
  private boolean leaving;
  private Optional<Duration> wakeAt = Optional.empty();

  /**
   * Creates a manager that connects to nobody before {@link #start}.
   *
   * @param seed of the jitter of backoffs
   */
  public PeerConnectionManager(
      MeshConfig config, PeerTransport transport, PeerConnectionListener listener, long seed) {
    this.config = config;
    this.transport = transport;
    this.listener = listener;
    this.handshakes = new HandshakeValidator(config);
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
   * had to take a higher one.
   */
  public void start(Duration now, Incarnation incarnation) {
    boolean again = self.isPresent();
    self = Optional.of(incarnation);
    if (again) {
      outbound.closeAll(now, DisconnectReason.LOCAL_INCARNATION_CHANGED);
    }
    outbound.start(now);
    onTimer(now);
  }

  /** Says goodbye to all peers; nothing is sent and no timer is set afterwards. */
  public void leave(Duration now) {
    leaving = true;
    outbound.leave(now);
  }

  // ---- Sending

  /**
   * Sends a message to a peer, in order behind those sent before, or queues it until the peer is
   * up.
   *
   * @param mayBeLost whether the message makes room for later ones: where the queue is full, the
   *     oldest of it are dropped first. If false, a full queue closes the connection, so that the
   *     loss is reported by {@link PeerConnectionListener#connectionDown}
   * @return false where it was not taken: the peer is not configured, the content is longer than
   *     {@link MeshConfig#MAX_MESSAGE_BYTES}, or the queue is full
   */
  public boolean send(
      Duration now, PeerName to, int subject, ByteBuffer content, boolean mayBeLost) {
    if (leaving) {
      return false;
    }
    boolean taken = outbound.send(now, to, subject, content, mayBeLost);
    if (!taken) {
      scheduleWake(now);
    }
    return taken;
  }

  /**
   * Sends a datagram, which may be lost.
   *
   * @return false where it was not sent: the peer is not configured, or this gateway has not
   *     started or is leaving
   */
  public boolean sendDatagram(PeerName to, int subject, ByteBuffer content) {
    if (!peers.containsKey(to) || leaving || self.isEmpty()) {
      return false;
    }
    transport.sendDatagram(to, self.get(), subject, content);
    return true;
  }

  /** The network took so many bytes of messages of this connection. */
  public void onWritten(long connection, int bytes) {
    outbound.onWritten(connection, bytes);
  }

  // ---- Connections that this gateway opens

  /** A connect succeeded. */
  public void onConnected(Duration now, long connection) {
    self.ifPresent(incarnation -> outbound.onConnected(now, connection, incarnation));
    scheduleWake(now);
  }

  /**
   * A connect failed.
   *
   * @param refused whether the address answered that nobody listens there
   */
  public void onConnectFailed(Duration now, long connection, boolean refused) {
    outbound.onConnectFailed(now, connection, refused);
    scheduleWake(now);
  }

  /** The peer accepted the handshake. */
  public void onHandshakeResponse(Duration now, long connection, Incarnation incarnation) {
    Optional<OutboundConnection> found = outbound.findInHandshake(connection);
    if (found.isEmpty()) {
      onProtocolError(now, connection, DisconnectReason.UNEXPECTED_HANDSHAKE_RESPONSE);
      return;
    }
    Peer peer = found.get().peer;
    if (peer.isStale(incarnation)) {
      outbound.closeAndBackOff(now, found.get(), DisconnectReason.STALE_INCARNATION);
    } else {
      learnIncarnation(now, peer, incarnation);
      outbound.up(now, found.get(), incarnation);
    }
    scheduleWake(now);
  }

  /** The peer rejected the handshake; this gateway tries again with growing backoff. */
  public void onHandshakeRejection(
      Duration now, long connection, HandshakeRejection reason, long knownIncarnation) {
    if (!outbound.isOpen(connection)) {
      return;
    }
    outbound.fail(now, connection, DisconnectReason.HANDSHAKE_REJECTED);
    scheduleWake(now);
    boolean outdated = self.isPresent() && knownIncarnation >= self.get().number();
    if (reason == HandshakeRejection.STALE_INCARNATION && outdated) {
      listener.localIncarnationOutdated(knownIncarnation);
    }
  }

  /** The peer acknowledged a heartbeat. */
  public void onHeartbeatAck(Duration now, long connection, long sequence) {
    outbound.onHeartbeatAck(now, connection, sequence);
  }

  // ---- Connections that peers open

  /**
   * Somebody opened a connection to this gateway.
   *
   * @param fromPeerHost whether it comes from a host on which a peer listens; others are closed
   */
  public void onAccepted(Duration now, long connection, boolean fromPeerHost) {
    if (!fromPeerHost) {
      transport.close(connection);
    } else if (inbound.accept(now, connection)) {
      scheduleWake(now);
    }
  }

  /** The caller says who it is, and whom it wants. */
  public void onHandshakeRequest(Duration now, long connection, HandshakeRequest request) {
    Optional<InboundConnections.InboundConnection> caller =
        inbound.find(connection).filter(each -> each.peer().isEmpty());
    if (caller.isEmpty()) {
      onProtocolError(now, connection, DisconnectReason.UNEXPECTED_HANDSHAKE_REQUEST);
      return;
    }
    Optional<Peer> peer = findPeer(request.from());
    Optional<HandshakeRejection> rejection = handshakes.validate(request, peer);
    if (rejection.isPresent()) {
      reject(connection, rejection.get(), peer);
    } else if (self.isEmpty() || leaving) {
      inbound.remove(connection, DisconnectReason.HANDSHAKE_REJECTED);
      transport.close(connection);
    } else {
      accept(now, caller.get(), connection, peer.orElseThrow(), request.incarnation());
    }
  }

  private void reject(long connection, HandshakeRejection reason, Optional<Peer> peer) {
    inbound.remove(connection, DisconnectReason.HANDSHAKE_REJECTED);
    long known = 0;
    if (reason == HandshakeRejection.STALE_INCARNATION) {
      known = peer.flatMap(Peer::incarnation).map(Incarnation::number).orElse(0L);
    }
    transport.sendHandshakeRejection(connection, reason, known);
    transport.closeAfterFlush(connection);
  }

  private void accept(
      Duration now,
      InboundConnections.InboundConnection caller,
      long connection,
      Peer peer,
      Incarnation incarnation) {
    learnIncarnation(now, peer, incarnation);
    inbound.establish(now, caller, peer, incarnation);
    self.ifPresent(own -> transport.sendHandshakeResponse(connection, own));
    if (outbound.endBackoff(now, peer)) {
      onTimer(now);
    }
  }

  /** A peer sent a heartbeat, which is acknowledged. */
  public void onHeartbeat(Duration now, long connection, long sequence) {
    inbound
        .find(connection)
        .filter(caller -> caller.peer().isPresent())
        .ifPresent(
            caller -> {
              caller.heard(now);
              transport.sendHeartbeatAck(connection, sequence);
            });
  }

  /** A peer sent a message. */
  public void onMessage(Duration now, long connection, int subject, ByteBuffer content) {
    Optional<InboundConnections.InboundConnection> found = inbound.find(connection);
    if (found.isEmpty()) {
      return;
    }
    InboundConnections.InboundConnection caller = found.get();
    if (caller.peer().isEmpty()) {
      onProtocolError(now, connection, DisconnectReason.MESSAGE_BEFORE_HANDSHAKE);
      return;
    }
    caller.heard(now);
    listener.messageReceived(
        caller.peer().get().name(), caller.incarnation().orElseThrow(), subject, content);
  }

  /**
   * A datagram came; those of another cluster, an unknown peer or an old incarnation are ignored.
   */
  public void onDatagram(Duration now, DatagramHeader header, int subject, ByteBuffer content) {
    Optional<Peer> sender =
        findPeer(header.from())
            .filter(peer -> header.cluster().equals(config.cluster()))
            .filter(peer -> MeshConfig.supportsVersion(header.version()))
            .filter(peer -> !peer.isStale(header.incarnation()));
    if (sender.isPresent()) {
      learnIncarnation(now, sender.get(), header.incarnation());
      listener.messageReceived(header.from(), header.incarnation(), subject, content);
    }
  }

  /** A peer is about to end. */
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
            own -> {
              outbound.closeAndBackOff(now, own, DisconnectReason.GOODBYE);
              scheduleWake(now);
            });
  }

  // ---- Ends of connections

  /** A connection, whoever opened it, has ended. */
  public void onClosed(Duration now, long connection) {
    inbound.remove(connection, DisconnectReason.CONNECTION_CLOSED);
    outbound.fail(now, connection, DisconnectReason.CONNECTION_CLOSED);
    scheduleWake(now);
  }

  /** What came violates the protocol: the connection it came on is closed, and no other. */
  public void onProtocolError(Duration now, long connection, DisconnectReason reason) {
    transport.close(connection);
    inbound.remove(connection, reason);
    outbound.fail(now, connection, reason);
    scheduleWake(now);
  }

  /** A later incarnation of a peer closes the connections to and from earlier ones. */
  private void learnIncarnation(Duration now, Peer peer, Incarnation incarnation) {
    if (peer.isCurrent(incarnation)) {
      return;
    }
    peer.setIncarnation(incarnation);
    inbound.closeOfEarlierIncarnation(peer, incarnation);
    if (outbound.closeToEarlierIncarnation(now, peer, incarnation)) {
      scheduleWake(now);
    }
  }

  // ---- Timers

  /** Does all that is due by now, and asks to be called again. */
  public void onTimer(Duration now) {
    if (leaving || self.isEmpty()) {
      return;
    }
    outbound.onTimer(now);
    inbound.onTimer(now);
    wakeAt = Optional.empty();
    scheduleWake(now);
  }

  private void scheduleWake(Duration now) {
    Optional<Duration> next =
        Stream.of(outbound.nextTimer(), inbound.nextTimer())
            .flatMap(Optional::stream)
            .min(Duration::compareTo);
    if (leaving || next.isEmpty()) {
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

  /** Whether messages to the peer go out at once. */
  public boolean isUp(PeerName name) {
    return outbound.find(name).map(OutboundConnection::isUp).orElse(false);
  }

  /** All configured peers, ordered by name. */
  public Set<PeerName> peers() {
    return Collections.unmodifiableSet(peers.keySet());
  }

  /** When the peer was last heard on an open connection; empty where none is open. */
  public Optional<Duration> lastHeardAt(PeerName name) {
    Optional<Duration> received =
        inbound.findEstablished(name).map(InboundConnections.InboundConnection::lastHeardAt);
    Optional<Duration> acknowledged =
        outbound.find(name).filter(OutboundConnection::isUp).map(OutboundConnection::lastHeardAt);
    return Stream.of(received, acknowledged).flatMap(Optional::stream).max(Duration::compareTo);
  }

  /** The latest incarnation of the peer that was heard of; empty where none was. */
  public Optional<Incarnation> incarnationOf(PeerName name) {
    return findPeer(name).flatMap(Peer::incarnation);
  }

  /** Messages queued for the peer; zero for a name that is not configured. */
  public int queuedMessages(PeerName name) {
    return outbound.find(name).map(connection -> connection.queue.messages()).orElse(0);
  }

  /** Bytes queued for the peer, and bytes written and not yet taken by the network. */
  public int queuedBytes(PeerName name) {
    return outbound.find(name).map(connection -> connection.queue.bytes()).orElse(0);
  }

  /** The state in one line, without a line end: this gateway's incarnation and each peer. */
  public String describe() {
    StringBuilder line =
        new StringBuilder("mesh: incarnation=")
            .append(self.map(own -> String.valueOf(own.number())).orElse("none"));
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
    if (connection.queue.messages() > 0) {
      line.append(" queued=").append(connection.queue.messages());
    }
    if (connection.queue.dropped() > 0) {
      line.append(" dropped=").append(connection.queue.dropped());
    }
  }
}
