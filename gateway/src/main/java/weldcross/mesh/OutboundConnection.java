package weldcross.mesh;

import java.time.Duration;
import java.util.Optional;

/** The connection that this gateway opens to one peer, and its current phase. */
final class OutboundConnection {

  enum Phase {
    /** Waiting to connect or to reconnect. */
    BACKOFF,
    CONNECTING,
    /** Connected and waiting for the handshake response. */
    HANDSHAKE,
    UP
  }

  final Peer peer;
  final SendQueue queue;
  final ReconnectBackoff backoff;

  private Phase phase = Phase.BACKOFF;

  /** The connection number; valid in all phases except {@link Phase#BACKOFF}. */
  private long id;

  /** When the current phase ends; unused in {@link Phase#UP}. */
  private Duration phaseDeadline = Duration.ZERO;

  private Optional<Incarnation> remoteIncarnation = Optional.empty();
  private Optional<Incarnation> incarnationAtConnect = Optional.empty();
  private Duration lastAckAt = Duration.ZERO;
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

  /** The latest known incarnation of the peer when the connect started. */
  Optional<Incarnation> incarnationAtConnect() {
    return incarnationAtConnect;
  }

  boolean isConnectedTo(Incarnation incarnation) {
    return isUp() && remoteIncarnation.isPresent() && remoteIncarnation.get().equals(incarnation);
  }

  boolean isPhaseExpired(Duration now) {
    return phase != Phase.UP && phaseDeadline.compareTo(now) <= 0;
  }

  /** Enters {@link Phase#BACKOFF} until the deadline. */
  void enterBackoff(Duration deadline) {
    phase = Phase.BACKOFF;
    phaseDeadline = deadline;
  }

  void markConnecting(long newId, Duration deadline) {
    id = newId;
    phase = Phase.CONNECTING;
    phaseDeadline = deadline;
    incarnationAtConnect = peer.incarnation();
  }

  void markHandshakeSent(Duration deadline) {
    phase = Phase.HANDSHAKE;
    phaseDeadline = deadline;
  }

  void markUp(Duration now, Incarnation incarnation, Duration firstHeartbeatAt) {
    phase = Phase.UP;
    remoteIncarnation = Optional.of(incarnation);
    lastAckAt = now;
    nextHeartbeatAt = firstHeartbeatAt;
    backoff.reset();
    queue.resetUnwritten();
  }

  /** When the last heartbeat was acknowledged, or when the connection came up if none was. */
  Duration lastAckAt() {
    return lastAckAt;
  }

  void onHeartbeatAck(Duration now, long sequence) {
    if (isUp() && sequence <= heartbeatsSent) {
      lastAckAt = now;
    }
  }

  boolean isHeartbeatDue(Duration now) {
    return nextHeartbeatAt.compareTo(now) <= 0;
  }

  /** Schedules the following heartbeat and returns the sequence number of the one to send now. */
  long startHeartbeat(Duration nextAt) {
    nextHeartbeatAt = nextAt;
    return ++heartbeatsSent;
  }

  /** The next time at which a timeout or heartbeat is due. */
  Duration nextDeadline(Duration heartbeatTimeout) {
    if (!isUp()) {
      return phaseDeadline;
    }
    Duration timeout = lastAckAt.plus(heartbeatTimeout);
    return timeout.compareTo(nextHeartbeatAt) < 0 ? timeout : nextHeartbeatAt;
  }
}
