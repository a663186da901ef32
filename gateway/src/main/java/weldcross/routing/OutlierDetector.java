package weldcross.routing;

import static weldcross.routing.Durations.earlier;
import static weldcross.routing.Durations.later;

import java.time.Duration;

/**
 * Ejects servers that fail, hang or are unreachable, and readmits them after a successful trial
 * request. The duration of an ejection doubles with each failed trial.
 */
final class OutlierDetector {

  private static final Duration MAX_EJECTION_DURATION = Duration.ofSeconds(2);

  /**
   * A server with this many overdue answers is considered hung, even if it answers health checks.
   */
  private static final int MAX_OVERDUE_ATTEMPTS = 5;

  /**
   * A single failure is no evidence of an outlier: healthy servers return errors and reset
   * connections too.
   */
  private static final int MAX_TOLERATED_FAILURES = 1;

  /**
   * Minimum interval between gossip messages about one server: other gateways soon detect the
   * failure themselves.
   */
  private static final Duration GOSSIP_INTERVAL = Duration.ofMillis(250);

  private final RouterActions actions;
  private final boolean gossipEnabled;
  private final LatencyEstimator latency;
  private final SlowStart slowStart;
  private final HealthChecker healthChecker;

  OutlierDetector(
      RouterActions actions,
      RoutingConfig config,
      LatencyEstimator latency,
      SlowStart slowStart,
      HealthChecker healthChecker) {
    this.actions = actions;
    this.gossipEnabled = config.gossip();
    this.latency = latency;
    this.slowStart = slowStart;
    this.healthChecker = healthChecker;
  }

  /**
   * Returns whether the request may be sent to the endpoint: it is not ejected, or the request may
   * serve as its readmission trial. An unreachable server must pass a health check before it
   * receives a trial request.
   */
  boolean admits(Duration now, RequestState request, EndpointState endpoint) {
    if (!endpoint.ejected) {
      return true;
    }
    if (now.compareTo(endpoint.readmissionTrialAt) < 0) {
      return false;
    }
    if (endpoint.consecutiveUnreachable > 0 && healthChecker.isEnabled()) {
      healthChecker.check(now, endpoint, EndpointState.INITIAL_BACKOFF);
      return false;
    }
    return request.isIdempotent()
        || now.compareTo(endpoint.readmissionTrialAt.plus(endpoint.nextEjectionDuration)) >= 0;
  }

  /**
   * Records that an attempt is sent. At an ejected endpoint the attempt is the readmission trial,
   * so the ejection is renewed to prevent a second one.
   */
  void recordSend(Duration now, EndpointState endpoint) {
    if (endpoint.ejected) {
      eject(now, endpoint);
    }
  }

  /** Records the outcome of an attempt. */
  void recordOutcome(Duration now, Attempt attempt, AttemptOutcome outcome) {
    EndpointState endpoint = attempt.endpoint();
    switch (outcome) {
      case OK, INELIGIBLE -> recordResponse(now, attempt);
      case ERROR, OVERLOADED, CONNECTION_LOST, CLOSED_BEFORE_SEND -> endpoint.consecutiveFailures++;
      case UNREACHABLE -> {
        endpoint.consecutiveUnreachable++;
        endpoint.consecutiveFailures += 1 + endpoint.consecutiveUnreachable;
        gossip(now, endpoint);
      }
      case TIMED_OUT, IDLE_CONNECTION_LOST, CANCELLED, NOT_SENT -> {
        // No evidence about the server; hangs are detected by overdue answers.
      }
    }
    if (endpoint.consecutiveFailures > MAX_TOLERATED_FAILURES
        && !endpoint.ejected
        && (endpoint.consecutiveUnreachable > 0 || mayEjectForErrors(endpoint.group))) {
      eject(now, endpoint);
    }
  }

  private void recordResponse(Duration now, Attempt attempt) {
    EndpointState endpoint = attempt.endpoint();
    endpoint.consecutiveUnreachable = 0;
    endpoint.consecutiveFailures = 0;
    endpoint.overdueCheckBackoff = EndpointState.INITIAL_BACKOFF;
    endpoint.lastAnsweredSentAt = later(endpoint.lastAnsweredSentAt, attempt.sentAt());
    endpoint.lastResponseAt = now;
    endpoint.ejected = false;
    endpoint.nextEjectionDuration = EndpointState.INITIAL_EJECTION_DURATION;
  }

  private void gossip(Duration now, EndpointState endpoint) {
    if (gossipEnabled
        && (endpoint.lastGossipAt == null
            || now.minus(endpoint.lastGossipAt).compareTo(GOSSIP_INTERVAL) > 0)) {
      endpoint.lastGossipAt = now;
      actions.gossipUnreachable(endpoint.id);
    }
  }

  /**
   * If more than half of a group fails, the cause is likely shared, and ejecting more members would
   * only reduce capacity.
   */
  private static boolean mayEjectForErrors(ReplicaGroup group) {
    int ejected = 1;
    for (EndpointState member : group.members) {
      ejected += member.ejected ? 1 : 0;
    }
    return 2 * ejected <= group.members.size();
  }

  /**
   * Records the outcome of a health check. A success only shows that the server is alive and
   * reachable.
   */
  void recordHealthCheck(Duration now, EndpointState endpoint, AttemptOutcome outcome) {
    switch (outcome) {
      case OK -> {
        endpoint.ejected &= endpoint.consecutiveUnreachable == 0;
        endpoint.consecutiveUnreachable = 0;
      }
      case IDLE_CONNECTION_LOST -> {
        // The health check did not reach the server; send it again.
        healthChecker.check(now, endpoint, Duration.ZERO);
      }
      case CLOSED_BEFORE_SEND -> {
        // The server closed the connection, so it is alive.
      }
      default -> {
        endpoint.consecutiveUnreachable++;
        if (endpoint.consecutiveUnreachable > 1 || overdueCount(now, endpoint) > 0) {
          eject(now, endpoint);
        }
      }
    }
  }

  /**
   * Sends a health check to an endpoint with overdue answers, or ejects it if there are too many.
   */
  void checkOverdue(Duration now, EndpointState endpoint) {
    if (endpoint.ejected) {
      return;
    }
    int overdue = overdueCount(now, endpoint);
    if (overdue >= MAX_OVERDUE_ATTEMPTS) {
      eject(now, endpoint);
    } else if (overdue > 0) {
      healthChecker.checkOverdue(now, endpoint);
    }
  }

  /**
   * Returns the number of overdue attempts that were sent since the last response of the endpoint.
   */
  private int overdueCount(Duration now, EndpointState endpoint) {
    int overdue = 0;
    for (Attempt attempt : endpoint.inFlight) {
      if (attempt.sentAt().compareTo(endpoint.lastResponseAt) >= 0
          && latency.isOverdue(now, attempt)) {
        overdue++;
      }
    }
    return overdue;
  }

  private void eject(Duration now, EndpointState endpoint) {
    endpoint.readmissionTrialAt = now.plus(endpoint.nextEjectionDuration);
    endpoint.nextEjectionDuration =
        earlier(endpoint.nextEjectionDuration.multipliedBy(2), MAX_EJECTION_DURATION);
    endpoint.ejected = true;
    // An unreachable server may be restarting without the endpoint list showing it.
    if (endpoint.consecutiveUnreachable > 0) {
      slowStart.presumeRestart(now, endpoint);
    }
  }
}
