package weldcross.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.Effect;

/**
 * Decides where each RPC goes: the fast causal reads of Readwritesplit, from one gateway's own
 * knowledge.
 *
 * <p>A gateway ({@code weldcross.gateway.Gateway}, on the bench {@code
 * weldcross.simulator.SimulatorSession}) calls one public method for each thing that happens, with
 * the time since this router started; it acts by calling {@link RouterActions}, its interface
 * outwards. The ordinary path is {@link #choose}; docs/design.md has the rest.
 */
public final class Router {

  /**
   * The beat of the periodic work, none of which an RPC waits for: a fleet's gateways all pay for
   * it.
   */
  private static final Duration BEAT = Duration.ofMillis(250);

  /** Where RPCs are held, their group is looked at again this often. */
  private static final Duration LOOK = Duration.ofMillis(25);

  /** A read waits this long at most for a probe under way, before it goes to the primary. */
  private static final Duration BRIEF_HOLD = Duration.ofMillis(30);

  /** Between two rounds of a write over members of which none took it. */
  private static final Duration SHORT_WAIT = Duration.ofMillis(100);

  /** Doubt first lasts this long and doubles with each trial that fails. */
  private static final Duration FIRST_DOUBT = Duration.ofMillis(200);

  private static final Duration LONGEST_DOUBT = Duration.ofSeconds(2);

  /**
   * What a call-out should take on the mean, as part of its soft deadline: full, but not jammed.
   */
  private static final double EASE = 0.30;

  /** How far one answer moves a server's window, and where the window starts and ends. */
  private static final double WINDOW_GAIN = 0.12;

  private static final double BOLDEST_GAIN = 0.5;
  private static final double FIRST_WINDOW = 12;
  private static final double LEAST_WINDOW = 0.1;

  /** A call-out is lost when one sent this many usual times later has been answered. */
  private static final double LOST_TIMES = 4.5;

  /** Held RPCs with less time left than this many usual times are given up. */
  private static final double TAIL = 1.4;

  /**
   * Unsent by this part of its time an RPC is given up: few go out later, and its client can come
   * back.
   */
  private static final double UNSENT = 0.45;

  /** An answer that takes this many usual times makes its server come after its equals. */
  private static final double SLOW_TIMES = 3;

  /** What a client's repeat is valued at: its soft deadline runs from the first try. */
  private static final double REPEAT_VALUE = 0.3;

  /** The oldest held RPC has waited this part of its soft deadline: overload. */
  private static final double LONG_WAIT = 0.25;

  /** No method counts for more than this makes it, however little of it has been served. */
  private static final double LEAST_SERVED = 0.3;

  /**
   * How far one answer moves what its method usually takes, and one RPC what part of it is served.
   */
  private static final double STRIDE = 1.05;

  /**
   * No method is taken to be done sooner, lest due times that follow from it come in the same
   * moment for ever.
   */
  private static final double LEAST_USUAL = 0.001;

  /**
   * Of fewer answers it is not known how long a method usually takes: one in ten takes several
   * times as long.
   */
  private static final int FEW = 5;

  private static final double SERVED_GAIN = 0.05;

  /** As many answers overdue mean silence, even where probes are answered. */
  private static final int OVERDUE_ANSWERS = 5;

  /** What part of the fall budget is used: the rest covers handshakes, probes and uneven RPCs. */
  private static final double COLD_MARGIN = 0.75;

  /** Over this time the work that warm servers do is averaged. */
  private static final Duration PACE_SPAN = Duration.ofSeconds(4);

  /** Further call-outs earned by each ok. */
  private static final double EXTRA_PER_OK = 0.1;

  /** How long a session's token is kept by itself; later all tokenless reads must hold it. */
  private static final Duration TOKEN_KEPT = Duration.ofSeconds(60);

  /** A server as this router knows it, by the answers, reports and lists it has had. */
  private final class EndpointState {
    final ServerId id;
    final Group group;
    final ZoneId zone;
    boolean listed, draining, probing, doubted;
    Duration start, toldAt, coldSince, chilledAt, coldBefore, goneAt, pos, probedAt, trialAt;

    /** As of when it was last known to be the primary, and to be none. */
    Duration primaryAsOf, replicaAsOf;

    int reads, strikes, deaf;

    /**
     * Among equals the least goes first; most picks of a gateway that sees little are among equals.
     */
    double order;

    final LinkedHashSet<Attempt> out = new LinkedHashSet<>();
    Duration lastWord = Duration.ZERO,
        seekGap = SHORT_WAIT,
        askGap = SHORT_WAIT,
        doubt = FIRST_DOUBT;
    double window;
    Duration coldNext = Duration.ZERO, restUntil = Duration.ZERO, windowAt = Duration.ZERO;
    Duration answeredSent = Duration.ZERO;

    EndpointState(ServerId id, Group group, ZoneId zone) {
      this.id = id;
      this.group = group;
      this.zone = zone;
      // An order of each gateway's own, the nearer first, as crossing zones costs.
      order = random.nextDouble() + (zone.equals(terms.zone()) ? 0 : 1);
      // Its part of what all gateways try together: one each from a hundred jams what knows nobody
      // yet.
      window = FIRST_WINDOW / fleet;
      group.seats.add(this);
    }
  }

  /**
   * A primary and its replicas, with the RPCs of theirs that wait in this gateway, oldest first.
   */
  private static final class Group {
    final List<EndpointState> seats = new ArrayList<>();
    final LinkedHashSet<Rpc> held = new LinkedHashSet<>();
    EndpointState primary;
    boolean heard, looking;
    int turn;
    Duration nextRound = Duration.ZERO;
  }

