package weldcross.routing;

import static weldcross.routing.Durations.earlier;

import java.time.Duration;
import java.util.List;
import weldcross.routing.RequestClass.Consistency;

/** Decides when a server is sent a health check; there is at most one under way at each server. */
final class HealthChecker {

  /** Backoffs double up to this: many gateways that ask are a load. */
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

  /** How long a read may wait for a health check under way before it goes to the primary. */
  private static final Duration MAX_READ_WAIT = Duration.ofMillis(30);

  /** A position is refreshed once it is older than this share of the smallest staleness bound. */
  private static final int REFRESH_AGE_DIVISOR = 4;

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
   * Checks the endpoint unless a check is under way or the last one began less than {@code minGap}
   * ago.
   *
   * @return whether a check was sent
   */
  boolean check(Duration now, EndpointState endpoint, Duration minGap) {
    if (!enabled
        || endpoint.healthCheckPending
        || (endpoint.lastHealthCheckAt != null
            && now.minus(endpoint.lastHealthCheckAt).compareTo(minGap) < 0)) {
      return false;
    }
    endpoint.healthCheckPending = true;
    endpoint.lastHealthCheckAt = now;
    actions.sendHealthCheck(endpoint.id);
    return true;
  }

  /** Checks a server of which nothing is known, or that may be the primary requests wait for. */
  void checkIfUnknown(Duration now, EndpointState endpoint) {
    EndpointState primary = endpoint.group.primary;
    boolean informative = endpoint.position == null || primary == null || primary.ejected;
    boolean needed =
        endpoint.lastHealthCheckAt == null || (informative && !endpoint.group.queue.isEmpty());
    if (needed
        && endpoint.listed
        && !endpoint.draining
        && check(now, endpoint, endpoint.primarySearchBackoff)) {
      endpoint.primarySearchBackoff = doubled(endpoint.primarySearchBackoff);
    }
  }

  /** Asks a server whose answer is overdue whether it lives. */
  void checkOverdue(Duration now, EndpointState endpoint) {
    if (check(now, endpoint, endpoint.overdueCheckBackoff)) {
      endpoint.overdueCheckBackoff = doubled(endpoint.overdueCheckBackoff);
    }
  }

  /** Whether a replica may take the read or not depending on its position. */
  boolean isPositionNeeded(RequestState request) {
    Consistency needed = request.requestClass.consistency();
    return needed == Consistency.BOUNDED
        || (needed == Consistency.SESSION && consistency.token(request) != null);
  }

  /**
   * Checks the replica that a read would go to if its position is old.
   *
   * @param candidate null where there is none
   * @return whether the read should wait for the check that is under way
   */
  boolean awaitsRefresh(Duration now, RequestState request, EndpointState candidate) {
    if (candidate == null) {
      return false;
    }
    boolean old =
        candidate.position == null || now.minus(candidate.position).compareTo(refreshAge) > 0;
    if (old
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
