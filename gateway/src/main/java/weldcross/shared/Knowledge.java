package weldcross.shared;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import weldcross.routing.GroupId;
import weldcross.routing.ServerId;

/**
 * Decides what this gateway shares with others through a store, what it believes of what they
 * share, and when the store is asked at all. A gateway ({@code weldcross.gateway.SharedPart}) calls
 * one method for each thing that happens and gives what is asked for through {@link StoreHost}.
 * docs/shared-knowledge.md has the promise.
 *
 * <p>Nothing here depends on the store: whatever waits for it has a due time of its own, after
 * which it is as if there were none. What is believed was seen of the process that the list names,
 * and never goes back: the order is that of positions, whenever it arrives.
 */
public final class Knowledge {

  /**
   * Sightings of one server are published no more often than this part of the refresh, whatever
   * they say.
   */
  private static final int LEAST_APART = 4;

  /** A sighting is kept in the store for so many refreshes, and not less than a second. */
  private static final int SEEN_FOR = 40;

  /** An ask without an answer after so many times what RPCs wait is none any more. */
  private static final int OVERDUE = 4;

  private static final Duration LEAST_PATIENCE = Duration.ofMillis(50);

  /** A server as it is listed here, what was last seen of it by this gateway, and by anyone. */
  private static final class Seen {
    final GroupId group;

    /**
     * Null where the list tells no starts: then nothing that others saw can be laid at its door.
     */
    Duration start;

    Duration position;
    boolean primary;
    Duration publishedAt;
    Sighting shared;

    /** How far this process was last believed to be by what others saw; never less again. */
    Duration believed;

    Seen(GroupId group) {
      this.group = group;
    }
  }

  private enum Kind {
    PUBLISH,
    MARK,
    FIND,
    SEE
  }

  /** One ask of the store, until it ends or is overdue. */
  private static final class Ask {
    final Kind kind;
    final long ticket;
    final Duration overdueAt;

    /** Whose mark it is, where it is one. */
    long session;

    /** The RPC that waited for it went on without it. */
    boolean unwaited;

    Ask(Kind kind, long ticket, Duration overdueAt) {
      this.kind = kind;
      this.ticket = ticket;
      this.overdueAt = overdueAt;
    }
  }

  private record Waiting(Duration until, long ask) {}

  private static final long NO_TICKET = -1;

  private final StoreHost host;
  private final SharedTerms terms;
  private final SplittableRandom dice;
  private final Duration unixAtStart;
  private final Duration patience;
  private final StoreHealth health;
  private final SessionMarks marks;
  private final Map<ServerId, Seen> servers = new LinkedHashMap<>();

  /** In the order of their asking, which for each kind is that of their due times. */
  private final LinkedHashMap<Long, Ask> asks = new LinkedHashMap<>();

  private final ArrayDeque<Waiting> marking = new ArrayDeque<>();
  private final ArrayDeque<Waiting> finding = new ArrayDeque<>();

  /** Marks that a store that is back may not have; put again at a pace. */
  private final ArrayDeque<long[]> refill = new ArrayDeque<>();

  private Duration refreshAt;
  private Duration refillAt = Duration.ZERO;
  private Duration wakeAt;
  private long lastAsk;
  private long published, marked, found, unsure, refused;

  /**
   * @param unixAtStart what this gateway's wall clock showed at time zero, as time since 1970
   */
  public Knowledge(StoreHost host, SharedTerms terms, Duration unixAtStart, long seed) {
    this.host = host;
    this.terms = terms;
    this.unixAtStart = unixAtStart;
    this.dice = new SplittableRandom(seed);
    this.health = new StoreHealth(dice.split());
    this.marks = new SessionMarks(terms.mostMarks(), terms.marksKept());
    Duration longest = longer(terms.findWithin(), terms.markWithin()).multipliedBy(OVERDUE);
    this.patience = longer(longest, LEAST_PATIENCE);
  }

