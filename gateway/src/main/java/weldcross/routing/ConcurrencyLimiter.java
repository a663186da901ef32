package weldcross.routing;

import static weldcross.routing.Durations.inSeconds;

import java.time.Duration;

/**
 * Limits the attempts in flight at each endpoint; excess requests wait in the gateway. The limit
 * converges to the point where answers take {@link #TARGET_OBJECTIVE_RATIO} of their latency
 * objective. This prevents queueing on the servers, but is harmful if the objectives are far from
 * the actual service times.
 */
final class ConcurrencyLimiter {

  /**
   * Target ratio of latency to latency objective: the server is busy, but requests do not queue.
   */
  private static final double TARGET_OBJECTIVE_RATIO = 0.30;

  /** Minimum gain applied to the deviation of an answer from the target ratio. */
  private static final double MIN_GAIN = 0.12;

  /**
   * Gain per second since the last update, so that a gateway with little traffic adapts as fast as
   * a busy one.
   */
  private static final double GAIN_PER_IDLE_SECOND = 0.5;

  /**
   * Initial limit of one endpoint, shared by all gateways: one attempt from each of a hundred
   * gateways would overload it.
   */
  private static final double INITIAL_FLEET_LIMIT = 12;

  private static final double MIN_LIMIT = 0.1;

  private final LatencyEstimator latency;

  /**
   * Effective number of gateways that share the endpoints, the inverse of this gateway's quota; at
   * least 1, may be fractional.
   */
  private double fleetSize;

  ConcurrencyLimiter(int gateways, LatencyEstimator latency) {
    this.fleetSize = gateways;
    this.latency = latency;
  }

  double initialLimit() {
    return INITIAL_FLEET_LIMIT / fleetSize;
  }

  /**
   * Sets the quota of this gateway. A smaller quota shrinks the limits proportionally, since the
   * limits of all gateways add up at each endpoint; after an increase, the limits grow as answers
   * arrive.
   *
   * @param quota the share of this gateway in the fleet, in (0, 1]
   */
  void setQuota(double quota, Iterable<EndpointState> endpoints) {
    double factor = Math.min(1, fleetSize * quota);
    for (EndpointState endpoint : endpoints) {
      endpoint.concurrencyLimit = Math.max(MIN_LIMIT, endpoint.concurrencyLimit * factor);
    }
    fleetSize = 1 / quota;
  }

  /** Returns whether one more attempt may be sent to the endpoint now. */
  boolean hasCapacity(Duration now, EndpointState endpoint) {
    int active = 0;
    for (Attempt attempt : endpoint.inFlight) {
      // Attempts whose answers were lost would otherwise use up the limit until they time out.
      if (!latency.isPresumedLost(attempt)) {
        active++;
      }
    }
    return active < Math.max(1, (int) endpoint.concurrencyLimit)
        && now.compareTo(endpoint.pausedUntil) >= 0;
  }

  /**
   * Adapts the limit of the endpoint to the outcome of an attempt.
   *
   * @param elapsed the time since the attempt was sent
   */
  void recordOutcome(Duration now, Attempt attempt, AttemptOutcome outcome, Duration elapsed) {
    boolean overloaded = outcome == AttemptOutcome.OVERLOADED;
    if ((outcome.provesNotExecuted() && !overloaded)
        || outcome == AttemptOutcome.IDLE_CONNECTION_LOST
        || latency.isPresumedLost(attempt)) {
      return;
    }
    // The client disconnected, so the latency exceeded what it was willing to wait.
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
    // A limit below one is enforced by a pause between attempts. A fast answer shortens the pause,
    // since requests that only this endpoint may serve would otherwise wait while it is idle.
    double pauseRatio =
        Math.max(0, 1 / endpoint.concurrencyLimit - 1)
            * Math.min(1, objectiveRatio / TARGET_OBJECTIVE_RATIO);
    endpoint.pausedUntil = now.plus(Durations.ofSeconds(elapsedSeconds * pauseRatio));
    if (step < 0 || endpoint.inFlight.size() + 2 > endpoint.concurrencyLimit) {
      endpoint.concurrencyLimit = Math.max(MIN_LIMIT, endpoint.concurrencyLimit * (1 + step));
    }
  }
}