  /**
   * @param paced whether it was counted against what its server may get while cold
   */
  private record Attempt(
      Rpc rpc, EndpointState seat, int number, Duration sent, double work, boolean paced) {
    @Override
    public int hashCode() {
      return rpc.id.hashCode();
    }
  }

  private final class Rpc {
    final RequestId id;
    final int method;
    final RequestClass row;
    final Group group;
    final Duration arrived, giveUpAt, lastSend, unsentUntil;
    final double luck = random.nextDouble();
    final List<Attempt> attempts = new ArrayList<>();
    final LinkedHashSet<EndpointState> tried = new LinkedHashSet<>();
    SessionId session;

    /** The token that came with it; null where it has none. */
    Duration carried;

    double worth;
    int out;
    boolean mayHaveRun, answered, abandoned;

    Rpc(RequestId id, int method, Group group, Duration now, Duration deadline) {
      this.id = id;
      this.method = method;
      this.row = terms.requestClasses().get(method);
      this.group = group;
      this.arrived = now;
      // Where a late answer has no utility the soft deadline ends the work, so that servers drop
      // it.
      this.giveUpAt =
          row.lateWeight() > 0 ? deadline : sooner(now.plus(row.latencyObjective()), deadline);
      // What is still held is answered a little before the client gives up, not in the same moment.
      this.lastSend =
          sooner(giveUpAt, deadline.minus(sooner(LOOK, deadline.minus(now).dividedBy(8))));
      this.unsentUntil = sooner(lastSend, now.plus(span(UNSENT * seconds(deadline.minus(now)))));
    }
  }

  private final RouterActions host;
  private final RoutingConfig terms;
  private final SplittableRandom random;
  private final Duration probeAfter;
  private final Map<ServerId, EndpointState> seats = new LinkedHashMap<>();
  private final Map<GroupId, Group> groups = new LinkedHashMap<>();
  private final Map<RequestId, Rpc> open = new LinkedHashMap<>();
  private final TreeMap<Duration, List<Consumer<Duration>>> dues = new TreeMap<>();
  private final LinkedHashMap<SessionId, Duration> tokens = new LinkedHashMap<>();
  private final double[] usual, served;
  private final int[] answers;
  private Duration floor, wakeAt, askAt, askWait;
  private boolean setEndpointListValid = true;
  private LinkedHashSet<EndpointState> unseen;
  private double workDone, warmRate, extra = 1, fleet;

  public Router(RouterActions host, RoutingConfig terms, long seed) {
    this.host = host;
    this.terms = terms;
    this.random = new SplittableRandom(seed);
    this.fleet = terms.gateways();
    this.usual = new double[terms.requestClasses().size()];
    this.served = new double[terms.requestClasses().size()];
    this.answers = new int[terms.requestClasses().size()];
    this.probeAfter =
        terms.requestClasses().stream()
            .filter(m -> m.consistency() == Consistency.BOUNDED)
            .map(m -> m.stalenessBound().dividedBy(4))
            .min(Duration::compareTo)
            .orElse(BEAT);
    this.askWait = terms.maxPollInterval().dividedBy(16);
    if (terms.pollEndpointList()) {
      host.watchEndpointList();
    }
    host.scheduleTick(BEAT);
  }

  /**
   * What all gateways may do together is divided so that this one has this share from now on, in
   * (0, 1]. With a smaller one the windows shrink alike, as the others' parts add to them; a larger
   * one they grow into by answers.
   */
  public void setQuota(double share) {
    double shrunk = Math.min(1, fleet * share);
    seats.values().forEach(s -> s.window = Math.max(LEAST_WINDOW, s.window * shrunk));
    fleet = 1 / share;
  }

  // ---- The server list

  public void beginEndpointList(Duration now, boolean whole) {
    unseen = whole ? new LinkedHashSet<>(seats.values()) : new LinkedHashSet<>();
  }

  public void endpointListed(
      Duration now,
      ServerId id,
      ZoneId zone,
      GroupId groupId,
      EndpointStatus condition,
      Duration start,
      boolean head) {
    Group group = groups.computeIfAbsent(groupId, g -> new Group());
    EndpointState seat = seats.computeIfAbsent(id, s -> new EndpointState(s, group, zone));
    unseen.remove(seat);
    if (condition == EndpointStatus.REMOVED) {
      seat.listed &= !terms.removalIsBinding();
      return;
    }
    seat.listed = true;
    seat.goneAt = null;
    // Where only draining binds, a list that is wrong for a while does not take it back.
    boolean same = !terms.removalIsBinding() && (start == null || start.equals(seat.start));
    seat.draining = condition == EndpointStatus.DRAINING || (seat.draining && same);
    // A start not seen before is a cold server, whatever this router thought of it.
    if (start != null && !start.equals(seat.start)) {
      seat.start = start;
      seat.chilledAt = null;
      chill(now, seat, start);
    }
    // The list is late: it names a primary only where nothing better is known.
    if (head && group.primary == null) {
      group.primary = seat;
    }
  }

  public void endEndpointList(Duration now) {
    unseen.forEach(s -> s.listed &= !terms.removalIsBinding());
    groups.values().forEach(g -> look(now, g));
  }

  /**
   * Whether the list is known to hold all drains that bind; it is until this is told. While it is
   * not nothing goes out, as a server may drain whose drain was never told. Harmful where discovery
   * is gone and all servers are well.
   */
  public void setEndpointListValid(Duration now, boolean stands) {
    boolean again = stands && !setEndpointListValid;
    setEndpointListValid = stands;
    if (again) {
      groups.values().forEach(g -> look(now, g));
    }
  }