  // ---- What this gateway is told and sees itself

  /** All that was seen by others is asked for at once: who has just started knows nothing. */
  public void started(Duration now) {
    refreshAt = now;
    dueReached(now);
  }

  /**
   * @param start as time since 1970, zero for long ago; null where the list tells no starts
   */
  public void listed(Duration now, ServerId server, GroupId group, Duration start) {
    Seen seen = servers.computeIfAbsent(server, s -> new Seen(group));
    if (start != null && !start.equals(seen.start)) {
      // What was seen before was another process's.
      seen.position = null;
      seen.publishedAt = null;
      seen.believed = null;
      seen.primary = false;
    }
    seen.start = start;
    believe(server, seen);
  }

  public void left(ServerId server) {
    servers.remove(server);
  }

  /**
   * An answer or a report of its own said so.
   *
   * @param position as time since 1970
   * @param primary null where it said nothing of its role
   */
  public void learned(Duration now, ServerId server, Duration position, Boolean primary) {
    Seen seen = servers.get(server);
    if (seen == null
        || seen.start == null
        || seen.position != null && position.compareTo(seen.position) <= 0) {
      return;
    }
    boolean role = primary == null ? seen.primary : primary;
    boolean changed =
        role != seen.primary
            || seen.shared == null
            || seen.shared.primary() != role
            || !seen.shared.start().equals(seen.start);
    seen.position = position;
    seen.primary = role;
    Duration ahead = seen.shared == null ? null : position.minus(seen.shared.position());
    boolean early =
        seen.publishedAt != null
            && now.minus(seen.publishedAt).compareTo(terms.refreshEvery().dividedBy(LEAST_APART))
                < 0;
    if (!early && (changed || ahead.compareTo(terms.publishAfter()) >= 0) && free(now)) {
      publish(now, server, seen);
    }
  }

  private void publish(Duration now, ServerId server, Seen seen) {
    Sighting sighting =
        new Sighting(
            server,
            seen.group,
            seen.start,
            seen.position,
            seen.primary,
            unixAtStart.plus(now),
            terms.gateway());
    seen.publishedAt = now;
    if (sighting.isNewerThan(seen.shared)) {
      seen.shared = sighting;
    }
    published++;
    Duration kept = longer(terms.refreshEvery().multipliedBy(SEEN_FOR), Duration.ofSeconds(1));
    host.publish(ask(now, Kind.PUBLISH, NO_TICKET), sighting, kept);
  }

  // ---- Sessions

  /**
   * A session's write was answered here; its own answer may wait for the mark of it.
   *
   * @param commit as time since 1970
   * @param ticket given back by {@link StoreHost#marked}, once
   */
  public void wrote(Duration now, long session, Duration commit, long ticket) {
    marks.put(now, session, commit);
    boolean sent = health.isTrusted() && free(now);
    if (!sent) {
      refused++;
      host.marked(ticket);
      return;
    }
    marked++;
    long ask = ask(now, Kind.MARK, ticket);
    asks.get(ask).session = session;
    host.mark(ask, session, commit, terms.marksKept());
    if (terms.markWithin().isZero()) {
      settle(ask);
    } else {
      marking.add(new Waiting(now.plus(terms.markWithin()), ask));
      wake(now.plus(terms.markWithin()));
    }
  }

  /**
   * A session reads here: what did it write elsewhere? Ends by one {@link StoreHost#found} in time.
   */
  public void reads(Duration now, long session, long ticket) {
    if (!health.isTrusted() || !free(now)) {
      unsure++;
      host.found(ticket, null, false);
      return;
    }
    found++;
    long ask = ask(now, Kind.FIND, ticket);
    host.find(ask, session);
    finding.add(new Waiting(now.plus(terms.findWithin()), ask));
    wake(now.plus(terms.findWithin()));
  }

  // ---- What the store says

