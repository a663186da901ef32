package weldcross.routing;

import static weldcross.routing.Durations.inSeconds;
import static weldcross.routing.Durations.later;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Limits what a server gets while it warms up. This gateway's share of a warm server's work, times
 * the share of its capacity that the server has so far, adds up over all gateways to what the
 * server can take; attempts are spaced accordingly.
 */
final class SlowStart {

  /** The share of the budget that is used: handshakes, health checks and uneven work need some. */
  private static final double BUDGET_UTILIZATION = 0.75;

  /** The window over which the work of warm servers is averaged. */
  private static final Duration RATE_WINDOW = Duration.ofSeconds(4);

  /** Unused budget is saved up for this share of the overload window, or for one attempt. */
  private static final int BURST_WINDOW_DIVISOR = 4;

  /** A request that has waited for longer than this came from the queue. */
  private static final Duration MAX_UNQUEUED_AGE = Duration.ofMillis(30);

  /** What a process sent before it ended may come in this much later than the news of its end. */
  private static final Duration LATE_RESPONSE_MARGIN = Duration.ofMillis(30);

  private final RoutingConfig config;
  private final SplittableRandom random;
  private final LatencyEstimator latency;
  private final ConcurrencyLimiter limiter;
  private final SessionConsistency consistency;
  private double fleetSize;

  /** Work answered by warm servers since the last {@link #updateRate}, in expected seconds. */
  private double warmWorkSeconds;

  /** Work that one warm server answers, in expected seconds per second. */
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

  /** Sets the share of this gateway among all, in (0, 1]. */
  void setQuota(double share) {
    fleetSize = 1 / share;
  }

  boolean isWarmingUp(Duration now, EndpointState endpoint) {
    return endpoint.warmUpStartedAt != null
        && now.minus(endpoint.warmUpStartedAt).compareTo(config.slowStartDuration()) < 0;
  }

  /**
   * Whether the endpoint's budget has room for the request. Requests from the queue may come all at
   * once and are spaced out; requests that come one by one are thinned by chance.
   */
  boolean admits(Duration now, RequestState request, EndpointState endpoint) {
    if (!isWarmingUp(now, endpoint) || now.compareTo(endpoint.nextSlowStartSendAt) >= 0) {
      return true;
    }
    boolean fresh = now.minus(request.arrivedAt).compareTo(MAX_UNQUEUED_AGE) <= 0;
    boolean startNotListed =
        endpoint.startedAt == null
            || now.minus(endpoint.startedAt).compareTo(config.slowStartDuration()) >= 0;
    if (!fresh || startNotListed) {
      return fresh;
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
   * Returns among how many members the request's endpoint is picked: the least busy one is picked
   * by all gateways, not by one in as many as there are members.
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

  /** Returns the share of its full capacity that a warming server has now, in (0, 1]. */
  private double capacityFraction(Duration now, EndpointState endpoint) {
    double warmed =
        Math.max(
            0,
            inSeconds(now.minus(endpoint.warmUpStartedAt)) / inSeconds(config.slowStartDuration()));
    return config.initialCapacityFraction()
        + (1 - config.initialCapacityFraction()) * Math.min(1, warmed);
  }

  /** Returns the gap between two attempts of a class to a server that warms up. */
  private Duration sendInterval(Duration now, EndpointState endpoint, int classIndex) {
    double rate =
        BUDGET_UTILIZATION
            * config.overloadMultiple()
            * capacityFraction(now, endpoint)
            * warmServerRate;
    double expectedSeconds = latency.typicalSeconds(classIndex);
    // A gateway that has sent nothing yet takes its part of one attempt an overload window.
    double minRate = expectedSeconds / (inSeconds(config.overloadWindow()) * fleetSize);
    return Durations.ofSeconds(expectedSeconds / Math.max(rate, minRate));
  }

  /** Takes the attempt that is sent now out of the budget of an endpoint that warms up. */
  void recordSend(Duration now, RequestState request, EndpointState endpoint) {
    Duration interval = sendInterval(now, endpoint, request.classIndex);
    Duration maxBurst = later(interval, config.overloadWindow().dividedBy(BURST_WINDOW_DIVISOR));
    endpoint.nextSlowStartSendAt =
        later(endpoint.nextSlowStartSendAt, now.minus(maxBurst)).plus(interval);
  }

  /** Counts a successful answer toward what warm servers do. */
  void recordSuccess(Duration now, Attempt attempt) {
    warmWorkSeconds += isWarmingUp(now, attempt.endpoint()) ? 0 : attempt.expectedSeconds();
  }

  /** Averages the work of warm servers; to be called once in each {@code interval}. */
  void updateRate(Duration now, Duration interval, Iterable<EndpointState> endpoints) {
    long warm = 0;
    for (EndpointState endpoint : endpoints) {
      if (endpoint.listed && !isWarmingUp(now, endpoint)) {
        warm++;
      }
    }
    warmServerRate +=
        warm == 0
            ? 0
            : (warmWorkSeconds / warm - warmServerRate * inSeconds(interval))
                / inSeconds(RATE_WINDOW);
    warmWorkSeconds = 0;
  }

  /** Starts the warm-up of an endpoint whose process started at {@code since}. */
  void begin(Duration now, EndpointState endpoint, Duration since) {
    endpoint.warmUpStartedAt = since;
    // A new place among its equals: behind those that were slow it would be first at all gateways.
    List<EndpointState> members = endpoint.group.members;
    endpoint.rank = members.get(random.nextInt(members.size())).rank + random.nextDouble() - 0.5;
    // Many gateways learn of a start in the same moment; each begins at a time of its own.
    endpoint.nextSlowStartSendAt =
        now.plus(
            Durations.ofSeconds(random.nextDouble() * inSeconds(sendInterval(now, endpoint, 0))));
  }

  /** Treats an endpoint that could not be reached as started anew, until shown otherwise. */
  void presumeRestart(Duration now, EndpointState endpoint) {
    if (endpoint.presumedRestartAt == null || !isWarmingUp(now, endpoint)) {
      endpoint.warmUpStartedAtBeforeRestart = endpoint.warmUpStartedAt;
      endpoint.presumedRestartAt = now;
    }
    begin(now, endpoint, now);
  }

  /**
   * Takes back a presumed restart if the process that answers was alive before it.
   *
   * @param aliveSince since when at least the process runs; null if it did not answer
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