  /**
   * The notice does not say which call failed, so the watch is asked for again, more and more
   * rarely.
   */
  public void endpointListFailed(Duration now) {
    askAt = now.plus(askWait).plusNanos(random.nextLong(askWait.toNanos() + 1));
    askWait = sooner(askWait.multipliedBy(2), terms.maxPollInterval().dividedBy(2));
  }

  // ---- RPCs

  public void requestArrived(
      Duration now,
      RequestId id,
      int method,
      GroupId groupId,
      SessionId session,
      Duration sinceWrite,
      Duration patience,
      boolean repeat) {
    Group group = groups.computeIfAbsent(groupId, g -> new Group());
    Rpc rpc = new Rpc(id, method, group, now, now.plus(patience));
    rpc.session = session;
    rpc.worth = rpc.row.priorityWeight() * (repeat ? REPEAT_VALUE : 1);
    rpc.carried = sinceWrite.isZero() ? null : now.minus(sinceWrite);
    open.put(id, rpc);
    scheduleTimer(rpc.unsentUntil, at -> endIf(rpc, rpc.attempts.isEmpty()));
    scheduleTimer(
        rpc.lastSend, at -> endIf(rpc, rpc.out == 0 || rpc.row.effect() == Effect.IDEMPOTENT));
    route(now, rpc);
  }

  /**
   * Whether a call-out that is decided may be written now, as its connection may have had to come
   * up first or the process may have stood still: against a bound that passed meanwhile, a primary
   * that is none any more, a drain, a list that lapsed, repeats that are dropped no longer, a
   * server that turned cold. What must not goes on as never sent.
   */
  public boolean isStillEligible(Duration now, RequestId id, int number) {
    Rpc rpc = open.get(id);
    Attempt attempt = rpc.attempts.get(number);
    EndpointState seat = attempt.seat;
    boolean repeatKnown =
        rpc.row.effect() != Effect.IDEMPOTENT_BY_KEY
            || (rpc.out == 1 && !rpc.mayHaveRun)
            || repeatsDropped(now, rpc);
    return !rpc.answered
        && setEndpointListValid
        && seat.listed
        && !seat.draining
        && repeatKnown
        && (attempt.paced || !cold(now, seat))
        && (rpc.row.consistency() == Consistency.WRITE
            || seat == rpc.group.primary
            || holds(now, rpc, seat));
  }

  public void attemptEnded(
      Duration now,
      RequestId id,
      int number,
      ServerId server,
      AttemptOutcome outcome,
      Duration took,
      Duration aliveSince,
      Boolean primary,
      Duration pos,
      boolean ended) {
    Rpc rpc = open.get(id);
    if (rpc == null) {
      return;
    }
    Attempt attempt = rpc.attempts.get(number);
    EndpointState seat = attempt.seat;
    rpc.out--;
    seat.out.remove(attempt);
    boolean write = rpc.row.consistency() == Consistency.WRITE;
    seat.reads -= write ? 0 : 1;
    rpc.mayHaveRun |= !outcome.provesNotExecuted;
    if (write && !outcome.provesNotExecuted && rpc.session != null && !terms.clientsCarryTokens()) {
      // Given up as its answer was on its way it may have been done, and its session is owed the
      // sight of it.
      Duration done = outcome == AttemptOutcome.OK ? now : now.plus(BRIEF_HOLD);
      tokens.put(rpc.session, later(tokens.remove(rpc.session), pos == null ? done : pos));
    }
    if (primary != null) {
      Duration asOf = pos != null && !write ? pos : now.minus(took);
      learn(now, seat, primary ? asOf : pos, primary, true);
    }
    judge(now, seat, attempt, outcome, took);
    seenAlive(now, seat, aliveSince);
    if (ended && !rpc.answered) {
      close(rpc, outcome == AttemptOutcome.OK);
    }
    if (!rpc.answered && rpc.out == 0) {
      retry(now, rpc, outcome);
    }
    if (rpc.answered && rpc.out == 0) {
      open.remove(id);
    }
    release(now, seat.group);
  }

  public void clientDisconnected(Duration now, RequestId id) {
    Rpc rpc = open.get(id);
    if (rpc != null && !rpc.answered) {
      rpc.abandoned = true;
      close(rpc, false);
    }
  }

  // ---- What servers say of themselves

  /**
   * Where a probe was answered no more may be concluded than that the server lives and can be
   * reached.
   */
  public void healthCheckEnded(
      Duration now, ServerId server, AttemptOutcome outcome, Duration aliveSince) {
    EndpointState seat = seats.get(server);
    seat.probing = false;
    seenAlive(now, seat, aliveSince);
    if (outcome == AttemptOutcome.OK) {
      seat.doubted &= seat.deaf == 0;
      seat.deaf = 0;
    } else if (outcome == AttemptOutcome.IDLE_CONNECTION_LOST) {
      // It never got there, and what it was for is still wanted.
      probe(now, seat, Duration.ZERO);
    } else if (outcome != AttemptOutcome.CLOSED_BEFORE_SEND
        && (++seat.deaf > 1 || unheard(now, seat) > 0)) {
      doubt(now, seat);
    }
  }

  /** A report is as old as it is: what it says of the role counts from the position it names. */
  public void reported(Duration now, ServerId server, Duration pos, Boolean primary) {
    learn(now, seats.get(server), pos, primary, false);
  }

  /**
   * Against pushing over a cold return unseen from here; thins for nothing where the peer is cut
   * off.
   */
  public void gossipReceived(Duration now, ServerId server) {
    EndpointState seat = seats.get(server);
    if (seat != null) {
      seat.start = seat.toldAt = now;
      mayHaveRestarted(now, seat);
    }
  }

