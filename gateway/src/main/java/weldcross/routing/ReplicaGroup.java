package weldcross.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The state of a replica group: its members, its primary and the requests queued for it in this
 * gateway.
 */
final class ReplicaGroup {

  final List<EndpointState> members = new ArrayList<>();

  /** Requests that wait for an eligible endpoint, oldest first. */
  final Set<RequestState> queue = new LinkedHashSet<>();

  /** The primary; null if it is unknown. */
  EndpointState primary;

  /** Whether any member has reported its role or position yet. */
  boolean hasReported;

  boolean queueCheckScheduled;

  // Search for an unknown primary, by offering writes to the members in turn.
  int nextMemberIndex;
  Duration nextPrimarySearchAt = Duration.ZERO;
}
