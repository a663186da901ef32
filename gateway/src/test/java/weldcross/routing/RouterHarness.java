package weldcross.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;

/**
 * The host of one router. Simulates its servers and clients, and fails the test as soon as an
 * action of the router violates an invariant of the service. Time passes only in {@link #advance}.
 */
final class RouterHarness implements RouterActions {

  static final Duration STALENESS_BOUND = ms(400);
  static final Duration LATENCY_OBJECTIVE = ms(400);
  static final Duration DEADLINE = ms(1500);

  /** The actual state of a server. The router only knows what the test has reported to it. */
  static final class Server {
    final ServerId id;
    final GroupId group;
    EndpointStatus listedStatus = EndpointStatus.REMOVED;
    Duration startedAt;
    Duration position = Duration.ZERO;
    Duration reportedPosition;
    boolean primary;
    boolean reportedPrimary;
    final List<Duration> slowStartSends = new ArrayList<>();

    Server(int number, int group) {
      this.id = new ServerId("s" + number);
      this.group = new GroupId(group);
    }
  }

  /** The final answer of a request. */
  enum Answer {
    OK,
    REJECTED,
    FAILED
  }

  /** An attempt sent by the router. */
  record SentAttempt(
      String request, int number, Server server, Duration sentAt, Duration expiresAt) {

    String serverName() {
      return server.id.name();
    }
  }

  /** A request, with its requirements and what the router has done for it. */
  static final class TrackedRequest {
    RequestClass requestClass;
    GroupId group;
    Duration arrivedAt;
    Duration deadline;
    Duration token;
    int answerCount;
    Answer answer;
    Duration answeredAt;
    boolean mayHaveExecuted;
    final List<SentAttempt> inFlight = new ArrayList<>();
    int attemptCount;
    Duration firstSentAt;
  }

  final TreeMap<String, Server> servers = new TreeMap<>();
  final TreeMap<String, TrackedRequest> requests = new TreeMap<>();
  final List<SentAttempt> inFlight = new ArrayList<>();
  final List<ServerId> healthChecks = new ArrayList<>();
  final List<ServerId> gossiped = new ArrayList<>();
  final RoutingConfig config;
  final Router router;
  Duration now = Duration.ZERO;
  Duration tickAt;
  Duration timerAt;
  int endpointListRequests;
  int timerCalls;
  int removedCalls;
  private boolean endpointListValid = true;
  private int requestCount;

  RouterHarness(RoutingConfig config, long seed) {
    this.config = config;
    this.router = new Router(this, config, seed);
  }

  static Duration ms(long millis) {
    return Duration.ofMillis(millis);
  }

  /** Disconnects the client of an unanswered request; its attempts in flight end as cancelled. */
  void disconnect(String request) {
    TrackedRequest tracked = requests.get(request);
    if (tracked.answerCount == 0) {
      tracked.answerCount++;
      router.clientDisconnected(now, new RequestId(request));
      List.copyOf(tracked.inFlight).forEach(sent -> end(sent, AttemptOutcome.CANCELLED));
    }
  }

  /**
   * Returns a harness with a group of three servers, whose state is known to the router: s0 is the
   * primary, and both replicas are up to date.
   */
  static RouterHarness withKnownPrimary() {
    return withKnownPrimary(
        RoutingConfigs.withWrites(
            Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, true, false));
  }

  static RouterHarness withKnownPrimary(RoutingConfig config) {
    return withKnownPrimary(config, 7);
  }

  static RouterHarness withKnownPrimary(RoutingConfig config, long seed) {
    RouterHarness harness = new RouterHarness(config, seed);
    harness.advance(ms(10_000));
    for (int number = 0; number < 3; number++) {
      Server server = new Server(number, 0);
      server.listedStatus = EndpointStatus.ACTIVE;
      harness.servers.put(server.id.name(), server);
    }
    harness.server(0).primary = true;
    harness.publishEndpointList();
    harness.servers.values().forEach(server -> harness.report(server, harness.now));
    return harness;
  }

  Server server(int number) {
    return servers.get("s" + number);
  }