  private void learn(
      Duration now, EndpointState seat, Duration pos, Boolean primary, boolean answer) {
    Group group = seat.group;
    boolean first = !group.heard;
    group.heard = true;
    EndpointState before = group.primary;
    // Against a claim that comes in behind a newer word, as reports do: reads would go to a
    // replica.
    boolean claim =
        Boolean.TRUE.equals(primary)
            && (seat.replicaAsOf == null || pos.compareTo(seat.replicaAsOf) >= 0);
    if (claim) {
      seat.primaryAsOf = later(seat.primaryAsOf, pos);
      if (before == null || before.primaryAsOf == null || pos.compareTo(before.primaryAsOf) > 0) {
        group.primary = seat;
      }
    } else if (Boolean.FALSE.equals(primary)) {
      seat.replicaAsOf = later(seat.replicaAsOf, answer ? now : pos);
      // A primary stands at the present, so a report from behind its own claim is older than the
      // claim.
      boolean newer = answer || seat.primaryAsOf == null || pos.compareTo(seat.primaryAsOf) >= 0;
      if (seat == before && newer) {
        seat.primaryAsOf = null;
        group.primary = null;
      }
    }
    seat.pos = later(seat.pos, pos);
    if (first || group.primary != before) {
      group.nextRound = now;
      group.seats.forEach(s -> s.seekGap = SHORT_WAIT);
    }
    release(now, group);
  }

  // ---- Time

  public void tick(Duration now) {
    host.scheduleTick(now.plus(BEAT));
    if (askAt != null && now.compareTo(askAt) >= 0) {
      askAt = null;
      host.watchEndpointList();
    }
    long warm = seats.values().stream().filter(s -> s.listed && !cold(now, s)).count();
    warmRate += warm == 0 ? 0 : (workDone / warm - warmRate * seconds(BEAT)) / seconds(PACE_SPAN);
    workDone = 0;
    tokens
        .values()
        .removeIf(
            token -> {
              boolean old = now.minus(TOKEN_KEPT).compareTo(token) >= 0;
              floor = old ? later(floor, token) : floor;
              return old;
            });
    // Who left the list is known no more, as successors come all day; but not while it may come
    // back cold, or
    // what made it doubted is forgotten with it.
    seats.values().removeIf(s -> !s.listed && s.out.isEmpty() && !s.probing && forget(now, s));
  }

  private boolean forget(Duration now, EndpointState seat) {
    if (seat.goneAt == null) {
      seat.goneAt = now;
      host.endpointRemoved(seat.id);
    }
    boolean over = now.minus(seat.goneAt).compareTo(terms.slowStartDuration()) >= 0;
    seat.group.primary = over && seat.group.primary == seat ? null : seat.group.primary;
    return over && seat.group.seats.remove(seat);
  }

  public void timersDue(Duration now) {
    // Rings asked for before an earlier due time came up are left over; answered, they would
    // multiply.
    if (wakeAt == null || now.compareTo(wakeAt) < 0) {
      return;
    }
    wakeAt = null;
    while (!dues.isEmpty() && dues.firstKey().compareTo(now) <= 0) {
      dues.pollFirstEntry().getValue().forEach(due -> due.accept(now));
    }
    if (!dues.isEmpty()) {
      wake(dues.firstKey());
    }
  }

  private void scheduleTimer(Duration at, Consumer<Duration> due) {
    dues.computeIfAbsent(at, a -> new ArrayList<>(1)).add(due);
    if (wakeAt == null || at.compareTo(wakeAt) < 0) {
      wake(at);
    }
  }

  private void wake(Duration at) {
    wakeAt = at;
    host.scheduleTimer(at);
  }

  /**
   * Holds the RPC; its group is looked at while it holds any, and no longer: idle groups cost
   * nothing.
   */
  private void hold(Duration now, Rpc rpc) {
    Group group = rpc.group;
    group.held.add(rpc);
    if (!group.looking) {
      group.looking = true;
      scheduleTimer(
          now.plus(LOOK),
          at -> {
            group.looking = false;
            look(at, group);
          });
    }
  }

  private void look(Duration now, Group group) {
    group.seats.forEach(s -> probeIfUnknown(now, s));
    release(now, group);
  }

  /**
   * Against all that keeps an answer away: a gateway that sees little has no samples, but it can
   * ask.
   */
  private void overdue(Duration now, Attempt c) {
    if (!c.seat.out.contains(c)) {
      return;
    }
    EndpointState seat = c.seat;
    int unheard = unheard(now, seat);
    if (unheard >= OVERDUE_ANSWERS && !seat.doubted) {
      doubt(now, seat);
    } else if (unheard > 0 && !seat.doubted && probe(now, seat, seat.askGap)) {
      // That it lives is soon known; asked by a whole fleet as often as one asks, it has little
      // else to do.
      seat.askGap = sooner(seat.askGap.multipliedBy(2), LONGEST_DOUBT);
    }
    if (seat.doubted || (seat.group.held.isEmpty() && lost(c))) {
      rescue(now, c);
    }
    scheduleTimer(now.plus(span(c.work)), at -> overdue(at, c));
  }

  /**
   * Where nothing is known, and while RPCs wait for a primary; ever rarer, as many askers are a
   * load.
   */
  private void probeIfUnknown(Duration now, EndpointState seat) {
    EndpointState primary = seat.group.primary;
    boolean sought = seat.pos == null || primary == null || primary.doubted;
    boolean needed = seat.probedAt == null || (sought && !seat.group.held.isEmpty());
    if (needed && seat.listed && !seat.draining && probe(now, seat, seat.seekGap)) {
      seat.seekGap = sooner(seat.seekGap.multipliedBy(2), LONGEST_DOUBT);
    }
  }

