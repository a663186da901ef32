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

  static final Duration BOUND = ms(400);
  static final Duration SOFT = ms(400);
  static final Duration DEADLINE = ms(1500);

  /** A server as it truly is; the router sees only what the test lets it be told. */
  static final class Server {
    final ServerId id;
    final GroupId group;
    EndpointStatus told = EndpointStatus.REMOVED;
    Duration start;
    Duration pos = Duration.ZERO;
    Duration toldPos;
    boolean primary;
    boolean toldPrimary;
    final List<Duration> coldSends = new ArrayList<>();

    Server(int number, int group) {
      this.id = new ServerId("s" + number);
      this.group = new GroupId(group);
    }
  }

  record Sent(String rpc, int number, Server server, Duration at, Duration until) {}

  /** An RPC in the books: what it needs and what has been done for it. */
  static final class Entry {
    RequestClass row;
    GroupId group;
    Duration arrived;
    Duration deadline;
    Duration token;
    int answers;
    String answer;
    Duration answeredAt;
    boolean mayHaveRun;
    final List<Sent> out = new ArrayList<>();
    int sent;
    Duration firstSent;
  }

  final TreeMap<String, Server> servers = new TreeMap<>();
  final TreeMap<String, Entry> rpcs = new TreeMap<>();
  final List<Sent> out = new ArrayList<>();
  final List<ServerId> probes = new ArrayList<>();
  final List<ServerId> tells = new ArrayList<>();
  final RoutingConfig terms;
  final Router router;
  Duration now = Duration.ZERO;
  Duration ring;
  Duration due;
  int watches;
  int dueAsks;
  int forgotten;
  private boolean setEndpointListValid = true;
  private int named;

  RouterHarness(RoutingConfig terms, long seed) {
    this.terms = terms;
    this.router = new Router(this, terms, seed);
  }

  static Duration ms(long n) {
    return Duration.ofMillis(n);
  }

  static RequestClass row(Consistency consistency, Effect effect, Scope scope, double late) {
    return new RequestClass(
        consistency, BOUND, effect, scope, ms(900), SOFT, 1 + consistency.ordinal(), late);
  }

  /** One method a need, in the order of Need; the write as given. */
  static RoutingConfig terms(
      Effect write, Scope scope, boolean parallel, boolean carried, boolean asked) {
    List<RequestClass> rows = new ArrayList<>();
    for (Consistency consistency : Consistency.values()) {
      rows.add(
          row(
              consistency,
              consistency == Consistency.WRITE ? write : Effect.IDEMPOTENT,
              scope,
              consistency == Consistency.WRITE ? 0.5 : 0));
    }
    return new RoutingConfig(
        rows,
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
  static RoutingConfig fleet(int gateways, boolean removalIsBinding) {
    RoutingConfig t = terms(Effect.NON_IDEMPOTENT, Scope.GROUP, true, true, false);
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
  void leave(String rpc) {
    Entry entry = rpcs.get(rpc);
    if (entry.answers == 0) {
      entry.answers++;
      router.clientDisconnected(now, new RequestId(rpc));
      List.copyOf(entry.out).forEach(s -> end(s, AttemptOutcome.CANCELLED));
    }
  }

  /**
   * A group of three: s0 is the primary, both replicas stand at the present, and the router knows
   * it.
   */
  static RouterHarness settled() {
    return settled(terms(Effect.NON_IDEMPOTENT, Scope.GROUP, true, true, false));
  }

  static RouterHarness settled(RoutingConfig terms) {
    return settled(terms, 7);
  }

  static RouterHarness settled(RoutingConfig terms, long seed) {
    RouterHarness rig = new RouterHarness(terms, seed);
    rig.wait(ms(10_000));
    for (int k = 0; k < 3; k++) {
      Server server = new Server(k, 0);
      server.told = EndpointStatus.ACTIVE;
      rig.servers.put(server.id.name(), server);
    }
    rig.server(0).primary = true;
    rig.list();
    rig.servers.values().forEach(s -> rig.report(s, rig.now));
    return rig;
  }

  Server server(int number) {
    return servers.get("s" + number);
  }

  void list() {
    router.beginEndpointList(now, true);
    servers.values().stream()
        .filter(s -> s.told != EndpointStatus.REMOVED)
        .forEach(
            s ->
                router.endpointListed(
                    now, s.id, new ZoneId(s.id.hashCode() & 1), s.group, s.told, s.start, false));
    router.endEndpointList(now);
  }

  void report(Server server, Duration pos) {
    server.toldPos =
        server.toldPos == null || pos.compareTo(server.toldPos) > 0 ? pos : server.toldPos;
    server.toldPrimary = server.primary;
    router.healthCheckEnded(now, server.id, AttemptOutcome.OK, null);
    router.reported(now, server.id, pos, server.primary);
  }

  /** Lets time pass, ringing whatever was asked for on its way. */
  void wait(Duration span) {
    Duration end = now.plus(span);
    while (true) {
      Duration next = due == null || ring.compareTo(due) < 0 ? ring : due;
      Duration until = out.stream().map(Sent::until).min(Duration::compareTo).orElse(next);
      if (until.compareTo(next) < 0 && until.compareTo(end) <= 0) {
        now = until;
        expire();
        continue;
      }
      if (next.compareTo(end) > 0) {
        break;
      }
      now = next;
      if (next.equals(due)) {
        due = null;
        router.timersDue(now);
      } else {
        router.tick(now);
      }
      expire();
    }
    now = end;
  }

  private void expire() {
    for (Sent sent : new ArrayList<>(out)) {
      if (out.contains(sent) && sent.until.compareTo(now) <= 0) {
        end(sent, AttemptOutcome.TIMED_OUT);
      }
    }
  }

  String arrive(Consistency consistency, int group, Duration sinceWrite) {
    Entry entry = new Entry();
    entry.row = terms.requestClasses().get(consistency.ordinal());
    entry.group = new GroupId(group);
    entry.arrived = now;
    entry.deadline = now.plus(DEADLINE);
    entry.token =
        consistency == Consistency.SESSION && !sinceWrite.isZero() ? now.minus(sinceWrite) : null;
    String name = "r" + named++;
    rpcs.put(name, entry);
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
  void end(Sent sent, AttemptOutcome outcome) {
    end(sent, outcome, sent.at);
  }

  /**
   * @param aliveSince since when the server's process lives at least, where it answers
   */
  void end(Sent sent, AttemptOutcome outcome, Duration aliveSince) {
    Entry entry = rpcs.get(sent.rpc);
    out.remove(sent);
    entry.out.remove(sent);
    entry.mayHaveRun |= !outcome.provesNotExecuted();
    if (outcome == AttemptOutcome.OK && entry.answers == 0) {
      answered(entry, "ok");
    }
    boolean speaks =
        outcome == AttemptOutcome.OK
            || outcome == AttemptOutcome.INELIGIBLE
            || outcome == AttemptOutcome.ERROR;
    if (speaks) {
      sent.server.toldPrimary = sent.server.primary;
      Duration told = sent.server.toldPos;
      boolean newer = told == null || told.compareTo(sent.at) < 0;
      sent.server.toldPos = sent.server.primary && newer ? sent.at : told;
    }
    router.attemptEnded(
        now,
        new RequestId(sent.rpc),
        sent.number,
        sent.server.id,
        outcome,
        now.minus(sent.at),
        speaks ? aliveSince : null,
        speaks ? sent.server.primary : null,
        null,
        entry.answers > 0);
  }

  boolean isStillEligible(Sent sent) {
    return router.isStillEligible(now, new RequestId(sent.rpc), sent.number);
  }

  void setEndpointListValid(boolean stands) {
    setEndpointListValid = stands;
    router.setEndpointListValid(now, stands);
  }

  /** Answers what has been out for that long. */
  void serve(Duration age) {
    List.copyOf(out).stream()
        .filter(s -> s.at().plus(age).compareTo(now) <= 0)
        .forEach(s -> end(s, AttemptOutcome.OK));
  }

  Sent only(String rpc) {
    return rpcs.get(rpc).out.get(0);
  }

  private void answered(Entry entry, String how) {
    check(++entry.answers == 1, "rule 1: a second final answer");
    check(now.compareTo(entry.deadline.plus(ms(20))) <= 0, "rule 1: too late");
    entry.answer = how;
    entry.answeredAt = now;
  }

  static void check(boolean holds, String rule) {
    if (!holds) {
      throw new AssertionError(rule);
    }
  }

  @Override
  public void sendAttempt(RequestId rpc, ServerId id, Duration until) {
    Entry e = rpcs.get(rpc.name());
    Server server = servers.get(id.name());
    check(e.answers == 0, "rule 1: sent after the final answer");
    check(e.out.isEmpty() || terms.parallelAttempts(), "rule 2: two out at once");
    check(++e.sent <= terms.maxAttempts(), "more call-outs than allowed");
    boolean risk = e.mayHaveRun || !e.out.isEmpty();
    check(
        !risk || e.row.effect() != Effect.NON_IDEMPOTENT,
        "rule 2: sent again though it may have run");
    check(
        !risk
            || e.row.effect() != Effect.IDEMPOTENT_BY_KEY
            || now.minus(e.firstSent).compareTo(e.row.deduplicationWindow()) < 0,
        "rule 2: sent again after the window");
    check(server.group.equals(e.group), "outside its group");
    check(setEndpointListValid, "rule 3: sent by a list that may lack a drain");
    check(server.told == EndpointStatus.ACTIVE, "rule 3: sent to a server that drains or is gone");
    boolean stale =
        !server.toldPrimary
            && switch (e.row.consistency()) {
              case BOUNDED ->
                  server.toldPos == null || now.minus(server.toldPos).compareTo(BOUND) >= 0;
              case SESSION ->
                  e.token != null
                      && (server.toldPos == null || server.toldPos.compareTo(e.token) < 0);
              case FRESH -> server.toldPos == null || server.toldPos.compareTo(e.arrived) < 0;
              case ANY, WRITE -> false;
            };
    check(!stale, "rule 5: stale read");
    if (server.start != null && now.minus(server.start).compareTo(terms.slowStartDuration()) < 0) {
      server.coldSends.removeIf(at -> now.minus(at).compareTo(terms.overloadWindow()) > 0);
      server.coldSends.add(now);
    }
    e.firstSent = e.firstSent == null ? now : e.firstSent;
    Sent sent = new Sent(rpc.name(), e.sent - 1, server, now, until);
    e.out.add(sent);
    out.add(sent);
  }

  @Override
  public void cancel(RequestId rpc, int attempt) {
    check(rpcs.get(rpc.name()).sent > attempt, "cancelled what was never sent");
  }

  @Override
  public void reject(RequestId rpc, Duration retryAfter) {
    Entry entry = rpcs.get(rpc.name());
    boolean clean = !entry.mayHaveRun && entry.out.isEmpty();
    check(
        clean
            || entry.row.effect() == Effect.IDEMPOTENT
            || (entry.row.effect() == Effect.IDEMPOTENT_BY_KEY && entry.row.scope() == Scope.ALL),
        "rule 2: pushed back though it may have run");
    answered(entry, "pushed back");
  }

  @Override
  public void fail(RequestId rpc) {
    answered(rpcs.get(rpc.name()), "aborted");
  }

  @Override
  public void sendHealthCheck(ServerId server) {
    probes.add(server);
  }

  @Override
  public void gossipUnreachable(ServerId server) {
    tells.add(server);
  }

  @Override
  public void watchEndpointList() {
    watches++;
  }

  @Override
  public void endpointRemoved(ServerId server) {
    check(
        servers.get(server.name()).told == EndpointStatus.REMOVED, "forgotten though it is listed");
    check(
        out.stream().noneMatch(s -> s.server.id.equals(server)),
        "forgotten while something is out");
    forgotten++;
  }

  @Override
  public void scheduleTick(Duration at) {
    ring = at;
  }

  @Override
  public void scheduleTimer(Duration at) {
    dueAsks++;
    due = at;
  }

  /** One step of a random life: whatever may happen next does, by the dice. */
  void step(SplittableRandom random) {
    Server server = new ArrayList<>(servers.values()).get(random.nextInt(servers.size()));
    int what = random.nextInt(100);
    if (what < 40) {
      Consistency consistency = Consistency.values()[random.nextInt(Consistency.values().length)];
      Duration since =
          terms.clientsCarryTokens() ? ms(random.nextInt(3) * random.nextInt(400)) : Duration.ZERO;
      arrive(consistency, random.nextInt(2), since);
    } else if (what < 75 && !out.isEmpty()) {
      Sent sent = out.get(random.nextInt(out.size()));
      boolean miss =
          rpcs.get(sent.rpc).row.consistency() == Consistency.WRITE && !sent.server.primary;
      AttemptOutcome any = AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
      end(sent, miss ? AttemptOutcome.INELIGIBLE : random.nextInt(3) > 0 ? AttemptOutcome.OK : any);
    } else if (what < 88 && server.told == EndpointStatus.ACTIVE) {
      Duration pos = server.primary ? now : now.minus(ms(random.nextInt(700)));
      server.pos = server.pos.compareTo(pos) > 0 ? server.pos : pos;
      report(server, server.pos);
    } else if (what < 90) {
      for (Server old : servers.values()) {
        old.pos = old.primary && old.group.equals(server.group) ? now : old.pos;
        old.primary &= !old.group.equals(server.group);
      }
      server.primary = true;
    } else if (what < 92) {
      server.told = EndpointStatus.values()[random.nextInt(3)];
      server.start =
          server.told == EndpointStatus.ACTIVE && random.nextBoolean()
              ? now.minus(ms(random.nextInt(2000)))
              : server.start;
      server.coldSends.clear();
      list();
    } else if (what < 93) {
      router.endpointListFailed(now);
    } else if (what < 94) {
      setEndpointListValid(random.nextInt(4) > 0);
    } else {
      wait(ms(random.nextInt(60)));
    }
  }
}
