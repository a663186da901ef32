package weldcross.routing;

import static weldcross.routing.Durations.inSeconds;

import java.time.Duration;

/**
 * Limits the attempts in flight at each endpoint; the rest waits in the gateway. The limit settles
 * where answers take {@link #TARGET_OBJECTIVE_RATIO} of their latency objective. It prevents queues
 * on the servers, and does harm if objectives are far from what the work takes.
 */
final class ConcurrencyLimiter {

  /** The share of its latency objective that an answer should take: busy, but not queueing. */
  private static final double TARGET_OBJECTIVE_RATIO = 0.30;

  private static final double MIN_GAIN = 0.12;

  /** A gateway with little traffic learns as fast by the clock as one with much. */
  private static final double GAIN_PER_IDLE_SECOND = 0.5;

  /** Of the whole fleet: an attempt from each of a hundred gateways would overload an endpoint. */
  private static final double INITIAL_FLEET_LIMIT = 12;

  private static final double MIN_LIMIT = 0.1;

  private final LatencyEstimator latency;

  /** How many gateways like this one share the endpoints; at least 1, not necessarily whole. */
  private double fleetSize;

  ConcurrencyLimiter(int gateways, LatencyEstimator latency) {
    this.fleetSize = gateways;
    this.latency = latency;
  }

  double initialLimit() {
    return INITIAL_FLEET_LIMIT / fleetSize;
  }

  /**
   * Sets the share of this gateway, in (0, 1]. A smaller one shrinks the limits in proportion, as
   * those of the other gateways add to them; into a larger one they grow by answers.
   */
  void setQuota(double share, Iterable<EndpointState> endpoints) {
    double factor = Math.min(1, fleetSize * share);
    for (EndpointState endpoint : endpoints) {
      endpoint.concurrencyLimit = Math.max(MIN_LIMIT, endpoint.concurrencyLimit * factor);
    }
    fleetSize = 1 / share;
  }

  /** Whether one more attempt may go there now. */
  boolean hasCapacity(Duration now, EndpointState endpoint) {
    int active = 0;
    for (Attempt attempt : endpoint.inFlight) {
      // Lost answers would fill the limit until their attempts time out.
      if (!latency.isPresumedLost(attempt)) {
        active++;
      }
    }
    return active < Math.max(1, (int) endpoint.concurrencyLimit)
        && now.compareTo(endpoint.pausedUntil) >= 0;
  }

  /**
   * Adapts the limit of the endpoint to the end of an attempt.
   *
   * @param elapsed the time since it was sent
   */
  void recordOutcome(Duration now, Attempt attempt, AttemptOutcome outcome, Duration elapsed) {
    boolean overloaded = outcome == AttemptOutcome.OVERLOADED;
    if ((outcome.provesNotExecuted() && !overloaded)
        || outcome == AttemptOutcome.IDLE_CONNECTION_LOST
        || latency.isPresumedLost(attempt)) {
      return;
    }
    // The answer would have taken longer than the client was willing to wait.
    boolean abandoned = outcome == AttemptOutcome.CANCELLED && attempt.request().clientDisconnected;
    double objective = inSeconds(attempt.request().requestClass.latencyObjective());
    double objectiveRatio = overloaded || abandoned ? 1 : inSeconds(elapsed) / objective;
    adapt(now, attempt.endpoint(), Math.min(1, objectiveRatio), inSeconds(elapsed));
  }

  private static void adapt(
      Duration now, EndpointState endpoint, double objectiveRatio, double elapsedSeconds) {
    double idleSeconds = inSeconds(now.minus(endpoint.limitUpdatedAt));
    double gain = Math.max(MIN_GAIN, GAIN_PER_IDLE_SECOND * Math.min(1, idleSeconds));
    endpoint.limitUpdatedAt = now;
    double step = gain * (TARGET_OBJECTIVE_RATIO - objectiveRatio);
    // A limit under one means pauses between attempts. An answer well within its objective makes
    // the pause shorter, or requests that only this endpoint may serve wait while nobody is busy.
    double pauses =
        Math.max(0, 1 / endpoint.concurrencyLimit - 1)
            * Math.min(1, objectiveRatio / TARGET_OBJECTIVE_RATIO);
    endpoint.pausedUntil = now.plus(Durations.ofSeconds(elapsedSeconds * pauses));
    if (step < 0 || endpoint.inFlight.size() + 2 > endpoint.concurrencyLimit) {
      endpoint.concurrencyLimit = Math.max(MIN_LIMIT, endpoint.concurrencyLimit * (1 + step));
    }
  }
}