  /**
   * Probes the replica that would be picked, if its position is old; true while that is worth a
   * wait.
   */
  private boolean refreshed(Duration now, Rpc rpc) {
    Consistency consistency = rpc.row.consistency();
    boolean byPosition =
        consistency == Consistency.BOUNDED
            || (consistency == Consistency.SESSION && token(rpc) != null);
    EndpointState next = byPosition && terms.healthChecks() ? leastBusy(now, rpc, false) : null;
    boolean old =
        next != null && (next.pos == null || now.minus(next.pos).compareTo(probeAfter) > 0);
    if (old && (consistency == Consistency.BOUNDED || !holds(now, rpc, next))) {
      probe(now, next, probeAfter);
    }
    return next != null && next.probing && now.minus(rpc.arrived).compareTo(BRIEF_HOLD) < 0;
  }

  private boolean probe(Duration now, EndpointState seat, Duration gap) {
    if (!terms.healthChecks()
        || seat.probing
        || (seat.probedAt != null && now.minus(seat.probedAt).compareTo(gap) < 0)) {
      return false;
    }
    seat.probing = true;
    seat.probedAt = now;
    host.sendHealthCheck(seat.id);
    return true;
  }

  // ---- The design's ordinary path

  private EndpointState choose(Duration now, Rpc rpc) {
    Group group = rpc.group;
    if (rpc.row.consistency() == Consistency.WRITE) {
      return group.primary != null ? ready(now, rpc, group.primary) : nextInTurn(now, rpc);
    }
    if (!group.heard) {
      return null;
    }
    EndpointState best = leastBusy(now, rpc, true);
    boolean soon = refreshed(now, rpc);
    return best != null || soon || group.primary == null ? best : ready(now, rpc, group.primary);
  }

  private EndpointState leastBusy(Duration now, Rpc rpc, boolean holding) {
    EndpointState best = null;
    for (EndpointState seat : rpc.group.seats) {
      if (seat != rpc.group.primary
          && (!holding || holds(now, rpc, seat))
          && ready(now, rpc, seat) != null
          && (best == null || lessBusy(seat, best))) {
        best = seat;
      }
    }
    return best;
  }

  private boolean holds(Duration now, Rpc rpc, EndpointState seat) {
    Duration pos = seat.pos;
    return switch (rpc.row.consistency()) {
      case ANY -> true;
      case BOUNDED -> pos != null && now.minus(pos).compareTo(rpc.row.stalenessBound()) < 0;
      case SESSION -> token(rpc) == null || (pos != null && pos.compareTo(token(rpc)) >= 0);
      case FRESH -> pos != null && pos.compareTo(rpc.arrived) >= 0;
      case WRITE -> false;
    };
  }

  /** As it stands now: a write of its session may have been answered while the read waited. */
  private Duration token(Rpc rpc) {
    return terms.clientsCarryTokens() ? rpc.carried : tokens.getOrDefault(rpc.session, floor);
  }

  /** Of equals in reads the one that comes first in this gateway's own order. */
  private static boolean lessBusy(EndpointState a, EndpointState b) {
    boolean even = (int) a.order == (int) b.order && a.pos != null && b.pos != null;
    boolean before = even ? a.pos.compareTo(b.pos) > 0 : a.order < b.order;
    return a.reads == b.reads ? before : a.reads < b.reads;
  }

  /**
   * No primary is known: the members in turn, and after a round a short wait, one write at a time.
   */
  private EndpointState nextInTurn(Duration now, Rpc rpc) {
    Group group = rpc.group;
    // The last call-out is kept for a primary that is known.
    if (now.compareTo(group.nextRound) < 0 || rpc.attempts.size() + 1 >= terms.maxAttempts()) {
      return null;
    }
    for (int k = 0; k < group.seats.size(); k++) {
      EndpointState seat = group.seats.get(group.turn++ % group.seats.size());
      if (ready(now, rpc, seat) != null) {
        return seat;
      }
    }
    rpc.tried.clear();
    group.nextRound = now.plus(SHORT_WAIT);
    return null;
  }

  // ---- Sending and answering

  private void route(Duration now, Rpc rpc) {
    if (!mayGoOut(now, rpc)) {
      if (rpc.out == 0) {
        giveUp(rpc);
      }
      return;
    }
    EndpointState seat = choose(now, rpc);
    if (seat == null) {
      if (rpc.out == 0) {
        // Only the primary may be able to take it: turned away once, it waits for that one again.
        rpc.tried.remove(rpc.group.primary);
        hold(now, rpc);
      }
      return;
    }
    rpc.group.held.remove(rpc);
    boolean paced = cold(now, seat);
    Attempt attempt = new Attempt(rpc, seat, rpc.attempts.size(), now, work(rpc.method), paced);
    rpc.attempts.add(attempt);
    rpc.out++;
    rpc.tried.add(seat);
    seat.out.add(attempt);
    seat.reads += rpc.row.consistency() == Consistency.WRITE ? 0 : 1;
    if (paced) {
      // Of what is unused a quarter of the fall window's part may be saved up, or one call-out.
      Duration gap = coldGap(now, seat, rpc.method);
      Duration saved = now.minus(later(gap, terms.overloadWindow().dividedBy(4)));
      seat.coldNext = later(seat.coldNext, saved).plus(gap);
    }
    if (seat.doubted) {
      doubt(now, seat);
    }
    host.sendAttempt(rpc.id, seat.id, rpc.giveUpAt);
    scheduleTimer(now.plus(span(LOST_TIMES * attempt.work)), at -> overdue(at, attempt));
  }

