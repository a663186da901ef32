package weldcross.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Routes requests to servers, based only on what this gateway knows.
 *
 * <p>The router is a state machine. Its host calls one public method for each event, from a single
 * thread and with the time since the start of the router; the router acts through {@link
 * RouterActions}. This class handles the events and the lifecycle of requests, and delegates each
 * kind of decision to a class of its own. {@code docs/design.md} describes the policy.
 */
public final class Router {

  /** Interval of periodic work that no request waits for. */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

  /** Interval at which a group with queued requests is checked. */
  private static final Duration QUEUE_CHECK_INTERVAL = Duration.ofMillis(25);

  private final RouterActions actions;
  private final RoutingConfig config;
  private final SplittableRandom random;
  private final RouterTimers timers;
  private final LatencyEstimator latency;
  private final SessionConsistency consistency;
  private final ConcurrencyLimiter limiter;
  private final SlowStart slowStart;
  private final HealthChecker healthChecker;
  private final OutlierDetector outliers;
  private final RetryPolicy retryPolicy;
  private final AdmissionQueue admissionQueue;
  private final EndpointRegistry registry;
  private final EndpointSelector selector;
  private final Map<RequestId, RequestState> requests = new LinkedHashMap<>();

  /**
   * Creates a router and schedules its first tick.
   *
   * @param seed the seed of all random choices: the same events result in the same actions
   */
  public Router(RouterActions actions, RoutingConfig config, long seed) {
    this.actions = actions;
    this.config = config;
    this.random = new SplittableRandom(seed);
    this.timers = new RouterTimers(actions);
    this.latency = new LatencyEstimator(config.requestClasses().size());
    this.consistency = new SessionConsistency(config);
    this.limiter = new ConcurrencyLimiter(config.gateways(), latency);
    this.slowStart = new SlowStart(config, random, latency, limiter, consistency);
    this.healthChecker = new HealthChecker(actions, config, consistency);
    this.outliers = new OutlierDetector(actions, config, latency, slowStart, healthChecker);
    this.retryPolicy = new RetryPolicy(config);
    this.admissionQueue = new AdmissionQueue(config.requestClasses().size());
    this.registry = new EndpointRegistry(actions, config, random, limiter, slowStart);
    this.selector =
        new EndpointSelector(
            registry, retryPolicy, outliers, limiter, slowStart, consistency, healthChecker);
    if (config.pollEndpointList()) {
      actions.requestEndpointList();
    }
    actions.scheduleTick(TICK_INTERVAL);
  }

  /**
   * Sets the quota of this gateway.
   *
   * @param quota the share of this gateway in the work of the whole fleet, in (0, 1]
   */
  public void setQuota(double quota) {
    limiter.setQuota(quota, registry.endpoints());
    slowStart.setQuota(quota);
  }

  // ---- Endpoint list

  /**
   * Begins an endpoint list; its entries follow, then {@link #endEndpointList}.
   *
   * @param complete whether servers missing from the list are removed
   */
  public void beginEndpointList(Duration now, boolean complete) {
    registry.beginList(complete);
  }

  /** Handles one entry of the endpoint list. */
  public void endpointListed(Duration now, ListedEndpoint entry) {
    registry.addListed(now, entry);
  }

  /** Ends the endpoint list that was begun by {@link #beginEndpointList}. */
  public void endEndpointList(Duration now) {
    registry.endList();
    registry.groups().forEach(group -> checkQueue(now, group));
  }

  /**
   * Sets whether the endpoint list is valid, that is, known to show all draining servers; initially
   * it is. While it is not, nothing is sent, since a server may be draining without the list
   * showing it. The drawback is that no requests are served during a discovery outage even if all
   * servers are healthy.
   */
  public void setEndpointListValid(Duration now, boolean valid) {
    if (registry.setListValid(valid)) {
      registry.groups().forEach(group -> checkQueue(now, group));
    }
  }

  /**
   * Handles the failure of a request for the endpoint list. As it is unknown which request failed,
   * the list is requested again, with backoff.
   */
  public void endpointListFailed(Duration now) {
    registry.recordListFailure(now);
  }

  // ---- Requests

