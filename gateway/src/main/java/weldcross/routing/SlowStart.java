package weldcross.routing;

import static weldcross.routing.Durations.inSeconds;
import static weldcross.routing.Durations.later;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Limits the load on a server while it warms up. This gateway's rate of work per warm server,
 * multiplied by the fraction of its full capacity that the server currently has, adds up over all
 * gateways to what the server can handle. Attempts are spaced accordingly.
 */
final class SlowStart {

  /**
   * Fraction of the budget that is used. The rest is left for handshakes, health checks and
   * variations in the cost of requests.
   */
  private static final double BUDGET_UTILIZATION = 0.75;

  /** Time constant of the moving average of the work of warm servers. */
  private static final Duration RATE_WINDOW = Duration.ofSeconds(4);

  /**
   * Unused budget accumulates for at most the overload window divided by this, or for one attempt
   * if that is longer.
   */
  private static final int BURST_WINDOW_DIVISOR = 4;

  /** A request older than this is considered to come from the queue. */
  private static final Duration MAX_UNQUEUED_AGE = Duration.ofMillis(30);

  /** How long after the failure of a process was detected its last answers may still arrive. */
  private static final Duration LATE_RESPONSE_MARGIN = Duration.ofMillis(30);

  private final RoutingConfig config;
  private final SplittableRandom random;
  private final LatencyEstimator latency;
  private final ConcurrencyLimiter limiter;
  private final SessionConsistency consistency;

  /** Effective number of gateways, the inverse of this gateway's quota; may be fractional. */
  private double fleetSize;

  /**
   * Work completed by all warm servers since the last {@link #updateRate}, in seconds of expected
   * latency.
   */
  private double warmWorkSeconds;

  /**
   * Work completed by one warm server for this gateway, in seconds of expected latency per second.
   */
  private double warmServerRate;

  SlowStart(
      RoutingConfig config,
      SplittableRandom random,
      LatencyEstimator latency,
      ConcurrencyLimiter limiter,
      SessionConsistency consistency) {
    this.config = config;
    this.random = random;
    this.latency = latency;
    this.limiter = limiter;
    this.consistency = consistency;
    this.fleetSize = config.gateways();
  }

  /** Sets the quota of this gateway, its share in the fleet, in (0, 1]. */
  void setQuota(double quota) {
    fleetSize = 1 / quota;
  }

  boolean isWarmingUp(Duration now, EndpointState endpoint) {
    return endpoint.warmUpStartedAt != null
        && now.minus(endpoint.warmUpStartedAt).compareTo(config.slowStartDuration()) < 0;
  }

  /**
   * Returns whether the slow-start budget of the endpoint admits the request. Requests from the
   * queue may arrive in bursts and are spaced out; other requests arrive one by one and are
   * admitted with a probability.
   */
  boolean admits(Duration now, RequestState request, EndpointState endpoint) {
    if (!isWarmingUp(now, endpoint) || now.compareTo(endpoint.nextSlowStartSendAt) >= 0) {
      return true;
    }
    boolean isUnqueued = now.minus(request.arrivedAt).compareTo(MAX_UNQUEUED_AGE) <= 0;
    boolean startNotListed =
        endpoint.startedAt == null
            || now.minus(endpoint.startedAt).compareTo(config.slowStartDuration()) >= 0;
    if (!isUnqueued || startNotListed) {
      return isUnqueued;
    }
    Duration maxScheduleAhead = sendInterval(now, endpoint, request.classIndex).multipliedBy(2);
    boolean budgetExhausted =
        now.plus(maxScheduleAhead).compareTo(endpoint.nextSlowStartSendAt) < 0;
    double admissionProbability =
        BUDGET_UTILIZATION
            * config.overloadMultiple()
            * capacityFraction(now, endpoint)
            * equallyLoadedMembers(now, request, endpoint)
            / endpoint.group.members.size();
    return !budgetExhausted && request.slowStartSample < admissionProbability;
  }

  /**
   * Returns the number of members that are equally likely to be selected for the request. If one
   * member is the least busy, all gateways select it, rather than each member being selected by an
   * equal share of the gateways.
   */
  private double equallyLoadedMembers(Duration now, RequestState request, EndpointState endpoint) {
    if (request.isWrite()) {
      return endpoint.group.members.size();
    }
    int count = 0;
    for (EndpointState member : endpoint.group.members) {
      if (member.listed
          && !member.draining
          && !member.ejected
          && member.readsInFlight <= endpoint.readsInFlight
          && limiter.hasCapacity(now, member)
          && consistency.isFreshEnough(now, request, member)) {
        count++;
      }
    }
    return count;
  }