  /** A put or a mark was taken. */
  public void storeAnswered(Duration now, long ask) {
    Ask ended = asks.remove(ask);
    if (ended != null) {
      answered(now);
      if (ended.kind == Kind.MARK && !ended.unwaited) {
        host.marked(ended.ticket);
      }
    }
  }

  /**
   * @param commit as time since 1970; null where the store has none
   */
  public void storeFound(Duration now, long ask, Duration commit) {
    Ask ended = asks.remove(ask);
    if (ended != null) {
      answered(now);
      if (!ended.unwaited) {
        host.found(ended.ticket, commit, true);
      }
    }
  }

  /** All that the store has of the servers listed here; what cannot be read was left out. */
  public void storeSaw(Duration now, long ask, List<Sighting> sightings) {
    if (asks.remove(ask) == null) {
      return;
    }
    for (Sighting s : sightings) {
      Seen seen = servers.get(s.server());
      if (seen == null) {
        continue;
      }
      // A store that went back is no reason to: what this gateway put or saw there stays what it
      // was.
      if (s.isNewerThan(seen.shared)) {
        seen.shared = s;
        believe(s.server(), seen);
      }
    }
    answered(now);
  }

  /**
   * The store refused an ask, or it was lost.
   *
   * @param lost with its connection
   */
  public void storeFailed(Duration now, long ask, boolean lost, String why) {
    Ask ended = asks.remove(ask);
    if (ended != null) {
      settleWithout(ended);
      putAgain(now, ended);
      failed(now, lost, why);
    }
  }

  /** The connection is gone, and all that was asked on it. */
  public void storeLost(Duration now, String why) {
    List<Ask> all = new ArrayList<>(asks.values());
    asks.clear();
    all.forEach(this::settleWithout);
    failed(now, true, why);
  }

  // ---- Time

  public void dueReached(Duration now) {
    if (wakeAt != null && now.compareTo(wakeAt) >= 0) {
      wakeAt = null;
    }
    release(now, marking);
    release(now, finding);
    List<Ask> late = new ArrayList<>();
    for (Iterator<Ask> each = asks.values().iterator(); each.hasNext(); ) {
      Ask ask = each.next();
      if (ask.overdueAt.compareTo(now) > 0) {
        break;
      }
      each.remove();
      late.add(ask);
    }
    // Whoever goes on without the store may ask it something else at once.
    late.forEach(this::settleWithout);
    late.forEach(ask -> putAgain(now, ask));
    if (!late.isEmpty()) {
      failed(now, false, "no answer within " + patience.toMillis() + " ms");
    }
    if (refreshAt != null && now.compareTo(refreshAt) >= 0 && health.mayAsk(now)) {
      // Never all gateways at one moment.
      refreshAt =
          now.plus(terms.refreshEvery().dividedBy(2))
              .plusNanos(dice.nextLong(terms.refreshEvery().toNanos()));
      host.see(ask(now, Kind.SEE, NO_TICKET));
    }
    refillSome(now);
    wakeAgain(now);
  }

  /** What is kept is bounded by what is listed, the marks' number and what may be out. */
  public String inWords() {
    return "store "
        + health.state()
        + ", "
        + asks.size()
        + " out, "
        + marks.size()
        + " marks, "
        + published
        + " published, "
        + marked
        + " marked, "
        + found
        + " sought, "
        + unsure
        + " unsure, "
        + refused
        + " unmarked";
  }

  public StoreHealth.State state() {
    return health.state();
  }

  // ---- Inside

  /**
   * Only what was seen of the very process that is listed, and never of one whose start nobody
   * tells.
   */
  private void believe(ServerId server, Seen seen) {
    if (seen.start != null
        && seen.shared != null
        && seen.shared.start().equals(seen.start)
        && (seen.believed == null || seen.shared.position().compareTo(seen.believed) > 0)) {
      seen.believed = seen.shared.position();
      host.believe(server, seen.shared.position(), seen.shared.primary());
    }
  }

  private boolean free(Duration now) {
    return asks.size() < terms.mostAsks() && health.isTrusted();
  }

