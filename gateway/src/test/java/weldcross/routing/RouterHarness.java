package weldcross.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.Effect;
import weldcross.routing.RequestClass.Scope;

/** A host that keeps the books of one router and fails the test at the call that breaks a rule. */
final class RouterHarness implements RouterActions {

  static final Duration STALENESS_BOUND = ms(400);
  static final Duration LATENCY_OBJECTIVE = ms(400);
  static final Duration DEADLINE = ms(1500);

  /** A server as it truly is; the router sees only what the test lets it be told. */
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

  record SentAttempt(String request, int number, Server server, Duration at, Duration until) {}

  /** An RPC in the books: what it needs and what has been done for it. */
  static final class TrackedRequest {
    RequestClass requestClass;
    GroupId group;
    Duration arrived;
    Duration deadline;
    Duration token;
    int answers;
    Answer answer;
    Duration answeredAt;
    boolean mayHaveRun;
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
  private boolean setEndpointListValid = true;
  private int requestCount;

  RouterHarness(RoutingConfig config, long seed) {
    this.config = config;
    this.router = new Router(this, config, seed);
  }

  static Duration ms(long n) {
    return Duration.ofMillis(n);
  }

  static RequestClass requestClass(
      Consistency consistency, Effect effect, Scope scope, double late) {
    return new RequestClass(
        consistency,
        STALENESS_BOUND,
        effect,
        scope,
        ms(900),
        LATENCY_OBJECTIVE,
        1 + consistency.ordinal(),
        late);
  }

  /** One method a need, in the order of Need; the write as given. */
  static RoutingConfig config(
      Effect write, Scope scope, boolean parallel, boolean carried, boolean asked) {
    List<RequestClass> requestClasses = new ArrayList<>();
    for (Consistency consistency : Consistency.values()) {
      requestClasses.add(
          requestClass(
              consistency,
              consistency == Consistency.WRITE ? write : Effect.IDEMPOTENT,
              scope,
              consistency == Consistency.WRITE ? 0.5 : 0));
    }
    return new RoutingConfig(
        requestClasses,
        2,
        new ZoneId(0),
        parallel,
        5,
        true,
        true,
        true,
        ms(300),
        asked,
        ms(8000),
        true,
        carried,
        0.25,
        ms(6000),
        2,
        ms(1000));
  }

  /** The same terms in a fleet of gateways; where gone does not bind, only draining does. */
  static RoutingConfig fleetConfig(int gateways, boolean removalIsBinding) {
    RoutingConfig t = config(Effect.NON_IDEMPOTENT, Scope.GROUP, true, true, false);
    return new RoutingConfig(
        t.requestClasses(),
        gateways,
        t.zone(),
        true,
        t.maxAttempts(),
        true,
        true,
        true,
        t.maxRetryAfter(),
        false,
        t.maxPollInterval(),
        removalIsBinding,
        true,
        t.slowStartShare(),
        t.slowStartDuration(),
        t.overloadMultiple(),
        t.overloadWindow());
  }

  /** Its client leaves before its time; what is out of it ends as cancelled. */
  void disconnect(String request) {
    TrackedRequest entry = requests.get(request);
    if (entry.answers == 0) {
      entry.answers++;
      router.clientDisconnected(now, new RequestId(request));
      List.copyOf(entry.inFlight).forEach(s -> end(s, AttemptOutcome.CANCELLED));
    }
  }

  /**
   * A group of three: s0 is the primary, both replicas stand at the present, and the router knows
   * it.
   */
  static RouterHarness withKnownPrimary() {
    return withKnownPrimary(config(Effect.NON_IDEMPOTENT, Scope.GROUP, true, true, false));
  }

  static RouterHarness withKnownPrimary(RoutingConfig config) {
    return withKnownPrimary(config, 7);
  }

  static RouterHarness withKnownPrimary(RoutingConfig config, long seed) {
    RouterHarness harness = new RouterHarness(config, seed);
    harness.advance(ms(10_000));
    for (int k = 0; k < 3; k++) {
      Server server = new Server(k, 0);
      server.listedStatus = EndpointStatus.ACTIVE;
      harness.servers.put(server.id.name(), server);
    }
    harness.server(0).primary = true;
    harness.publishEndpointList();
    harness.servers.values().forEach(s -> harness.report(s, harness.now));
    return harness;
  }