  /**
   * Returns the fraction of its full capacity that a server that is warming up has now, in (0, 1].
   */
  private double capacityFraction(Duration now, EndpointState endpoint) {
    double warmUpProgress =
        Math.max(
            0,
            inSeconds(now.minus(endpoint.warmUpStartedAt)) / inSeconds(config.slowStartDuration()));
    return config.initialCapacityFraction()
        + (1 - config.initialCapacityFraction()) * Math.min(1, warmUpProgress);
  }

  /**
   * Returns the interval between two attempts of a request class to a server that is warming up.
   */
  private Duration sendInterval(Duration now, EndpointState endpoint, int classIndex) {
    double rate =
        BUDGET_UTILIZATION
            * config.overloadMultiple()
            * capacityFraction(now, endpoint)
            * warmServerRate;
    double expectedSeconds = latency.typicalSeconds(classIndex);
    // Without a measured rate, all gateways together send one attempt per overload window.
    double minRate = expectedSeconds / (inSeconds(config.overloadWindow()) * fleetSize);
    return Durations.ofSeconds(expectedSeconds / Math.max(rate, minRate));
  }

  /** Charges an attempt that is sent now to the budget of an endpoint that is warming up. */
  void recordSend(Duration now, RequestState request, EndpointState endpoint) {
    Duration interval = sendInterval(now, endpoint, request.classIndex);
    Duration maxBurst = later(interval, config.overloadWindow().dividedBy(BURST_WINDOW_DIVISOR));
    endpoint.nextSlowStartSendAt =
        later(endpoint.nextSlowStartSendAt, now.minus(maxBurst)).plus(interval);
  }

  /** Adds a successful answer to the work completed by warm servers. */
  void recordSuccess(Duration now, Attempt attempt) {
    warmWorkSeconds += isWarmingUp(now, attempt.endpoint()) ? 0 : attempt.expectedSeconds();
  }

  /** Updates the average work rate of warm servers; must be called once per {@code interval}. */
  void updateRate(Duration now, Duration interval, Iterable<EndpointState> endpoints) {
    long warmServers = 0;
    for (EndpointState endpoint : endpoints) {
      if (endpoint.listed && !isWarmingUp(now, endpoint)) {
        warmServers++;
      }
    }
    warmServerRate +=
        warmServers == 0
            ? 0
            : (warmWorkSeconds / warmServers - warmServerRate * inSeconds(interval))
                / inSeconds(RATE_WINDOW);
    warmWorkSeconds = 0;
  }

  /** Begins the slow start of an endpoint whose process started at {@code since}. */
  void begin(Duration now, EndpointState endpoint, Duration since) {
    endpoint.warmUpStartedAt = since;
    // Choose a new rank among those of the members. With its old rank, below those of members that
    // were slow, the server would be preferred by all gateways.
    List<EndpointState> members = endpoint.group.members;
    endpoint.rank = members.get(random.nextInt(members.size())).rank + random.nextDouble() - 0.5;
    // All gateways learn of the start at about the same time, so each delays its first attempt
    // randomly.
    endpoint.nextSlowStartSendAt =
        now.plus(
            Durations.ofSeconds(random.nextDouble() * inSeconds(sendInterval(now, endpoint, 0))));
  }

  /** Presumes that an unreachable endpoint restarts, until {@link #confirmAlive} disproves it. */
  void presumeRestart(Duration now, EndpointState endpoint) {
    if (endpoint.presumedRestartAt == null || !isWarmingUp(now, endpoint)) {
      endpoint.warmUpStartedAtBeforeRestart = endpoint.warmUpStartedAt;
      endpoint.presumedRestartAt = now;
    }
    begin(now, endpoint, now);
  }

  /**
   * Reverts a presumed restart if the answering process was already running before it.
   *
   * @param aliveSince the earliest time at which the process is known to have been running; null if
   *     it did not answer
   */
  void confirmAlive(Duration now, EndpointState endpoint, Duration aliveSince) {
    if (aliveSince == null
        || endpoint.presumedRestartAt == null
        || aliveSince.compareTo(endpoint.warmUpStartedAt) >= 0
        || now.minus(endpoint.warmUpStartedAt).compareTo(LATE_RESPONSE_MARGIN) <= 0) {
      return;
    }
    if (aliveSince.compareTo(endpoint.presumedRestartAt) < 0) {
      endpoint.warmUpStartedAt = endpoint.warmUpStartedAtBeforeRestart;
      endpoint.presumedRestartAt = null;
    } else {
      endpoint.warmUpStartedAt = aliveSince;
    }
  }
}
