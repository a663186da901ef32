package weldcross.routing;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The router's state of one server, from the server's answers and load reports and from the
 * endpoint list. Times are relative to the start of the router; null means that the event has not
 * occurred.
 */
final class EndpointState {

  /** Initial interval between health checks; each kind of health check backs off separately. */
  static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

  /** Duration of the first ejection; doubled after each failed readmission trial. */
  static final Duration INITIAL_EJECTION_DURATION = Duration.ofMillis(200);

  final ServerId id;
  final ReplicaGroup group;
  final ZoneId zone;

  /** Attempts in flight, oldest first. */
  final Set<Attempt> inFlight = new LinkedHashSet<>();

  /** Number of reads in {@link #inFlight}. */
  int readsInFlight;

  /** Tie-breaker between equally busy endpoints; the lowest rank is preferred. */
  double rank;

  // Endpoint list.
  boolean listed;
  boolean draining;
  Duration startedAt;
  Duration removedAt;

  // Replication.

  /** The latest known replication position; null if unknown. */
  Duration position;

  /**
   * The time as of which it was last known to be the primary; null while it is known to be a
   * replica.
   */
  Duration primaryAsOf;

  /** The time as of which it was last known to be a replica. */
  Duration replicaAsOf;

  // Health checks.
  boolean healthCheckPending;
  Duration lastHealthCheckAt;
  Duration primarySearchBackoff = INITIAL_BACKOFF;
  Duration overdueCheckBackoff = INITIAL_BACKOFF;

  // Outlier detection.
  boolean ejected;

  /** When a request may be sent to the ejected server as a trial. */
  Duration readmissionTrialAt;

  Duration nextEjectionDuration = INITIAL_EJECTION_DURATION;
  int consecutiveFailures;
  int consecutiveUnreachable;
  Duration lastResponseAt = Duration.ZERO;
  Duration lastGossipAt;

  /** The latest send time of any answered attempt. */
  Duration lastAnsweredSentAt = Duration.ZERO;

  // Concurrency limit.
  double concurrencyLimit;
  Duration limitUpdatedAt = Duration.ZERO;
  Duration pausedUntil = Duration.ZERO;

  // Slow start.
  Duration warmUpStartedAt;

  /** When the server became unreachable and was presumed to restart; null if it was not. */
  Duration presumedRestartAt;

  /** The value of {@link #warmUpStartedAt} before the presumed restart. */
  Duration warmUpStartedAtBeforeRestart;

  /** Earliest time of the next attempt within the slow-start budget. */
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

  /** Formats this endpoint for the log, see {@link Router#describe}. */
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