  private void release(Duration now, Group group) {
    List<Rpc> waiting = new ArrayList<>(group.held);
    // Overload: taken oldest first, everything would go out when it is almost too late.
    if (!waiting.isEmpty()
        && seconds(now.minus(waiting.get(0).arrived))
            > LONG_WAIT * seconds(waiting.get(0).row.latencyObjective())) {
      Collections.reverse(waiting);
    }
    waiting.sort(Comparator.comparingDouble(rpc -> -value(now, rpc)));
    for (Rpc rpc : waiting) {
      // What could no longer be answered in time is given up at once: no server works on it in
      // vain.
      if (!rpc.answered
          && answers[rpc.method] >= FEW
          && seconds(rpc.giveUpAt.minus(now)) < TAIL * usual[rpc.method]) {
        giveUp(rpc);
      } else if (!rpc.answered) {
        route(now, rpc);
      }
    }
  }

  /**
   * Utility for a server's time; the less of a method is served the more, lest it pay for all
   * others.
   */
  private double value(Duration now, Rpc rpc) {
    boolean late = now.compareTo(rpc.arrived.plus(rpc.row.latencyObjective())) >= 0;
    return rpc.worth
        * (late ? rpc.row.lateWeight() : 1)
        / seconds(rpc.row.latencyObjective())
        / (LEAST_SERVED + served[rpc.method]);
  }

  /** What failed before its time is tried elsewhere, after all members only with the next look. */
  private void retry(Duration now, Rpc rpc, AttemptOutcome outcome) {
    boolean missed =
        outcome == AttemptOutcome.INELIGIBLE && rpc.row.consistency() == Consistency.WRITE;
    if (now.compareTo(rpc.lastSend) >= 0 || !mayGoOut(now, rpc)) {
      giveUp(rpc);
    } else if (missed
        || rpc.group.seats.stream().anyMatch(s -> s.listed && !rpc.tried.contains(s))) {
      route(now, rpc);
    } else {
      rpc.tried.clear();
      hold(now, rpc);
    }
  }

  private void endIf(Rpc rpc, boolean hopeless) {
    if (hopeless && !rpc.answered) {
      giveUp(rpc);
    }
  }

  private void giveUp(Rpc rpc) {
    boolean clean = rpc.out == 0 && !rpc.mayHaveRun;
    if (rpc.row.effect() == Effect.IDEMPOTENT
        || clean
        || (rpc.row.effect() == Effect.IDEMPOTENT_BY_KEY
            && rpc.row.scope() == RequestClass.Scope.ALL)) {
      host.reject(rpc.id, terms.maxRetryAfter());
    } else {
      host.fail(rpc.id);
    }
    close(rpc, false);
  }

  private void close(Rpc rpc, boolean ok) {
    served[rpc.method] += SERVED_GAIN * ((ok ? 1 : 0) - served[rpc.method]);
    rpc.answered = true;
    rpc.group.held.remove(rpc);
    if (terms.cancellation()) {
      rpc.attempts.stream()
          .filter(c -> c.seat.out.contains(c))
          .forEach(c -> host.cancel(rpc.id, c.number));
    }
    if (rpc.out == 0) {
      open.remove(rpc.id);
    }
  }

  // ---- Guards

  /**
   * The seat itself if the RPC may go there now: listed, warm enough, trusted, and no effect twice.
   */
  private EndpointState ready(Duration now, Rpc rpc, EndpointState seat) {
    return setEndpointListValid
            && seat.listed
            && !seat.draining
            && !rpc.tried.contains(seat)
            && knowsRepeats(rpc, seat)
            && trusted(now, rpc, seat)
            && roomy(now, seat)
            && coldRoom(now, rpc, seat)
        ? seat
        : null;
  }

  private boolean roomy(Duration now, EndpointState seat) {
    long inWork = seat.out.stream().filter(c -> !lost(c)).count();
    return inWork < Math.max(1, (int) seat.window) && now.compareTo(seat.restUntil) >= 0;
  }

  /**
   * Much younger call-outs have been answered; lost answers would fill a window until their
   * deadlines.
   */
  private boolean lost(Attempt c) {
    return seconds(c.seat.answeredSent.minus(c.sent)) > LOST_TIMES * work(c.rpc.method);
  }

  /** No effect twice: whether the RPC may go out, or out again, by its method and the terms. */
  private boolean mayGoOut(Duration now, Rpc rpc) {
    boolean limited =
        rpc.attempts.size() >= terms.maxAttempts() || (rpc.out > 0 && !terms.parallelAttempts());
    boolean risk = rpc.out > 0 || rpc.mayHaveRun;
    return !limited
        && (!risk
            || switch (rpc.row.effect()) {
              case IDEMPOTENT -> true;
              case IDEMPOTENT_BY_KEY -> repeatsDropped(now, rpc);
              case NON_IDEMPOTENT -> false;
            });
  }

  /** Counted from the first send, which is the earliest that may have run. */
  private static boolean repeatsDropped(Duration now, Rpc rpc) {
    return now.minus(rpc.attempts.get(0).sent).compareTo(rpc.row.deduplicationWindow()) < 0;
  }

  /**
   * A repeat of a tokened RPC is known in its group, which all sends stay in, or only in its zone.
   */
  private boolean knowsRepeats(Rpc rpc, EndpointState seat) {
    return rpc.row.effect() != Effect.IDEMPOTENT_BY_KEY
        || rpc.row.scope() != RequestClass.Scope.ZONE
        || rpc.attempts.isEmpty()
        || rpc.attempts.get(0).seat.zone.equals(seat.zone);
  }