  /** Handles the arrival of a request from a client. */
  public void requestArrived(Duration now, NewRequest arrival) {
    RequestState request =
        new RequestState(
            arrival.id(),
            arrival.classIndex(),
            config.requestClasses().get(arrival.classIndex()),
            registry.group(arrival.group()),
            arrival.session(),
            arrival.timeSinceLastWrite().isZero() ? null : now.minus(arrival.timeSinceLastWrite()),
            arrival.clientRetry(),
            now,
            now.plus(arrival.timeout()),
            random.nextDouble());
    requests.put(request.id, request);
    request.firstSendTimer =
        timers.schedule(
            request.firstSendDeadline, at -> giveUpIf(request, request.attempts.isEmpty()));
    // An idempotent request is given up even with an attempt in flight, as its client can safely
    // retry it. Any other one waits for the attempt, without which its outcome would be unknown.
    request.sendDeadlineTimer =
        timers.schedule(
            request.sendDeadline,
            at -> giveUpIf(request, request.attemptsInFlight == 0 || request.isIdempotent()));
    route(now, request);
  }

  /**
   * Returns whether a scheduled attempt may still be sent, now that its connection is established.
   * In the meantime a staleness bound or a deduplication window may have expired, the server may
   * have lost its role as primary or may be draining, or the endpoint list may have become invalid.
   * An attempt that is no longer eligible must end as {@link AttemptOutcome#NOT_SENT}.
   *
   * @param attempt the zero-based number of the attempt among the attempts of the request
   */
  public boolean isStillEligible(Duration now, RequestId id, int attempt) {
    RequestState request = requests.get(id);
    return selector.isStillEligible(now, request, request.attempts.get(attempt));
  }

  /** Handles the end of an attempt. */
  public void attemptEnded(Duration now, AttemptResult result) {
    RequestState request = requests.get(result.request());
    if (request == null) {
      return;
    }
    Attempt attempt = request.attempts.get(result.attemptNumber());
    EndpointState endpoint = attempt.endpoint();
    AttemptOutcome outcome = result.outcome();
    removeFromFlight(attempt, outcome);
    consistency.recordOutcome(now, request, outcome, result.position());
    if (result.primary() != null) {
      recordRole(now, attempt, result);
      dispatchQueue(now, endpoint.group);
    }
    recordOutcome(now, attempt, outcome, result.elapsed());
    slowStart.confirmAlive(now, endpoint, result.aliveSince());
    if (result.requestAnswered() && !request.finished) {
      finish(request, outcome == AttemptOutcome.OK);
    }
    if (!request.finished && request.attemptsInFlight == 0) {
      retry(now, request, outcome);
    }
    if (request.finished && request.attemptsInFlight == 0) {
      requests.remove(request.id);
    }
    dispatchQueue(now, endpoint.group);
  }

  /**
   * Records the role that the answer reports. That the server is the primary is valid as of its
   * replication position; the answer to a write has the commit position of the write instead, so
   * there, and without a position, it is valid as of the sending of the attempt. For a replica, the
   * reported position is recorded.
   */
  private static void recordRole(Duration now, Attempt attempt, AttemptResult result) {
    boolean primary = result.primary();
    Duration position = result.position();
    boolean hasServerPosition = position != null && !attempt.request().isWrite();
    Duration primaryAsOf = hasServerPosition ? position : now.minus(result.elapsed());
    PrimaryTracker.recordAnswer(now, attempt.endpoint(), primary ? primaryAsOf : position, primary);
  }

  private static void removeFromFlight(Attempt attempt, AttemptOutcome outcome) {
    RequestState request = attempt.request();
    request.attemptsInFlight--;
    request.overdueTimers.get(attempt.number()).cancel();
    request.mayHaveExecuted |= !outcome.provesNotExecuted();
    attempt.endpoint().inFlight.remove(attempt);
    attempt.endpoint().readsInFlight -= request.isWrite() ? 0 : 1;
  }

  private void recordOutcome(
      Duration now, Attempt attempt, AttemptOutcome outcome, Duration elapsed) {
    limiter.recordOutcome(now, attempt, outcome, elapsed);
    int classIndex = attempt.request().classIndex;
    boolean success = outcome == AttemptOutcome.OK;
    // A lower rank is preferred, but only among equally busy endpoints, so that a single bad answer
    // may raise the rank.
    if (outcome == AttemptOutcome.ERROR
        || outcome == AttemptOutcome.UNREACHABLE
        || (success && latency.isSlow(classIndex, elapsed))) {
      attempt.endpoint().rank++;
    }
    if (success) {
      latency.record(classIndex, elapsed);
      slowStart.recordSuccess(now, attempt);
      retryPolicy.recordSuccess();
    }
    outliers.recordOutcome(now, attempt, outcome);
  }

