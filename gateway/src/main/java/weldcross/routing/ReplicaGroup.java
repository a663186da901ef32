package weldcross.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A primary and its replicas, with the requests for them that wait in this gateway. */
final class ReplicaGroup {

  final List<EndpointState> members = new ArrayList<>();

  /** Requests that wait for an endpoint, oldest first. */
  final Set<RequestState> queue = new LinkedHashSet<>();

  /** Null while no primary is known. */
  EndpointState primary;

  /** Whether any member has said anything of itself yet. */
  boolean hasReported;

  boolean queueCheckScheduled;

  // The search for a primary by offering a write to one member after another.
  int nextMemberIndex;
  Duration nextPrimarySearchAt = Duration.ZERO;
}