  private long ask(Duration now, Kind kind, long ticket) {
    health.asked();
    asks.put(++lastAsk, new Ask(kind, ticket, now.plus(patience)));
    wake(now.plus(patience));
    return lastAsk;
  }

  private void answered(Duration now) {
    if (health.answered()) {
      host.storeIs(health.state(), "it answers");
      // It may be empty, or a copy that lacks the last of what it was told.
      servers
          .values()
          .forEach(
              s ->
                  s.shared =
                      s.shared != null && s.shared.seenBy().equals(terms.gateway())
                          ? null
                          : s.shared);
      refill.clear();
      marks.forEach(now, (session, commit) -> refill.add(new long[] {session, commit.toNanos()}));
      refillAt = now;
      wake(now);
    }
  }

  private void failed(Duration now, boolean lost, String why) {
    if (health.failed(now, lost)) {
      host.storeIs(health.state(), why);
      List<Ask> all = new ArrayList<>(asks.values());
      asks.clear();
      all.forEach(this::settleWithout);
      refill.clear();
    }
    refreshAt = health.state() == StoreHealth.State.AWAY ? health.trialAt() : refreshAt;
    wakeAgain(now);
  }

  /**
   * A mark that is lost alone, while the store goes on answering; when it comes back from away all
   * are put.
   */
  private void putAgain(Duration now, Ask ask) {
    Duration commit = ask.kind == Kind.MARK ? marks.get(now, ask.session) : null;
    if (commit != null) {
      refill.add(new long[] {ask.session, commit.toNanos()});
    }
  }

  /** The RPC that waits for this ask, if one does, waits no longer. */
  private void settle(long number) {
    Ask ask = asks.get(number);
    if (ask != null) {
      settleWithout(ask);
    }
  }

  private void settleWithout(Ask ask) {
    if (ask.unwaited) {
      return;
    }
    ask.unwaited = true;
    if (ask.kind == Kind.MARK) {
      host.marked(ask.ticket);
    } else if (ask.kind == Kind.FIND) {
      unsure++;
      host.found(ask.ticket, null, false);
    }
  }

  private void release(Duration now, ArrayDeque<Waiting> waiting) {
    while (!waiting.isEmpty()
        && (waiting.peek().until.compareTo(now) <= 0 || !asks.containsKey(waiting.peek().ask))) {
      settle(waiting.poll().ask);
    }
  }

  private void refillSome(Duration now) {
    while (!refill.isEmpty() && now.compareTo(refillAt) >= 0 && free(now)) {
      long[] mark = refill.poll();
      refillAt =
          longer(refillAt, now.minus(Duration.ofSeconds(1).dividedBy(terms.refillPerSecond())))
              .plus(Duration.ofSeconds(1).dividedBy(terms.refillPerSecond()));
      long ask = ask(now, Kind.MARK, NO_TICKET);
      asks.get(ask).unwaited = true;
      asks.get(ask).session = mark[0];
      host.mark(ask, mark[0], Duration.ofNanos(mark[1]), terms.marksKept());
    }
  }

  private void wakeAgain(Duration now) {
    if (!marking.isEmpty()) {
      wake(marking.peek().until);
    }
    if (!finding.isEmpty()) {
      wake(finding.peek().until);
    }
    if (!asks.isEmpty()) {
      wake(asks.values().iterator().next().overdueAt);
    }
    if (refreshAt != null
        && (health.state() != StoreHealth.State.AWAY || health.trialAt() != null)) {
      wake(refreshAt);
    }
    if (!refill.isEmpty() && free(now)) {
      wake(refillAt);
    }
  }

  private void wake(Duration at) {
    if (wakeAt == null || at.compareTo(wakeAt) < 0) {
      wakeAt = at;
      host.wakeAt(at);
    }
  }

  private static Duration longer(Duration a, Duration b) {
    return a.compareTo(b) > 0 ? a : b;
  }
}