  /** Passes the router a complete list of all servers that are not removed. */
  void publishEndpointList() {
    router.beginEndpointList(now, true);
    servers.values().stream()
        .filter(server -> server.listedStatus != EndpointStatus.REMOVED)
        .forEach(
            server ->
                router.endpointListed(
                    now,
                    new ListedEndpoint(
                        server.id,
                        new ZoneId(server.id.hashCode() & 1),
                        server.group,
                        server.listedStatus,
                        server.startedAt,
                        false)));
    router.endEndpointList(now);
  }

  /**
   * Completes a health check of the server successfully, with a load report of the given position.
   */
  void report(Server server, Duration position) {
    server.reportedPosition =
        server.reportedPosition == null || position.compareTo(server.reportedPosition) > 0
            ? position
            : server.reportedPosition;
    server.reportedPrimary = server.primary;
    router.healthCheckEnded(now, server.id, AttemptOutcome.OK, null);
    router.reportReceived(now, server.id, position, server.primary);
  }

  /** Advances the time, firing timers and expiring attempts that become due. */
  void advance(Duration time) {
    Duration end = now.plus(time);
    while (true) {
      Duration next = timerAt == null || tickAt.compareTo(timerAt) < 0 ? tickAt : timerAt;
      Duration until =
          inFlight.stream().map(SentAttempt::expiresAt).min(Duration::compareTo).orElse(next);
      if (until.compareTo(next) < 0 && until.compareTo(end) <= 0) {
        now = until;
        expire();
        continue;
      }
      if (next.compareTo(end) > 0) {
        break;
      }
      now = next;
      if (next.equals(timerAt)) {
        timerAt = null;
        router.timersDue(now);
      } else {
        router.tick(now);
      }
      expire();
    }
    now = end;
  }

  private void expire() {
    for (SentAttempt sent : new ArrayList<>(inFlight)) {
      if (inFlight.contains(sent) && sent.expiresAt.compareTo(now) <= 0) {
        end(sent, AttemptOutcome.TIMED_OUT);
      }
    }
  }

  /**
   * Sends the router a request for the first group, without an earlier write of its session;
   * returns its name.
   */
  String arrive(Consistency consistency) {
    return arrive(consistency, 0, Duration.ZERO);
  }

  /**
   * Sends the router a request and returns its name; {@code timeSinceLastWrite} is zero if there
   * was no write.
   */
  String arrive(Consistency consistency, int group, Duration timeSinceLastWrite) {
    TrackedRequest tracked = new TrackedRequest();
    tracked.requestClass = config.requestClasses().get(RoutingConfigs.classIndex(consistency));
    tracked.group = new GroupId(group);
    tracked.arrivedAt = now;
    tracked.deadline = now.plus(DEADLINE);
    tracked.token =
        consistency == Consistency.SESSION && !timeSinceLastWrite.isZero()
            ? now.minus(timeSinceLastWrite)
            : null;
    String name = "r" + requestCount++;
    requests.put(name, tracked);
    router.requestArrived(
        now,
        new NewRequest(
            new RequestId(name),
            RoutingConfigs.classIndex(consistency),
            tracked.group,
            new SessionId("session"),
            timeSinceLastWrite,
            DEADLINE,
            false));
    return name;
  }

  /**
   * Sends the router a request as {@link #arrive(Consistency)} does, and returns the attempt that
   * the router sends immediately.
   */
  SentAttempt send(Consistency consistency) {
    return firstInFlight(arrive(consistency));
  }

  /** Ends an attempt. A server that responds reports whether it is the primary. */
  void end(SentAttempt sent, AttemptOutcome outcome) {
    end(sent, outcome, sent.sentAt);
  }

  /**
   * Ends an attempt.
   *
   * @param aliveSince the earliest time at which the process is known to have been running; unused
   *     unless the server responds
   */
  void end(SentAttempt sent, AttemptOutcome outcome, Duration aliveSince) {
    TrackedRequest tracked = requests.get(sent.request);
    inFlight.remove(sent);
    tracked.inFlight.remove(sent);
    tracked.mayHaveExecuted |= !outcome.provesNotExecuted();
    if (outcome == AttemptOutcome.OK && tracked.answerCount == 0) {
      recordAnswer(tracked, Answer.OK);
    }
    boolean responds =
        outcome == AttemptOutcome.OK
            || outcome == AttemptOutcome.INELIGIBLE
            || outcome == AttemptOutcome.ERROR;
    if (responds) {
      sent.server.reportedPrimary = sent.server.primary;
      Duration previous = sent.server.reportedPosition;
      boolean isNewer = previous == null || previous.compareTo(sent.sentAt) < 0;
      sent.server.reportedPosition = sent.server.primary && isNewer ? sent.sentAt : previous;
    }
    router.attemptEnded(
        now,
        new AttemptResult(
            new RequestId(sent.request),
            sent.number,
            outcome,
            now.minus(sent.sentAt),
            responds ? aliveSince : null,
            responds ? sent.server.primary : null,
            null,
            tracked.answerCount > 0));
  }

