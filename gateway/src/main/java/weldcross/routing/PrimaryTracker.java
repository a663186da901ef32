package weldcross.routing;

import static weldcross.routing.Durations.later;

import java.time.Duration;

/**
 * Tracks the primary of a group and the replication positions of its members, from what the members
 * report about themselves.
 */
final class PrimaryTracker {

  private PrimaryTracker() {}

  /**
   * Records a load report. Reports may be delayed, so the reported role is valid as of the reported
   * position.
   *
   * @param position the reported position; may be null unless {@code primary} is true
   * @param primary whether the server reported itself as the primary; null if it did not report its
   *     role
   */
  static void recordReport(
      Duration now, EndpointState endpoint, Duration position, Boolean primary) {
    record(now, endpoint, position, primary, false);
  }

  /**
   * Records the role and position from an answer of the server. That it is a replica is valid as of
   * now.
   *
   * @param position see {@link #recordReport}
   */
  static void recordAnswer(
      Duration now, EndpointState endpoint, Duration position, boolean primary) {
    record(now, endpoint, position, primary, true);
  }

  private static void record(
      Duration now,
      EndpointState endpoint,
      Duration position,
      Boolean primary,
      boolean fromAnswer) {
    ReplicaGroup group = endpoint.group;
    EndpointState previous = group.primary;
    if (Boolean.TRUE.equals(primary)) {
      recordPrimary(endpoint, position);
    } else if (Boolean.FALSE.equals(primary)) {
      recordReplica(endpoint, fromAnswer ? now : position, fromAnswer);
    }
    endpoint.position = later(endpoint.position, position);
    if (!group.hasReported || group.primary != previous) {
      group.hasReported = true;
      group.nextPrimarySearchAt = now;
      for (EndpointState member : group.members) {
        member.primarySearchBackoff = EndpointState.INITIAL_BACKOFF;
      }
    }
  }

  private static void recordPrimary(EndpointState endpoint, Duration asOf) {
    // Ignore a claim older than the latest replica report, or reads would be sent to a former
    // primary.
    if (endpoint.replicaAsOf != null && asOf.compareTo(endpoint.replicaAsOf) < 0) {
      return;
    }
    endpoint.primaryAsOf = later(endpoint.primaryAsOf, asOf);
    EndpointState current = endpoint.group.primary;
    if (current == null || current.primaryAsOf == null || asOf.compareTo(current.primaryAsOf) > 0) {
      endpoint.group.primary = endpoint;
    }
  }

  private static void recordReplica(EndpointState endpoint, Duration asOf, boolean fromAnswer) {
    endpoint.replicaAsOf = later(endpoint.replicaAsOf, asOf);
    // A primary reports its current time as its position, so a report with a position before the
    // primary claim is older than the claim.
    boolean isNewer =
        fromAnswer || endpoint.primaryAsOf == null || asOf.compareTo(endpoint.primaryAsOf) >= 0;
    if (endpoint.isPrimary() && isNewer) {
      endpoint.primaryAsOf = null;
      endpoint.group.primary = null;
    }
  }
}