  /** Handles that the client of the request no longer waits for an answer. */
  public void clientDisconnected(Duration now, RequestId id) {
    RequestState request = requests.get(id);
    if (request != null && !request.finished) {
      request.clientDisconnected = true;
      finish(request, false);
    }
  }

  // ---- Health checks, load reports and gossip

  /**
   * Handles the end of a health check.
   *
   * @param aliveSince the earliest time at which the answering server process is known to have been
   *     running; null if unknown
   */
  public void healthCheckEnded(
      Duration now, ServerId server, AttemptOutcome outcome, Duration aliveSince) {
    EndpointState endpoint = registry.endpoint(server);
    endpoint.healthCheckPending = false;
    slowStart.confirmAlive(now, endpoint, aliveSince);
    outliers.recordHealthCheck(now, endpoint, outcome);
  }

  /**
   * Handles a load report of a server.
   *
   * @param position the replication position of the server
   * @param primary whether the server reported itself as the primary; null if it did not report its
   *     role
   */
  public void reportReceived(Duration now, ServerId server, Duration position, Boolean primary) {
    EndpointState endpoint = registry.endpoint(server);
    PrimaryTracker.recordReport(now, endpoint, position, primary);
    dispatchQueue(now, endpoint.group);
  }

  /**
   * Handles a gossip message that another gateway could not reach the server. The server may
   * restart and come back cold without this gateway noticing, so it is put into slow start; that is
   * needless if only the other gateway is partitioned.
   */
  public void gossipReceived(Duration now, ServerId server) {
    EndpointState endpoint = registry.endpoint(server);
    if (endpoint != null) {
      endpoint.startedAt = now;
      endpoint.lastGossipAt = now;
      slowStart.presumeRestart(now, endpoint);
    }
  }

  // ---- Time

  /** Does the periodic work, as scheduled by {@link RouterActions#scheduleTick}. */
  public void tick(Duration now) {
    actions.scheduleTick(now.plus(TICK_INTERVAL));
    registry.pollIfDue(now);
    slowStart.updateRate(now, TICK_INTERVAL, registry.endpoints());
    consistency.expireTokens(now);
    registry.evictRemoved(now);
  }

  /** Runs the timers that are due, as scheduled by {@link RouterActions#scheduleTimer}. */
  public void timersDue(Duration now) {
    timers.fireDue(now);
  }

  // ---- Request lifecycle

  private void route(Duration now, RequestState request) {
    if (!retryPolicy.maySend(now, request)) {
      if (request.attemptsInFlight == 0) {
        giveUp(request);
      }
      return;
    }
    EndpointState endpoint = selector.select(now, request);
    if (endpoint != null) {
      send(now, request, endpoint);
    } else if (request.attemptsInFlight == 0) {
      // The primary may be the only eligible endpoint, so it may be tried again.
      request.triedEndpoints.remove(request.group.primary);
      enqueue(now, request);
    }
  }

  private void send(Duration now, RequestState request, EndpointState endpoint) {
    request.group.queue.remove(request);
    boolean inSlowStart = slowStart.isWarmingUp(now, endpoint);
    Attempt attempt =
        new Attempt(
            request,
            endpoint,
            request.attempts.size(),
            now,
            latency.typicalSeconds(request.classIndex),
            inSlowStart);
    request.attempts.add(attempt);
    request.overdueTimers.add(Timer.NONE);
    request.firstSendTimer.cancel();
    request.attemptsInFlight++;
    request.triedEndpoints.add(endpoint);
    endpoint.inFlight.add(attempt);
    endpoint.readsInFlight += request.isWrite() ? 0 : 1;
    if (inSlowStart) {
      slowStart.recordSend(now, request, endpoint);
    }
    outliers.recordSend(now, endpoint);
    actions.sendAttempt(request.id, endpoint.id, request.expiresAt);
    scheduleOverdueCheck(LatencyEstimator.overdueAt(attempt), attempt);
  }

  private void scheduleOverdueCheck(Duration at, Attempt attempt) {
    Timer timer = timers.schedule(at, now -> checkOverdue(now, attempt));
    attempt.request().overdueTimers.set(attempt.number(), timer);
  }