  boolean isStillEligible(SentAttempt sent) {
    return router.isStillEligible(now, new RequestId(sent.request), sent.number);
  }

  void setEndpointListValid(boolean valid) {
    endpointListValid = valid;
    router.setEndpointListValid(now, valid);
  }

  /** Answers the attempts that have been in flight for at least {@code age}. */
  void answerOlderThan(Duration age) {
    List.copyOf(inFlight).stream()
        .filter(sent -> sent.sentAt().plus(age).compareTo(now) <= 0)
        .forEach(sent -> end(sent, AttemptOutcome.OK));
  }

  /** Returns the oldest attempt in flight of the request. */
  SentAttempt firstInFlight(String request) {
    return requests.get(request).inFlight.get(0);
  }

  /** Returns whether the router considers the server to be warming up. */
  boolean isWarmingUp(int server) {
    return router.describe(now).matches("(?s).*\\bs" + server + " [^,]* warming-up.*");
  }

  /** Returns whether the router has ejected any server. */
  boolean hasEjected() {
    return router.describe(now).contains("ejected");
  }

  private void recordAnswer(TrackedRequest tracked, Answer answer) {
    check(++tracked.answerCount == 1, "request answered twice");
    check(now.compareTo(tracked.deadline.plus(ms(20))) <= 0, "request answered after its deadline");
    tracked.answer = answer;
    tracked.answeredAt = now;
  }

  static void check(boolean holds, String violation) {
    if (!holds) {
      throw new AssertionError(violation);
    }
  }

  @Override
  public void sendAttempt(RequestId request, ServerId id, Duration expiresAt) {
    TrackedRequest tracked = requests.get(request.name());
    check(tracked.answerCount == 0, "attempt sent after the final answer");
    check(++tracked.attemptCount <= config.maxAttempts(), "more attempts than allowed");
    checkRetry(tracked);
    Server server = servers.get(id.name());
    checkEndpoint(tracked, server);
    check(!isStale(tracked, server), "read sent to a stale replica");
    if (server.startedAt != null
        && now.minus(server.startedAt).compareTo(config.slowStartDuration()) < 0) {
      server.slowStartSends.removeIf(at -> now.minus(at).compareTo(config.overloadWindow()) > 0);
      server.slowStartSends.add(now);
    }
    tracked.firstSentAt = tracked.firstSentAt == null ? now : tracked.firstSentAt;
    SentAttempt sent =
        new SentAttempt(request.name(), tracked.attemptCount - 1, server, now, expiresAt);
    tracked.inFlight.add(sent);
    inFlight.add(sent);
  }

  private void checkRetry(TrackedRequest tracked) {
    check(
        tracked.inFlight.isEmpty() || config.parallelAttempts(),
        "parallel attempts though they are disabled");
    boolean mayExecuteTwice = tracked.mayHaveExecuted || !tracked.inFlight.isEmpty();
    check(
        !mayExecuteTwice || tracked.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
        "non-idempotent request retried though it may have been executed");
    check(
        !mayExecuteTwice
            || tracked.requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY
            || now.minus(tracked.firstSentAt).compareTo(tracked.requestClass.deduplicationWindow())
                < 0,
        "request retried after its deduplication window");
  }

  private void checkEndpoint(TrackedRequest tracked, Server server) {
    check(server.group.equals(tracked.group), "attempt sent to a server of another group");
    check(endpointListValid, "attempt sent while the endpoint list is invalid");
    check(
        server.listedStatus == EndpointStatus.ACTIVE,
        "attempt sent to a draining or removed server");
  }

