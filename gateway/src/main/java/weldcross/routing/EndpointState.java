package weldcross.routing;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * What this router knows of one server, from the server's answers and reports and from the endpoint
 * list. Times count from the start of the router; null stands for an event that never happened.
 */
final class EndpointState {

  /** The first gap between health checks of one kind; each kind backs off from here. */
  static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

  /** The length of the first ejection; it doubles with each trial that fails. */
  static final Duration INITIAL_EJECTION_DURATION = Duration.ofMillis(200);

  final ServerId id;
  final ReplicaGroup group;
  final ZoneId zone;

  /** Attempts that have not ended, oldest first. */
  final Set<Attempt> inFlight = new LinkedHashSet<>();

  /** Reads among {@link #inFlight}. */
  int readsInFlight;

  /** Breaks ties between equally busy endpoints; the lowest goes first. */
  double rank;

  // Endpoint list.
  boolean listed;
  boolean draining;
  Duration startedAt;
  Duration removedAt;

  // Replication.
  Duration position;

  /** As of when it was last known to be the primary; null while it is known to be none. */
  Duration primaryAsOf;

  Duration replicaAsOf;

  // Health checks.
  boolean healthCheckPending;
  Duration lastHealthCheckAt;
  Duration primarySearchBackoff = INITIAL_BACKOFF;
  Duration overdueCheckBackoff = INITIAL_BACKOFF;

  // Outlier detection.
  boolean ejected;
  Duration readmissionTrialAt;
  Duration nextEjectionDuration = INITIAL_EJECTION_DURATION;
  int consecutiveFailures;
  int consecutiveUnreachable;
  Duration lastResponseAt = Duration.ZERO;
  Duration lastGossipAt;

  /** When the latest answered attempt was sent. */
  Duration lastAnsweredSentAt = Duration.ZERO;

  // Concurrency limit.
  double concurrencyLimit;
  Duration limitUpdatedAt = Duration.ZERO;
  Duration pausedUntil = Duration.ZERO;

  // Slow start.
  Duration warmUpStartedAt;
  Duration presumedRestartAt;

  /** The value of {@link #warmUpStartedAt} before the restart that was presumed. */
  Duration warmUpStartedAtBeforeRestart;

  Duration nextSlowStartSendAt = Duration.ZERO;

  EndpointState(
      ServerId id, ReplicaGroup group, ZoneId zone, double rank, double concurrencyLimit) {
    this.id = id;
    this.group = group;
    this.zone = zone;
    this.rank = rank;
    this.concurrencyLimit = concurrencyLimit;
  }

  boolean isPrimary() {
    return this == group.primary;
  }

  /** Describes this endpoint for the log, see {@link Router#describe}. */
  String describe(Duration now, boolean warmingUp) {
    return id.name()
        + " "
        + inFlight.size()
        + "/"
        + (int) concurrencyLimit
        + " "
        + (position == null ? "?" : now.minus(position).toMillis())
        + (isPrimary() ? " primary" : "")
        + (ejected ? " ejected" : "")
        + (warmingUp ? " warming-up" : "")
        + (listed ? "" : " removed");
  }
}
