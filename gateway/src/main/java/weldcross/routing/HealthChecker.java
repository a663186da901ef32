package weldcross.routing;

import static weldcross.routing.Durations.earlier;

import java.time.Duration;
import java.util.List;
import weldcross.routing.RequestClass.Consistency;

/** Decides when to send health checks to servers. At most one is in flight per server. */
final class HealthChecker {

  /**
   * Maximum backoff. The backoff limits the combined load of the health checks of many gateways.
   */
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

  /** How long a read may wait for a health check in flight before it is sent to the primary. */
  private static final Duration MAX_READ_WAIT = Duration.ofMillis(30);

  /**
   * A replication position is refreshed once it is older than the smallest staleness bound divided
   * by this.
   */
  private static final int REFRESH_AGE_DIVISOR = 4;

  /** Used if no request class has a staleness bound. */
  private static final Duration DEFAULT_REFRESH_AGE = Duration.ofMillis(250);

  private final RouterActions actions;
  private final boolean enabled;
  private final SessionConsistency consistency;
  private final Duration refreshAge;

  HealthChecker(RouterActions actions, RoutingConfig config, SessionConsistency consistency) {
    this.actions = actions;
    this.enabled = config.healthChecks();
    this.consistency = consistency;
    this.refreshAge = refreshAge(config.requestClasses());
  }

  private static Duration refreshAge(List<RequestClass> requestClasses) {
    return requestClasses.stream()
        .filter(requestClass -> requestClass.consistency() == Consistency.BOUNDED)
        .map(requestClass -> requestClass.stalenessBound().dividedBy(REFRESH_AGE_DIVISOR))
        .min(Duration::compareTo)
        .orElse(DEFAULT_REFRESH_AGE);
  }

  boolean isEnabled() {
    return enabled;
  }

  /**
   * Sends a health check unless one is in flight or the last one was sent less than {@code
   * minInterval} ago.
   *
   * @return whether a check was sent
   */
  boolean check(Duration now, EndpointState endpoint, Duration minInterval) {
    if (!enabled
        || endpoint.healthCheckPending
        || (endpoint.lastHealthCheckAt != null
            && now.minus(endpoint.lastHealthCheckAt).compareTo(minInterval) < 0)) {
      return false;
    }
    endpoint.healthCheckPending = true;
    endpoint.lastHealthCheckAt = now;
    actions.sendHealthCheck(endpoint.id);
    return true;
  }

  /**
   * Checks a server that has never been checked or that may be the primary that queued requests
   * wait for.
   */
  void checkIfUnknown(Duration now, EndpointState endpoint) {
    EndpointState primary = endpoint.group.primary;
    boolean stateIncomplete = endpoint.position == null || primary == null || primary.ejected;
    boolean needed =
        endpoint.lastHealthCheckAt == null || (stateIncomplete && !endpoint.group.queue.isEmpty());
    if (needed
        && endpoint.listed
        && !endpoint.draining
        && check(now, endpoint, endpoint.primarySearchBackoff)) {
      endpoint.primarySearchBackoff = doubled(endpoint.primarySearchBackoff);
    }
  }

  /** Checks whether a server with an overdue answer is still alive. */
  void checkOverdue(Duration now, EndpointState endpoint) {
    if (check(now, endpoint, endpoint.overdueCheckBackoff)) {
      endpoint.overdueCheckBackoff = doubled(endpoint.overdueCheckBackoff);
    }
  }

  /** Returns whether the position of a replica decides if it may serve the read. */
  boolean isPositionNeeded(RequestState request) {
    Consistency consistencyLevel = request.requestClass.consistency();
    return consistencyLevel == Consistency.BOUNDED
        || (consistencyLevel == Consistency.SESSION && consistency.token(request) != null);
  }

  /**
   * Checks the replica that a read would be sent to, if its position is too old.
   *
   * @param candidate the replica; null if there is none
   * @return whether the read should wait for the health check in flight
   */
  boolean refreshPosition(Duration now, RequestState request, EndpointState candidate) {
    if (candidate == null) {
      return false;
    }
    boolean isPositionOld =
        candidate.position == null || now.minus(candidate.position).compareTo(refreshAge) > 0;
    if (isPositionOld
        && (request.requestClass.consistency() == Consistency.BOUNDED
            || !consistency.isFreshEnough(now, request, candidate))) {
      check(now, candidate, refreshAge);
    }
    return candidate.healthCheckPending
        && now.minus(request.arrivedAt).compareTo(MAX_READ_WAIT) < 0;
  }

  private static Duration doubled(Duration backoff) {
    return earlier(backoff.multipliedBy(2), MAX_BACKOFF);
  }
}