  private boolean isStale(TrackedRequest tracked, Server server) {
    Duration position = server.reportedPosition;
    return !server.reportedPrimary
        && switch (tracked.requestClass.consistency()) {
          case BOUNDED -> position == null || now.minus(position).compareTo(STALENESS_BOUND) >= 0;
          case SESSION ->
              tracked.token != null && (position == null || position.compareTo(tracked.token) < 0);
          case FRESH -> position == null || position.compareTo(tracked.arrivedAt) < 0;
          case ANY, WRITE -> false;
        };
  }

  @Override
  public void cancel(RequestId request, int attempt) {
    check(
        requests.get(request.name()).attemptCount > attempt,
        "cancelled an attempt that was never sent");
  }

  @Override
  public void reject(RequestId request, Duration retryAfter) {
    TrackedRequest tracked = requests.get(request.name());
    boolean isUnexecuted = !tracked.mayHaveExecuted && tracked.inFlight.isEmpty();
    check(
        isUnexecuted
            || tracked.requestClass.idempotency() == Idempotency.IDEMPOTENT
            || (tracked.requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                && tracked.requestClass.deduplicationScope() == DeduplicationScope.ALL),
        "request rejected though it may have been executed");
    recordAnswer(tracked, Answer.REJECTED);
  }

  @Override
  public void fail(RequestId request) {
    recordAnswer(requests.get(request.name()), Answer.FAILED);
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
    check(
        servers.get(server.name()).listedStatus == EndpointStatus.REMOVED,
        "removal of a listed server");
    check(
        inFlight.stream().noneMatch(sent -> sent.server.id.equals(server)),
        "removal of a server with attempts in flight");
    removedCalls++;
  }

  @Override
  public void scheduleTick(Duration at) {
    tickAt = at;
  }

  @Override
  public void scheduleTimer(Duration at) {
    timerCalls++;
    timerAt = at;
  }

  /** Simulates one random event. */
  void randomStep(SplittableRandom random) {
    Server server = new ArrayList<>(servers.values()).get(random.nextInt(servers.size()));
    int percent = random.nextInt(100);
    if (percent < 40) {
      Consistency consistency = Consistency.values()[random.nextInt(Consistency.values().length)];
      Duration timeSinceLastWrite =
          config.clientsCarryTokens()
              ? ms((long) random.nextInt(3) * random.nextInt(400))
              : Duration.ZERO;
      arrive(consistency, random.nextInt(2), timeSinceLastWrite);
    } else if (percent < 75 && !inFlight.isEmpty()) {
      endRandomAttempt(random);
    } else if (percent < 88 && server.listedStatus == EndpointStatus.ACTIVE) {
      Duration position = server.primary ? now : now.minus(ms(random.nextInt(700)));
      server.position = server.position.compareTo(position) > 0 ? server.position : position;
      report(server, server.position);
    } else if (percent < 90) {
      promote(server);
    } else if (percent < 92) {
      changeListedStatus(server, random);
    } else if (percent < 93) {
      router.endpointListFailed(now);
    } else if (percent < 94) {
      setEndpointListValid(random.nextInt(4) > 0);
    } else {
      advance(ms(random.nextInt(60)));
    }
  }

  private void endRandomAttempt(SplittableRandom random) {
    SentAttempt sent = inFlight.get(random.nextInt(inFlight.size()));
    boolean write = requests.get(sent.request).requestClass.consistency() == Consistency.WRITE;
    AttemptOutcome randomOutcome =
        AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
    if (write && !sent.server.primary) {
      end(sent, AttemptOutcome.INELIGIBLE);
    } else {
      end(sent, random.nextInt(3) > 0 ? AttemptOutcome.OK : randomOutcome);
    }
  }

  private void promote(Server server) {
    for (Server other : servers.values()) {
      if (other.group.equals(server.group)) {
        other.position = other.primary ? now : other.position;
        other.primary = false;
      }
    }
    server.primary = true;
  }

  private void changeListedStatus(Server server, SplittableRandom random) {
    server.listedStatus = EndpointStatus.values()[random.nextInt(3)];
    server.startedAt =
        server.listedStatus == EndpointStatus.ACTIVE && random.nextBoolean()
            ? now.minus(ms(random.nextInt(2000)))
            : server.startedAt;
    server.slowStartSends.clear();
    publishEndpointList();
  }
}