  /**
   * Who could not be reached is asked before an RPC is risked; else RPCs that may run again are
   * trials.
   */
  private boolean trusted(Duration now, Rpc rpc, EndpointState seat) {
    boolean due = !seat.doubted || now.compareTo(seat.trialAt) >= 0;
    if (due && seat.doubted && seat.deaf > 0 && terms.healthChecks()) {
      probe(now, seat, SHORT_WAIT);
      return false;
    }
    return due
        && (!seat.doubted
            || rpc.row.effect() == Effect.IDEMPOTENT
            || now.compareTo(seat.trialAt.plus(seat.doubt)) >= 0);
  }

  private boolean cold(Duration now, EndpointState seat) {
    return seat.coldSince != null
        && now.minus(seat.coldSince).compareTo(terms.slowStartDuration()) < 0;
  }

  /**
   * What was held may come all at once and is spaced out; what comes one by one is thinned by
   * chance.
   */
  private boolean coldRoom(Duration now, Rpc rpc, EndpointState seat) {
    if (!cold(now, seat) || now.compareTo(seat.coldNext) >= 0) {
      return true;
    }
    boolean fresh = now.minus(rpc.arrived).compareTo(BRIEF_HOLD) <= 0;
    boolean untold =
        seat.start == null || now.minus(seat.start).compareTo(terms.slowStartDuration()) >= 0;
    if (!fresh || untold) {
      return fresh;
    }
    boolean owed =
        now.plus(coldGap(now, seat, rpc.method).multipliedBy(2)).compareTo(seat.coldNext) < 0;
    List<EndpointState> members = seat.group.seats;
    // Where it is the least busy it is picked by all, not by one in as many as there are members.
    double equals =
        rpc.row.consistency() == Consistency.WRITE
            ? members.size()
            : members.stream()
                .filter(
                    s ->
                        s.listed
                            && !s.draining
                            && !s.doubted
                            && s.reads <= seat.reads
                            && roomy(now, s)
                            && holds(now, rpc, s))
                .count();
    return !owed
        && rpc.luck
            < COLD_MARGIN
                * terms.overloadMultiple()
                * slowStartShare(now, seat)
                * equals
                / members.size();
  }

  private double slowStartShare(Duration now, EndpointState seat) {
    double age =
        Math.max(0, seconds(now.minus(seat.coldSince)) / seconds(terms.slowStartDuration()));
    return terms.slowStartShare() + (1 - terms.slowStartShare()) * Math.min(1, age);
  }

  /** Who learns of a start starts at a moment of its own: many gateways learn of it at once. */
  private void chill(Duration now, EndpointState seat, Duration since) {
    seat.coldSince = since;
    // A place among its equals drawn anew: after those who have been slow it would be first
    // everywhere.
    List<EndpointState> equals = seat.group.seats;
    seat.order = equals.get(random.nextInt(equals.size())).order + random.nextDouble() - 0.5;
    seat.coldNext = now.plus(span(random.nextDouble() * seconds(coldGap(now, seat, 0))));
  }

  /**
   * Against pushing over a cold server: a gateway's share of a warm server's work, times the least
   * part it has of its capacity, adds up over all gateways to what it can take. So far apart lie
   * the call-outs there; who has done nothing yet takes its part of one a fall window.
   */
  private Duration coldGap(Duration now, EndpointState seat, int method) {
    double rate = COLD_MARGIN * terms.overloadMultiple() * slowStartShare(now, seat) * warmRate;
    double work = work(method);
    double least = work / (seconds(terms.overloadWindow()) * fleet);
    return span(work / Math.max(rate, least));
  }

  private double work(int method) {
    return usual[method] > 0 ? usual[method] : 1;
  }

  /** How many call-outs there are overdue, of those sent since the server last answered one. */
  private int unheard(Duration now, EndpointState seat) {
    return (int)
        seat.out.stream()
            .filter(
                c ->
                    c.sent.compareTo(seat.lastWord) >= 0
                        && seconds(now.minus(c.sent)) >= LOST_TIMES * work(c.rpc.method))
            .count();
  }

  private void judge(
      Duration now, EndpointState seat, Attempt attempt, AttemptOutcome outcome, Duration took) {
    widen(now, seat, attempt, outcome, took);
    int m = attempt.rpc.method;
    // Whoever disappoints goes behind an equal: one answer proves nothing, but moving costs
    // nothing.
    boolean slow = seconds(took) > SLOW_TIMES * usual[m] && outcome == AttemptOutcome.OK;
    seat.order +=
        slow || outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.UNREACHABLE ? 1 : 0;
    if (outcome == AttemptOutcome.OK) {
      // Settles at the median: with a mean, one jammed server would make every RPC look hopeless.
      // The first
      // answers move it far, or a gateway that sees little goes by its very first for half a
      // minute.
      double reach = Math.max(STRIDE, 1 + 1.0 / ++answers[m]);
      double stride = seconds(took) < usual[m] ? 1 / reach : reach;
      usual[m] = Math.max(LEAST_USUAL, usual[m] == 0 ? seconds(took) : usual[m] * stride);
      workDone += cold(now, seat) ? 0 : attempt.work;
      extra += EXTRA_PER_OK;
    }
    switch (outcome) {
      case OK, INELIGIBLE -> trust(now, seat, attempt);
      // One alone proves nothing: errors happen, and connections are reset on live servers.
      case ERROR, OVERLOADED, CONNECTION_LOST, CLOSED_BEFORE_SEND -> seat.strikes++;
      case UNREACHABLE -> {
        seat.strikes += 1 + ++seat.deaf;
        if (terms.gossip() && (seat.toldAt == null || now.minus(seat.toldAt).compareTo(BEAT) > 0)) {
          seat.toldAt = now;
          host.gossipUnreachable(seat.id);
        }
      }
    }
    // Where half of a group errs the cause is shared, and setting all of it aside would help
    // nobody.
    long doubted = seat.group.seats.stream().filter(s -> s.doubted).count() + 1;
    if (seat.strikes > 1
        && !seat.doubted
        && (seat.deaf > 0 || 2 * doubted <= seat.group.seats.size())) {
      doubt(now, seat);
    }
  }