  Server server(int number) {
    return servers.get("s" + number);
  }

  void publishEndpointList() {
    router.beginEndpointList(now, true);
    servers.values().stream()
        .filter(s -> s.listedStatus != EndpointStatus.REMOVED)
        .forEach(
            s ->
                router.endpointListed(
                    now,
                    s.id,
                    new ZoneId(s.id.hashCode() & 1),
                    s.group,
                    s.listedStatus,
                    s.startedAt,
                    false));
    router.endEndpointList(now);
  }

  void report(Server server, Duration position) {
    server.reportedPosition =
        server.reportedPosition == null || position.compareTo(server.reportedPosition) > 0
            ? position
            : server.reportedPosition;
    server.reportedPrimary = server.primary;
    router.healthCheckEnded(now, server.id, AttemptOutcome.OK, null);
    router.reported(now, server.id, position, server.primary);
  }

  /** Lets time pass, ringing whatever was asked for on its way. */
  void advance(Duration span) {
    Duration end = now.plus(span);
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

  String arrive(Consistency consistency, int group, Duration sinceWrite) {
    TrackedRequest entry = new TrackedRequest();
    entry.requestClass = config.requestClasses().get(consistency.ordinal());
    entry.group = new GroupId(group);
    entry.arrived = now;
    entry.deadline = now.plus(DEADLINE);
    entry.token =
        consistency == Consistency.SESSION && !sinceWrite.isZero() ? now.minus(sinceWrite) : null;
    String name = "r" + requestCount++;
    requests.put(name, entry);
    router.requestArrived(
        now,
        new RequestId(name),
        consistency.ordinal(),
        entry.group,
        new SessionId("session"),
        sinceWrite,
        DEADLINE,
        false);
    return name;
  }

  /** Ends a call-out, with what an answering server says of itself. */
  void end(SentAttempt sent, AttemptOutcome outcome) {
    end(sent, outcome, sent.at);
  }

  /**
   * @param aliveSince since when the server's process lives at least, where it answers
   */
  void end(SentAttempt sent, AttemptOutcome outcome, Duration aliveSince) {
    TrackedRequest entry = requests.get(sent.request);
    inFlight.remove(sent);
    entry.inFlight.remove(sent);
    entry.mayHaveRun |= !outcome.provesNotExecuted();
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
        new RequestId(sent.request),
        sent.number,
        sent.server.id,
        outcome,
        now.minus(sent.at),
        responds ? aliveSince : null,
        responds ? sent.server.primary : null,
        null,
        entry.answers > 0);
  }

  boolean isStillEligible(SentAttempt sent) {
    return router.isStillEligible(now, new RequestId(sent.request), sent.number);
  }

  void setEndpointListValid(boolean valid) {
    setEndpointListValid = valid;
    router.setEndpointListValid(now, valid);
  }

  /** Answers what has been out for that long. */
  void answerOlderThan(Duration age) {
    List.copyOf(inFlight).stream()
        .filter(s -> s.at().plus(age).compareTo(now) <= 0)
        .forEach(s -> end(s, AttemptOutcome.OK));
  }

