package weldcross.routing;

import static weldcross.routing.Durations.earlier;
import static weldcross.routing.Durations.later;

import java.time.Duration;

/**
 * Ejects servers that fail, hang or cannot be reached, and readmits them by trials. An ejection
 * doubles in length with each trial that fails.
 */
final class OutlierDetector {

  private static final Duration MAX_EJECTION_DURATION = Duration.ofSeconds(2);

  /** This many overdue answers mean a hang, even where health checks are answered. */
  private static final int MAX_OVERDUE_ATTEMPTS = 5;

  /** One failure proves nothing: errors happen, and connections to live servers are reset. */
  private static final int MAX_TOLERATED_FAILURES = 1;

  /** A peer finds out for itself soon, so one message in this time is enough. */
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
   * Whether the endpoint may get the request: it is not ejected, or the request may be its trial. A
   * server that could not be reached gets a health check before a request is risked.
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

  /** Takes in that an attempt is sent; at an ejected endpoint it is the trial, and the only one. */
  void recordSend(Duration now, EndpointState endpoint) {
    if (endpoint.ejected) {
      eject(now, endpoint);
    }
  }

  /** Takes in the end of an attempt. */
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
        // Says nothing of the server: a hang is found by overdue answers.
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

  /** Where more than half of a group fails the cause is shared, and ejecting helps nobody. */
  private static boolean mayEjectForErrors(ReplicaGroup group) {
    int ejected = 1;
    for (EndpointState member : group.members) {
      ejected += member.ejected ? 1 : 0;
    }
    return 2 * ejected <= group.members.size();
  }

  /**
   * Takes in the end of a health check. One that passed shows only that the server lives and can be
   * reached.
   */
  void recordHealthCheck(Duration now, EndpointState endpoint, AttemptOutcome outcome) {
    switch (outcome) {
      case OK -> {
        endpoint.ejected &= endpoint.consecutiveUnreachable == 0;
        endpoint.consecutiveUnreachable = 0;
      }
      case IDLE_CONNECTION_LOST -> {
        // It never got there, and what it was for is still wanted.
        healthChecker.check(now, endpoint, Duration.ZERO);
      }
      case CLOSED_BEFORE_SEND -> {
        // The server ended the connection, so it lives.
      }
      default -> {
        endpoint.consecutiveUnreachable++;
        if (endpoint.consecutiveUnreachable > 1 || overdueCount(now, endpoint) > 0) {
          eject(now, endpoint);
        }
      }
    }
  }

  /** Asks an endpoint with overdue answers whether it lives, or ejects it where they are many. */
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

  /** Returns how many of the attempts sent since the last response of the endpoint are overdue. */
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
    // Behind the silence may be a restart that no list shows.
    if (endpoint.consecutiveUnreachable > 0) {
      slowStart.presumeRestart(now, endpoint);
    }
  }
}