  /**
   * This router's call-outs at a server; more wait in the gateway. Settles where answers take
   * {@link #EASE} of their soft deadline. Against queues; harmful if soft deadlines are far from
   * what the work takes.
   */
  private void widen(
      Duration now, EndpointState seat, Attempt attempt, AttemptOutcome outcome, Duration took) {
    if ((outcome.provesNotExecuted && outcome != AttemptOutcome.OVERLOADED)
        || outcome == AttemptOutcome.IDLE_CONNECTION_LOST
        || lost(attempt)) {
      return;
    }
    double soft = seconds(attempt.rpc.row.latencyObjective());
    // Cancelled as its client left: whatever patience clients have, the answer took longer.
    boolean left = outcome == AttemptOutcome.CANCELLED && attempt.rpc.abandoned;
    double strain = outcome == AttemptOutcome.OVERLOADED || left ? 1 : seconds(took) / soft;
    // A gateway that sees little must learn as fast by the clock as one that sees much.
    double gain =
        Math.max(WINDOW_GAIN, BOLDEST_GAIN * Math.min(1, seconds(now.minus(seat.windowAt))));
    seat.windowAt = now;
    double step = gain * (EASE - Math.min(1, strain));
    // Under one, the server rests between call-outs: many gateways with one each are still too
    // many. The less
    // an answer strains it the shorter, or the few RPCs that only it may serve wait where nobody is
    // busy.
    double rests = Math.max(0, 1 / seat.window - 1) * Math.min(1, strain / EASE);
    seat.restUntil = now.plus(span(seconds(took) * rests));
    if (step < 0 || seat.out.size() + 2 > seat.window) {
      seat.window = Math.max(LEAST_WINDOW, seat.window * (1 + step));
    }
  }

  private void trust(Duration now, EndpointState seat, Attempt answered) {
    seat.deaf = seat.strikes = 0;
    seat.askGap = SHORT_WAIT;
    seat.answeredSent = later(seat.answeredSent, answered.sent);
    seat.lastWord = now;
    seat.doubted = false;
    seat.doubt = FIRST_DOUBT;
  }

  private void doubt(Duration now, EndpointState seat) {
    seat.trialAt = now.plus(seat.doubt);
    seat.doubt = sooner(seat.doubt.multipliedBy(2), LONGEST_DOUBT);
    seat.doubted = true;
    // What is behind a silence may be a restart that no list shows: who comes back comes back cold.
    if (seat.deaf > 0) {
      mayHaveRestarted(now, seat);
    }
  }

  private void mayHaveRestarted(Duration now, EndpointState seat) {
    if (seat.chilledAt == null || !cold(now, seat)) {
      seat.coldBefore = seat.coldSince;
      seat.chilledAt = now;
    }
    chill(now, seat, now);
  }

  /**
   * Who answers on what was open before it was thought to be gone is the process that it was, and
   * no colder.
   */
  private void seenAlive(Duration now, EndpointState seat, Duration since) {
    if (since != null
        && seat.chilledAt != null
        && since.compareTo(seat.coldSince) < 0
        // What it said before its end may come in just behind the news of that.
        && now.minus(seat.coldSince).compareTo(BRIEF_HOLD) > 0) {
      boolean throughout = since.compareTo(seat.chilledAt) < 0;
      seat.coldSince = throughout ? seat.coldBefore : since;
      seat.chilledAt = throughout ? null : seat.chilledAt;
    }
  }

  /**
   * Against hangs and lost answers; the budget keeps further call-outs from feeding an overload.
   */
  private void rescue(Duration now, Attempt attempt) {
    Rpc rpc = attempt.rpc;
    if (rpc.answered || rpc.row.effect() != Effect.IDEMPOTENT || rpc.out > 1 || extra < 1) {
      return;
    }
    route(now, rpc);
    extra -= rpc.out - 1;
    if (!terms.parallelAttempts() && terms.cancellation()) {
      extra--;
      host.cancel(rpc.id, attempt.number);
    }
  }

  /**
   * For the log: of each server its call-outs, window, age of its position in ms, and its standing.
   */
  public String describe(Duration now) {
    return seats.values().stream()
            .map(
                s ->
                    s.id.name()
                        + " "
                        + s.out.size()
                        + "/"
                        + (int) s.window
                        + " "
                        + (s.pos == null ? "?" : now.minus(s.pos).toMillis())
                        + (s == s.group.primary ? " primary" : "")
                        + (s.doubted ? " doubted" : "")
                        + (cold(now, s) ? " cold" : "")
                        + (s.listed ? "" : " gone"))
            .toList()
        + ", held "
        + groups.values().stream().mapToInt(g -> g.held.size()).sum();
  }

  private static Duration later(Duration a, Duration b) {
    return a == null || (b != null && b.compareTo(a) > 0) ? b : a;
  }

  private static Duration sooner(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }

  private static Duration span(double seconds) {
    return Duration.ofNanos((long) (1e9 * seconds));
  }

  private static double seconds(Duration span) {
    return span.toNanos() / 1e9;
  }
}
