package weldcross.routing;

import static weldcross.routing.Durations.later;

import java.time.Duration;

/** Tracks the primary and the positions of a group from what its members say of themselves. */
final class PrimaryTracker {

  private PrimaryTracker() {}

  /**
   * Takes in a report, which is as old as it is: its role counts from the position it names.
   *
   * @param position the position reported; null where none was and it does not claim to be primary
   * @param primary whether it is the primary; null where it did not say
   */
  static void recordReport(
      Duration now, EndpointState endpoint, Duration position, Boolean primary) {
    record(now, endpoint, position, primary, false);
  }

  /**
   * Takes in what an answer says of the server that gave it. That it is no primary counts from now.
   *
   * @param position as in {@link #recordReport}
   */
  static void recordAnswer(
      Duration now, EndpointState endpoint, Duration position, boolean primary) {
    record(now, endpoint, position, primary, true);
  }

  private static void record(
      Duration now, EndpointState endpoint, Duration position, Boolean primary, boolean answer) {
    ReplicaGroup group = endpoint.group;
    EndpointState previous = group.primary;
    if (Boolean.TRUE.equals(primary)) {
      recordPrimary(endpoint, position);
    } else if (Boolean.FALSE.equals(primary)) {
      recordReplica(endpoint, answer ? now : position, answer);
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
    // A claim may come in behind newer knowledge; reads would go to what is a replica by now.
    if (endpoint.replicaAsOf != null && asOf.compareTo(endpoint.replicaAsOf) < 0) {
      return;
    }
    endpoint.primaryAsOf = later(endpoint.primaryAsOf, asOf);
    EndpointState current = endpoint.group.primary;
    if (current == null || current.primaryAsOf == null || asOf.compareTo(current.primaryAsOf) > 0) {
      endpoint.group.primary = endpoint;
    }
  }

  private static void recordReplica(EndpointState endpoint, Duration asOf, boolean answer) {
    endpoint.replicaAsOf = later(endpoint.replicaAsOf, asOf);
    // A primary stands at the present, so a report from behind its own claim is the older one.
    boolean newer =
        answer || endpoint.primaryAsOf == null || asOf.compareTo(endpoint.primaryAsOf) >= 0;
    if (endpoint.isPrimary() && newer) {
      endpoint.primaryAsOf = null;
      endpoint.group.primary = null;
    }
  }
}