  private void checkOverdue(Duration now, Attempt attempt) {
    EndpointState endpoint = attempt.endpoint();
    if (!endpoint.inFlight.contains(attempt)) {
      return;
    }
    outliers.checkOverdue(now, endpoint);
    if (endpoint.ejected || (endpoint.group.queue.isEmpty() && latency.isPresumedLost(attempt))) {
      hedge(now, attempt);
    }
    scheduleOverdueCheck(now.plus(Durations.ofSeconds(attempt.expectedSeconds())), attempt);
  }

  /**
   * Sends a hedged attempt to a second endpoint, in case the first one hangs or its answer was
   * lost. Without parallel attempts, cancels the first attempt instead, so that the request is
   * retried when the attempt has ended.
   */
  private void hedge(Duration now, Attempt overdue) {
    RequestState request = overdue.request();
    if (!retryPolicy.mayHedge(request)) {
      return;
    }
    route(now, request);
    // One hedge if route has sent a second attempt, otherwise none.
    retryPolicy.recordHedges(request.attemptsInFlight - 1);
    if (!config.parallelAttempts() && config.cancellation()) {
      retryPolicy.recordHedges(1);
      actions.cancel(request.id, overdue.number());
    }
  }

  /**
   * Retries a request that has no attempt in flight: at once if there is an untried member, or if a
   * write was sent to a server that does not serve writes, so that the search for the primary
   * continues without offering the write to the same members again; otherwise from the queue, with
   * all members eligible again.
   */
  private void retry(Duration now, RequestState request, AttemptOutcome outcome) {
    if (now.compareTo(request.sendDeadline) >= 0 || !retryPolicy.maySend(now, request)) {
      giveUp(request);
    } else if ((outcome == AttemptOutcome.INELIGIBLE && request.isWrite())
        || hasUntriedMember(request)) {
      route(now, request);
    } else {
      request.triedEndpoints.clear();
      enqueue(now, request);
    }
  }

  private static boolean hasUntriedMember(RequestState request) {
    for (EndpointState member : request.group.members) {
      if (member.listed && !request.triedEndpoints.contains(member)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Queues the request. A group is only checked while it has queued requests, so idle groups cause
   * no work.
   */
  private void enqueue(Duration now, RequestState request) {
    ReplicaGroup group = request.group;
    group.queue.add(request);
    if (!group.queueCheckScheduled) {
      group.queueCheckScheduled = true;
      timers.schedule(
          now.plus(QUEUE_CHECK_INTERVAL),
          at -> {
            group.queueCheckScheduled = false;
            checkQueue(at, group);
          });
    }
  }

  private void checkQueue(Duration now, ReplicaGroup group) {
    group.members.forEach(member -> healthChecker.checkIfUnknown(now, member));
    dispatchQueue(now, group);
  }

  private void dispatchQueue(Duration now, ReplicaGroup group) {
    for (RequestState request : admissionQueue.dispatchOrder(now, group)) {
      if (request.finished) {
        continue;
      }
      if (latency.cannotMeetDeadline(now, request)) {
        giveUp(request);
      } else {
        route(now, request);
      }
    }
  }

  private void giveUpIf(RequestState request, boolean condition) {
    if (condition && !request.finished) {
      giveUp(request);
    }
  }

  /**
   * Answers the request without success: rejects it if the client may retry, otherwise fails it.
   */
  private void giveUp(RequestState request) {
    if (retryPolicy.isSafeForClientToRetry(request)) {
      actions.reject(request.id, config.maxRetryAfter());
    } else {
      actions.fail(request.id);
    }
    finish(request, false);
  }

  private void finish(RequestState request, boolean served) {
    admissionQueue.recordFinished(request, served);
    request.finished = true;
    request.firstSendTimer.cancel();
    request.sendDeadlineTimer.cancel();
    if (config.cancellation()) {
      for (Attempt attempt : request.attempts) {
        if (attempt.endpoint().inFlight.contains(attempt)) {
          actions.cancel(request.id, attempt.number());
        }
      }
    }
    if (request.attemptsInFlight == 0) {
      requests.remove(request.id);
    }
  }

  /**
   * Formats the state for the log: for each server the attempts in flight, the concurrency limit,
   * the age of its replication position in ms and its role and status; then the number of queued
   * requests.
   */
  public String describe(Duration now) {
    return registry.endpoints().stream()
            .map(endpoint -> endpoint.describe(now, slowStart.isWarmingUp(now, endpoint)))
            .toList()
        + ", queued "
        + registry.groups().stream().mapToInt(group -> group.queue.size()).sum();
  }
}
