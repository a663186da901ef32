package weldcross.routing;

import java.time.Duration;

/**
 * Picks the endpoint of a request: the primary for writes; for reads the least busy replica that is
 * fresh enough, or else the primary.
 */
final class EndpointSelector {

  /** The pause after all members of a group without a known primary were offered a write. */
  private static final Duration PRIMARY_SEARCH_INTERVAL = Duration.ofMillis(100);

  private final EndpointRegistry registry;
  private final RetryPolicy retryPolicy;
  private final OutlierDetector outliers;
  private final ConcurrencyLimiter limiter;
  private final SlowStart slowStart;
  private final SessionConsistency consistency;
  private final HealthChecker healthChecker;

  EndpointSelector(
      EndpointRegistry registry,
      RetryPolicy retryPolicy,
      OutlierDetector outliers,
      ConcurrencyLimiter limiter,
      SlowStart slowStart,
      SessionConsistency consistency,
      HealthChecker healthChecker) {
    this.registry = registry;
    this.retryPolicy = retryPolicy;
    this.outliers = outliers;
    this.limiter = limiter;
    this.slowStart = slowStart;
    this.consistency = consistency;
    this.healthChecker = healthChecker;
  }

  /** Returns where the request should go now; null if it has to wait. */
  EndpointState select(Duration now, RequestState request) {
    EndpointState primary = request.group.primary;
    if (request.isWrite()) {
      return primary == null
          ? nextPrimaryCandidate(now, request)
          : ifEligible(now, request, primary);
    }
    if (!request.group.hasReported) {
      return null;
    }
    EndpointState replica = leastBusyReplica(now, request, true);
    boolean worthWaiting = awaitsRefresh(now, request);
    return replica != null || worthWaiting || primary == null
        ? replica
        : ifEligible(now, request, primary);
  }

  /** Whether an attempt that was decided earlier may still be written, see {@link Router}. */
  boolean isStillEligible(Duration now, RequestState request, Attempt attempt) {
    EndpointState endpoint = attempt.endpoint();
    return !request.finished
        && registry.isListValid()
        && endpoint.listed
        && !endpoint.draining
        && retryPolicy.mayStillSend(now, request)
        && (attempt.inSlowStart() || !slowStart.isWarmingUp(now, endpoint))
        && (request.isWrite()
            || endpoint.isPrimary()
            || consistency.isFreshEnough(now, request, endpoint));
  }

  private EndpointState leastBusyReplica(Duration now, RequestState request, boolean fresh) {
    EndpointState best = null;
    for (EndpointState endpoint : request.group.members) {
      if (!endpoint.isPrimary()
          && (!fresh || consistency.isFreshEnough(now, request, endpoint))
          && isEligible(now, request, endpoint)
          && (best == null || isLessBusy(endpoint, best))) {
        best = endpoint;
      }
    }
    return best;
  }

  /** Ties go to the newer position if ranks are close, else to the lower rank. */
  private static boolean isLessBusy(EndpointState endpoint, EndpointState other) {
    if (endpoint.readsInFlight != other.readsInFlight) {
      return endpoint.readsInFlight < other.readsInFlight;
    }
    boolean closeRanks = (int) endpoint.rank == (int) other.rank;
    return (closeRanks && endpoint.position != null && other.position != null)
        ? endpoint.position.compareTo(other.position) > 0
        : endpoint.rank < other.rank;
  }

  /** Refreshes the position of the replica that would be picked were it fresh enough. */
  private boolean awaitsRefresh(Duration now, RequestState request) {
    return healthChecker.isEnabled()
        && healthChecker.isPositionNeeded(request)
        && healthChecker.awaitsRefresh(now, request, leastBusyReplica(now, request, false));
  }

  /** Offers a write to the members in turn while no primary is known. */
  private EndpointState nextPrimaryCandidate(Duration now, RequestState request) {
    ReplicaGroup group = request.group;
    if (now.compareTo(group.nextPrimarySearchAt) < 0 || retryPolicy.isLastAttempt(request)) {
      return null;
    }
    for (int offered = 0; offered < group.members.size(); offered++) {
      EndpointState endpoint = group.members.get(group.nextMemberIndex % group.members.size());
      group.nextMemberIndex++;
      if (isEligible(now, request, endpoint)) {
        return endpoint;
      }
    }
    request.triedEndpoints.clear();
    group.nextPrimarySearchAt = now.plus(PRIMARY_SEARCH_INTERVAL);
    return null;
  }

  private EndpointState ifEligible(Duration now, RequestState request, EndpointState endpoint) {
    return isEligible(now, request, endpoint) ? endpoint : null;
  }

  /** May send a health check, see {@link OutlierDetector#admits}. */
  private boolean isEligible(Duration now, RequestState request, EndpointState endpoint) {
    return registry.isListValid()
        && endpoint.listed
        && !endpoint.draining
        && !request.triedEndpoints.contains(endpoint)
        && retryPolicy.canDeduplicate(request, endpoint)
        && outliers.admits(now, request, endpoint)
        && limiter.hasCapacity(now, endpoint)
        && slowStart.admits(now, request, endpoint);
  }
}