  SentAttempt onlyInFlight(String request) {
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
    TrackedRequest e = requests.get(request.name());
    Server server = servers.get(id.name());
    check(e.answers == 0, "rule 1: sent after the final answer");
    check(e.inFlight.isEmpty() || config.parallelAttempts(), "rule 2: two out at once");
    check(++e.attemptCount <= config.maxAttempts(), "more call-outs than allowed");
    boolean risk = e.mayHaveRun || !e.inFlight.isEmpty();
    check(
        !risk || e.requestClass.effect() != Effect.NON_IDEMPOTENT,
        "rule 2: sent again though it may have run");
    check(
        !risk
            || e.requestClass.effect() != Effect.IDEMPOTENT_BY_KEY
            || now.minus(e.firstSentAt).compareTo(e.requestClass.deduplicationWindow()) < 0,
        "rule 2: sent again after the window");
    check(server.group.equals(e.group), "outside its group");
    check(setEndpointListValid, "rule 3: sent by a list that may lack a drain");
    check(
        server.listedStatus == EndpointStatus.ACTIVE,
        "rule 3: sent to a server that drains or is gone");
    boolean stale =
        !server.reportedPrimary
            && switch (e.requestClass.consistency()) {
              case BOUNDED ->
                  server.reportedPosition == null
                      || now.minus(server.reportedPosition).compareTo(STALENESS_BOUND) >= 0;
              case SESSION ->
                  e.token != null
                      && (server.reportedPosition == null
                          || server.reportedPosition.compareTo(e.token) < 0);
              case FRESH ->
                  server.reportedPosition == null
                      || server.reportedPosition.compareTo(e.arrived) < 0;
              case ANY, WRITE -> false;
            };
    check(!stale, "rule 5: stale read");
    if (server.startedAt != null
        && now.minus(server.startedAt).compareTo(config.slowStartDuration()) < 0) {
      server.slowStartSends.removeIf(at -> now.minus(at).compareTo(config.overloadWindow()) > 0);
      server.slowStartSends.add(now);
    }
    e.firstSentAt = e.firstSentAt == null ? now : e.firstSentAt;
    SentAttempt sent = new SentAttempt(request.name(), e.attemptCount - 1, server, now, until);
    e.inFlight.add(sent);
    inFlight.add(sent);
  }

  @Override
  public void cancel(RequestId request, int attempt) {
    check(requests.get(request.name()).attemptCount > attempt, "cancelled what was never sent");
  }

  @Override
  public void reject(RequestId request, Duration retryAfter) {
    TrackedRequest entry = requests.get(request.name());
    boolean clean = !entry.mayHaveRun && entry.inFlight.isEmpty();
    check(
        clean
            || entry.requestClass.effect() == Effect.IDEMPOTENT
            || (entry.requestClass.effect() == Effect.IDEMPOTENT_BY_KEY
                && entry.requestClass.scope() == Scope.ALL),
        "rule 2: pushed back though it may have run");
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
        "forgotten though it is listed");
    check(
        inFlight.stream().noneMatch(s -> s.server.id.equals(server)),
        "forgotten while something is out");
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

  /** One step of a random life: whatever may happen next does, by the dice. */
  void randomStep(SplittableRandom random) {
    Server server = new ArrayList<>(servers.values()).get(random.nextInt(servers.size()));
    int what = random.nextInt(100);
    if (what < 40) {
      Consistency consistency = Consistency.values()[random.nextInt(Consistency.values().length)];
      Duration since =
          config.clientsCarryTokens() ? ms(random.nextInt(3) * random.nextInt(400)) : Duration.ZERO;
      arrive(consistency, random.nextInt(2), since);
    } else if (what < 75 && !inFlight.isEmpty()) {
      SentAttempt sent = inFlight.get(random.nextInt(inFlight.size()));
      boolean miss =
          requests.get(sent.request).requestClass.consistency() == Consistency.WRITE
              && !sent.server.primary;
      AttemptOutcome any = AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
      end(sent, miss ? AttemptOutcome.INELIGIBLE : random.nextInt(3) > 0 ? AttemptOutcome.OK : any);
    } else if (what < 88 && server.listedStatus == EndpointStatus.ACTIVE) {
      Duration position = server.primary ? now : now.minus(ms(random.nextInt(700)));
      server.position = server.position.compareTo(position) > 0 ? server.position : position;
      report(server, server.position);
    } else if (what < 90) {
      for (Server old : servers.values()) {
        old.position = old.primary && old.group.equals(server.group) ? now : old.position;
        old.primary &= !old.group.equals(server.group);
      }
      server.primary = true;
    } else if (what < 92) {
      server.listedStatus = EndpointStatus.values()[random.nextInt(3)];
      server.startedAt =
          server.listedStatus == EndpointStatus.ACTIVE && random.nextBoolean()
              ? now.minus(ms(random.nextInt(2000)))
              : server.startedAt;
      server.slowStartSends.clear();
      publishEndpointList();
    } else if (what < 93) {
      router.endpointListFailed(now);
    } else if (what < 94) {
      setEndpointListValid(random.nextInt(4) > 0);
    } else {
      advance(ms(random.nextInt(60)));
    }
  }
}
