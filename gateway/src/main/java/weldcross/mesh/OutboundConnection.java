package weldcross.mesh;

import java.time.Duration;
import java.util.Optional;

/** The connection that this gateway opens to one peer, through its phases. */
final class OutboundConnection {

  enum Phase {
    /** Waiting to connect, or to connect again. */
    BACKOFF,
    CONNECTING,
    /** Connected, and waiting for the answer to the handshake. */
    HANDSHAKE,
    UP
  }

  final Peer peer;
  final SendQueue queue;
  final ReconnectBackoff backoff;

  private Phase phase = Phase.BACKOFF;

  /** The number of the connection; valid in all phases but {@link Phase#BACKOFF}. */
  private long id;

  /** When the current phase ends; unused in {@link Phase#UP}. */
  private Duration phaseDeadline = Duration.ZERO;

  private Optional<Incarnation> connectedTo = Optional.empty();
  private Optional<Incarnation> knownAtConnect = Optional.empty();
  private Duration lastHeardAt = Duration.ZERO;
  private Duration nextHeartbeatAt = Duration.ZERO;
  private long heartbeatsSent;

  OutboundConnection(Peer peer, SendQueue queue, ReconnectBackoff backoff) {
    this.peer = peer;
    this.queue = queue;
    this.backoff = backoff;
  }

  Phase phase() {
    return phase;
  }

  boolean isUp() {
    return phase == Phase.UP;
  }

  long id() {
    return id;
  }

  /** The incarnation of the peer that was known when the connect was begun. */
  Optional<Incarnation> knownAtConnect() {
    return knownAtConnect;
  }

  boolean isConnectedTo(Incarnation incarnation) {
    return isUp() && connectedTo.isPresent() && connectedTo.get().equals(incarnation);
  }

  boolean isPhaseOver(Duration now) {
    return phase != Phase.UP && phaseDeadline.compareTo(now) <= 0;
  }

  /** Waits in {@link Phase#BACKOFF} until then. */
  void waitUntil(Duration deadline) {
    phase = Phase.BACKOFF;
    phaseDeadline = deadline;
  }

  void connecting(long newId, Duration deadline) {
    id = newId;
    phase = Phase.CONNECTING;
    phaseDeadline = deadline;
    knownAtConnect = peer.incarnation();
  }

  void handshakeSent(Duration deadline) {
    phase = Phase.HANDSHAKE;
    phaseDeadline = deadline;
  }

  void up(Duration now, Incarnation incarnation, Duration firstHeartbeatAt) {
    phase = Phase.UP;
    connectedTo = Optional.of(incarnation);
    lastHeardAt = now;
    nextHeartbeatAt = firstHeartbeatAt;
    backoff.reset();
    queue.forgetUnwritten();
  }

  /** When a heartbeat was last acknowledged, or the connection came up. */
  Duration lastHeardAt() {
    return lastHeardAt;
  }

  void heartbeatAcked(Duration now, long sequence) {
    if (isUp() && sequence <= heartbeatsSent) {
      lastHeardAt = now;
    }
  }

  boolean isHeartbeatDue(Duration now) {
    return nextHeartbeatAt.compareTo(now) <= 0;
  }

  /** Counts a heartbeat and returns its sequence number. */
  long nextHeartbeat(Duration nextAt) {
    nextHeartbeatAt = nextAt;
    return ++heartbeatsSent;
  }

  /** When the connection has to be looked at next. */
  Duration nextTimer(Duration heartbeatTimeout) {
    if (!isUp()) {
      return phaseDeadline;
    }
    Duration timeout = lastHeardAt.plus(heartbeatTimeout);
    return timeout.compareTo(nextHeartbeatAt) < 0 ? timeout : nextHeartbeatAt;
  }
}
