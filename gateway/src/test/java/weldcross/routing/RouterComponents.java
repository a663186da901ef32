package weldcross.routing;

import static weldcross.routing.RouterHarness.ms;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;

/**
 * The components of a router without the router, for tests that call one of them directly. Records
 * the actions that they request. All endpoints are members of one group.
 */
final class RouterComponents implements RouterActions {

  final RoutingConfig config =
      RoutingConfigs.withWrites(
          Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, true, false);
  final SplittableRandom random = new SplittableRandom(7);
  final LatencyEstimator latency = new LatencyEstimator(config.requestClasses().size());
  final SessionConsistency consistency = new SessionConsistency(config);
  final ConcurrencyLimiter limiter = new ConcurrencyLimiter(config.gateways(), latency);
  final SlowStart slowStart = new SlowStart(config, random, latency, limiter, consistency);
  final HealthChecker healthChecker = new HealthChecker(this, config, consistency);
  final OutlierDetector outliers =
      new OutlierDetector(this, config, latency, slowStart, healthChecker);
  final EndpointRegistry registry = new EndpointRegistry(this, config, random, limiter, slowStart);
  final EndpointSelector selector =
      new EndpointSelector(
          registry,
          new RetryPolicy(config),
          outliers,
          limiter,
          slowStart,
          consistency,
          healthChecker);
  final ReplicaGroup group = registry.group(new GroupId(0));
  final List<ServerId> healthChecks = new ArrayList<>();
  final List<ServerId> gossiped = new ArrayList<>();
  final List<ServerId> removed = new ArrayList<>();
  int endpointListRequests;

  /** Lists the given number of active servers, without start times. */
  RouterComponents(int memberCount) {
    registry.beginList(false);
    for (int number = 0; number < memberCount; number++) {
      list(number, EndpointStatus.ACTIVE, null, false);
    }
    registry.endList();
  }

  /** Adds one entry to the endpoint list being received. */
  void list(int number, EndpointStatus status, Duration startedAt, boolean primary) {
    registry.addListed(
        ms(0),
        new ListedEndpoint(
            new ServerId("s" + number), new ZoneId(0), new GroupId(0), status, startedAt, primary));
  }

  EndpointState endpoint(int number) {
    return registry.endpoint(new ServerId("s" + number));
  }

  /** Returns a request without a session that has just arrived. */
  RequestState request(Consistency consistency, Duration arrivedAt) {
    return new RequestState(
        new RequestId("r"),
        RoutingConfigs.classIndex(consistency),
        config.requestClasses().get(RoutingConfigs.classIndex(consistency)),
        group,
        null,
        null,
        false,
        arrivedAt,
        arrivedAt.plus(RouterHarness.DEADLINE),
        0);
  }

  /** Notifies the outlier detector of the outcome of a read on the endpoint. */
  void end(Duration now, EndpointState endpoint, AttemptOutcome outcome) {
    RequestState read = request(Consistency.ANY, now);
    outliers.recordOutcome(now, new Attempt(read, endpoint, 0, now, 0.1, false), outcome);
  }

  @Override
  public void sendAttempt(RequestId request, ServerId server, Duration expiresAt) {
    throw new AssertionError("only the router sends");
  }

  @Override
  public void cancel(RequestId request, int attempt) {
    throw new AssertionError("only the router cancels");
  }

  @Override
  public void reject(RequestId request, Duration retryAfter) {
    throw new AssertionError("only the router rejects");
  }

  @Override
  public void fail(RequestId request) {
    throw new AssertionError("only the router fails a request");
  }

  @Override
  public void sendHealthCheck(ServerId server) {
    healthChecks.add(server);
  }

  @Override
  public void gossipUnreachable(ServerId server) {
    gossiped.add(server);
  }

  @Override
  public void requestEndpointList() {
    endpointListRequests++;
  }

  @Override
  public void endpointRemoved(ServerId server) {
    removed.add(server);
  }

  @Override
  public void scheduleTick(Duration at) {
    throw new AssertionError("only the router schedules ticks");
  }

  @Override
  public void scheduleTimer(Duration at) {
    throw new AssertionError("only the router schedules timers");
  }
}
