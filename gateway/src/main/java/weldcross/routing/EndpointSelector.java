package weldcross.routing;

import java.time.Duration;

/**
 * Selects the endpoint for a request: for a write the primary; for a read the least busy replica
 * that is fresh enough, or the primary if there is none.
 */
final class EndpointSelector {

  /** Pause after a write was offered to all members of a group whose primary is unknown. */
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

  /** Returns the endpoint to send the request to now, or null if the request has to wait. */
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
    boolean shouldWait = refreshCandidatePosition(now, request);
    return replica != null || shouldWait || primary == null
        ? replica
        : ifEligible(now, request, primary);
  }

  /** Returns whether a scheduled attempt may still be sent, see {@link Router#isStillEligible}. */
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

  /**
   * Returns the least busy eligible replica, or null; stale ones only if not {@code requireFresh}.
   */
  private EndpointState leastBusyReplica(Duration now, RequestState request, boolean requireFresh) {
    EndpointState best = null;
    for (EndpointState endpoint : request.group.members) {
      if (!endpoint.isPrimary()
          && (!requireFresh || consistency.isFreshEnough(now, request, endpoint))
          && isEligible(now, request, endpoint)
          && (best == null || isLessBusy(endpoint, best))) {
        best = endpoint;
      }
    }
    return best;
  }

  /**
   * Compares by reads in flight. Ties are broken by the newer position if the integer parts of the
   * ranks are equal, otherwise by the lower rank.
   */
  private static boolean isLessBusy(EndpointState endpoint, EndpointState other) {
    if (endpoint.readsInFlight != other.readsInFlight) {
      return endpoint.readsInFlight < other.readsInFlight;
    }
    boolean similarRanks = (int) endpoint.rank == (int) other.rank;
    return (similarRanks && endpoint.position != null && other.position != null)
        ? endpoint.position.compareTo(other.position) > 0
        : endpoint.rank < other.rank;
  }

  /**
   * Refreshes the position of the replica that would be selected if it were fresh enough; returns
   * whether the read should wait for the result.
   */
  private boolean refreshCandidatePosition(Duration now, RequestState request) {
    return healthChecker.isEnabled()
        && healthChecker.isPositionNeeded(request)
        && healthChecker.refreshPosition(now, request, leastBusyReplica(now, request, false));
  }

  /**
   * Returns the next member to offer a write to while the primary is unknown, in round-robin order;
   * null if all members were tried or the pause after the last round has not passed.
   */
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

  /**
   * Returns whether the request may be sent to the endpoint now. May trigger a health check, see
   * {@link OutlierDetector#admits}.
   */
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
