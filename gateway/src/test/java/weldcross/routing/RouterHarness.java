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
 * The host of one router: simulates its servers and clients and fails the test at the action that
 * breaks a rule of the service. Time passes only in {@link #advance}.
 */
final class RouterHarness implements RouterActions {

  static final Duration STALENESS_BOUND = ms(400);
  static final Duration LATENCY_OBJECTIVE = ms(400);
  static final Duration DEADLINE = ms(1500);

  /** A server as it truly is; the router knows only what the test has reported to it. */
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

  /** An attempt as the router asked for it. */
  record SentAttempt(String request, int number, Server server, Duration at, Duration until) {

    String serverName() {
      return server.id.name();
    }
  }

  /** A request: what it needs and what the router has done for it. */
  static final class TrackedRequest {
    RequestClass requestClass;
    GroupId group;
    Duration arrivedAt;
    Duration deadline;
    Duration token;
    int answers;
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
  int watchCalls;
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

  /** Lets the client of an unanswered request disconnect; attempts in flight end as cancelled. */
  void disconnect(String request) {
    TrackedRequest entry = requests.get(request);
    if (entry.answers == 0) {
      entry.answers++;
      router.clientDisconnected(now, new RequestId(request));
      List.copyOf(entry.inFlight).forEach(sent -> end(sent, AttemptOutcome.CANCELLED));
    }
  }

  /**
   * Returns a harness with a group of three: s0 is the primary, both replicas are up to date, and
   * the router knows it.
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

  /** Sends the router a complete list of all servers that are not removed. */
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

  /** Lets a health check of the server pass with a report of that position. */
  void report(Server server, Duration position) {
    server.reportedPosition =
        server.reportedPosition == null || position.compareTo(server.reportedPosition) > 0
            ? position
            : server.reportedPosition;
    server.reportedPrimary = server.primary;
    router.healthCheckEnded(now, server.id, AttemptOutcome.OK, null);
    router.reportReceived(now, server.id, position, server.primary);
  }

  /** Lets time pass; timers fireDue and attempts expire on the way. */
  void advance(Duration time) {
    Duration end = now.plus(time);
    while (true) {
      Duration next = timerAt == null || tickAt.compareTo(timerAt) < 0 ? tickAt : timerAt;
      Duration until =
          inFlight.stream().map(SentAttempt::until).min(Duration::compareTo).orElse(next);
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
      if (inFlight.contains(sent) && sent.until.compareTo(now) <= 0) {
        end(sent, AttemptOutcome.TIMED_OUT);
      }
    }
  }

  /** Lets a request arrive in the first group, without a write before, and returns its name. */
  String arrive(Consistency consistency) {
    return arrive(consistency, 0, Duration.ZERO);
  }

  /**
   * Lets a request arrive and returns its name; {@code timeSinceLastWrite} is zero for no write.
   */
  String arrive(Consistency consistency, int group, Duration timeSinceLastWrite) {
    TrackedRequest entry = new TrackedRequest();
    entry.requestClass = config.requestClasses().get(RoutingConfigs.classIndex(consistency));
    entry.group = new GroupId(group);
    entry.arrivedAt = now;
    entry.deadline = now.plus(DEADLINE);
    entry.token =
        consistency == Consistency.SESSION && !timeSinceLastWrite.isZero()
            ? now.minus(timeSinceLastWrite)
            : null;
    String name = "r" + requestCount++;
    requests.put(name, entry);
    router.requestArrived(
        now,
        new NewRequest(
            new RequestId(name),
            RoutingConfigs.classIndex(consistency),
            entry.group,
            new SessionId("session"),
            timeSinceLastWrite,
            DEADLINE,
            false));
    return name;
  }

  /**
   * Lets a request arrive as {@link #arrive(Consistency)} does and returns the attempt that the
   * router sends at once.
   */
  SentAttempt send(Consistency consistency) {
    return firstInFlight(arrive(consistency));
  }

  /** Ends an attempt; a server that responds says whether it is the primary. */
  void end(SentAttempt sent, AttemptOutcome outcome) {
    end(sent, outcome, sent.at);
  }

  /**
   * Ends an attempt.
   *
   * @param aliveSince since when at least the process runs, if the server responds
   */
  void end(SentAttempt sent, AttemptOutcome outcome, Duration aliveSince) {
    TrackedRequest entry = requests.get(sent.request);
    inFlight.remove(sent);
    entry.inFlight.remove(sent);
    entry.mayHaveExecuted |= !outcome.provesNotExecuted();
    if (outcome == AttemptOutcome.OK && entry.answers == 0) {
      answered(entry, Answer.OK);
    }
    boolean responds =
        outcome == AttemptOutcome.OK
            || outcome == AttemptOutcome.INELIGIBLE
            || outcome == AttemptOutcome.ERROR;
    if (responds) {
      sent.server.reportedPrimary = sent.server.primary;
      Duration previous = sent.server.reportedPosition;
      boolean newer = previous == null || previous.compareTo(sent.at) < 0;
      sent.server.reportedPosition = sent.server.primary && newer ? sent.at : previous;
    }
    router.attemptEnded(
        now,
        new AttemptResult(
            new RequestId(sent.request),
            sent.number,
            outcome,
            now.minus(sent.at),
            responds ? aliveSince : null,
            responds ? sent.server.primary : null,
            null,
            entry.answers > 0));
  }

  boolean isStillEligible(SentAttempt sent) {
    return router.isStillEligible(now, new RequestId(sent.request), sent.number);
  }

  void setEndpointListValid(boolean valid) {
    endpointListValid = valid;
    router.setEndpointListValid(now, valid);
  }

  /** Answers the attempts that have been in flight for that long. */
  void answerOlderThan(Duration age) {
    List.copyOf(inFlight).stream()
        .filter(sent -> sent.at().plus(age).compareTo(now) <= 0)
        .forEach(sent -> end(sent, AttemptOutcome.OK));
  }

  /** Returns the attempt in flight, the first where there are several. */
  SentAttempt firstInFlight(String request) {
    return requests.get(request).inFlight.get(0);
  }

  /** Whether the router takes the server to be warming up. */
  boolean isWarmingUp(int server) {
    return router.describe(now).matches("(?s).*\\bs" + server + " [^,]* warming-up.*");
  }

  /** Whether the router has ejected any server. */
  boolean hasEjected() {
    return router.describe(now).contains("ejected");
  }

  private void answered(TrackedRequest entry, Answer answer) {
    check(++entry.answers == 1, "rule 1: a second final answer");
    check(now.compareTo(entry.deadline.plus(ms(20))) <= 0, "rule 1: too late");
    entry.answer = answer;
    entry.answeredAt = now;
  }

  static void check(boolean holds, String rule) {
    if (!holds) {
      throw new AssertionError(rule);
    }
  }

  @Override
  public void sendAttempt(RequestId request, ServerId id, Duration until) {
    TrackedRequest entry = requests.get(request.name());
    check(entry.answers == 0, "rule 1: sent after the final answer");
    check(++entry.attemptCount <= config.maxAttempts(), "more attempts than allowed");
    checkRepetition(entry);
    Server server = servers.get(id.name());
    checkEndpoint(entry, server);
    check(!isStale(entry, server), "rule 5: stale read");
    if (server.startedAt != null
        && now.minus(server.startedAt).compareTo(config.slowStartDuration()) < 0) {
      server.slowStartSends.removeIf(at -> now.minus(at).compareTo(config.overloadWindow()) > 0);
      server.slowStartSends.add(now);
    }
    entry.firstSentAt = entry.firstSentAt == null ? now : entry.firstSentAt;
    SentAttempt sent = new SentAttempt(request.name(), entry.attemptCount - 1, server, now, until);
    entry.inFlight.add(sent);
    inFlight.add(sent);
  }

  private void checkRepetition(TrackedRequest entry) {
    check(entry.inFlight.isEmpty() || config.parallelAttempts(), "rule 2: two in flight at once");
    boolean mayRepeat = entry.mayHaveExecuted || !entry.inFlight.isEmpty();
    check(
        !mayRepeat || entry.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
        "rule 2: sent again though it may have been executed");
    check(
        !mayRepeat
            || entry.requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY
            || now.minus(entry.firstSentAt).compareTo(entry.requestClass.deduplicationWindow()) < 0,
        "rule 2: sent again after the window");
  }

  private void checkEndpoint(TrackedRequest entry, Server server) {
    check(server.group.equals(entry.group), "outside its group");
    check(endpointListValid, "rule 3: sent by a list that may lack a drain");
    check(
        server.listedStatus == EndpointStatus.ACTIVE,
        "rule 3: sent to a server that drains or is removed");
  }

  private boolean isStale(TrackedRequest entry, Server server) {
    Duration position = server.reportedPosition;
    return !server.reportedPrimary
        && switch (entry.requestClass.consistency()) {
          case BOUNDED -> position == null || now.minus(position).compareTo(STALENESS_BOUND) >= 0;
          case SESSION ->
              entry.token != null && (position == null || position.compareTo(entry.token) < 0);
          case FRESH -> position == null || position.compareTo(entry.arrivedAt) < 0;
          case ANY, WRITE -> false;
        };
  }

  @Override
  public void cancel(RequestId request, int attempt) {
    check(requests.get(request.name()).attemptCount > attempt, "cancelled what was never sent");
  }

  @Override
  public void reject(RequestId request, Duration retryAfter) {
    TrackedRequest entry = requests.get(request.name());
    boolean clean = !entry.mayHaveExecuted && entry.inFlight.isEmpty();
    check(
        clean
            || entry.requestClass.idempotency() == Idempotency.IDEMPOTENT
            || (entry.requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                && entry.requestClass.deduplicationScope() == DeduplicationScope.ALL),
        "rule 2: rejected though it may have been executed");
    answered(entry, Answer.REJECTED);
  }

  @Override
  public void fail(RequestId request) {
    answered(requests.get(request.name()), Answer.FAILED);
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
  public void watchEndpointList() {
    watchCalls++;
  }

  @Override
  public void endpointRemoved(ServerId server) {
    check(
        servers.get(server.name()).listedStatus == EndpointStatus.REMOVED,
        "removed though it is listed");
    check(
        inFlight.stream().noneMatch(sent -> sent.server.id.equals(server)),
        "removed while something is in flight");
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

  /** Lets one event happen that may happen next, by chance. */
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
    AttemptOutcome any = AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
    if (write && !sent.server.primary) {
      end(sent, AttemptOutcome.INELIGIBLE);
    } else {
      end(sent, random.nextInt(3) > 0 ? AttemptOutcome.OK : any);
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
