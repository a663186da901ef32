package weldcross.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * Who is here, who is silent and who is gone, as one gateway sees it. After SWIM (Das, Gupta,
 * Motivala, 2002): each period one other gateway is probed, in a random order that comes round; if
 * it does not answer, some others are asked to try; if they get none either it is suspected, and
 * has time to answer that; news travel on the probes. So each gateway's cost is the same however
 * many there are. After Lifeguard (Dadgar, Phillips, Currey, 2017): who gets no answers at all
 * suspects itself first and gives others more time, and a suspicion runs the shorter the more
 * gateways share it.
 *
 * <p>Where it departs: SWIM declares the unanswering dead. Here that is only SILENT; GONE takes
 * proof, and only a later life ends it. Called by the adapter that carries its messages; pure,
 * chance from a told seed.
 */
public final class FailureDetector {

  /** Of the own health: each step gives others one period more. */
  private static final int WORST = 8;

  /** One probe in so many goes to one of whom nothing is heard. */
  private static final int SILENT_EACH = 4;

  private static final class Probe {
    final PeerName target;
    final Duration until;
    Duration helpAt;
    boolean answered;
    int helpers, noAnswers;

    /** What it was told by it, if it lives. */
    final List<MembershipUpdate> carried;

    Probe(PeerName target, Duration helpAt, Duration until, List<MembershipUpdate> carried) {
      this.target = target;
      this.helpAt = helpAt;
      this.until = until;
      this.carried = carried;
    }
  }

  /** Probed for another, which is told either way. */
  private record Favour(PeerName asker, long number, Duration until) {}

  private static final class Doubt {
    final Duration since;

    /** Who said so, each counted once. */
    final Set<PeerName> by = new HashSet<>();

    Doubt(Duration since) {
      this.since = since;
    }
  }

  /** News that is still to be passed on. */
  private static final class Rumour {
    final MembershipUpdate news;
    int told;

    Rumour(MembershipUpdate news) {
      this.news = news;
    }
  }

  private final FailureDetectorConfig terms;
  private final FailureDetectorActions host;
  private final SplittableRandom chance;
  private final Map<PeerName, MembershipUpdate> held = new TreeMap<>();
  private final Set<PeerName> unheard = new HashSet<>();
  private final Map<PeerName, Doubt> doubts = new TreeMap<>();
  private final Map<PeerName, Rumour> rumours = new LinkedHashMap<>();
  private final Map<Long, Probe> probes = new TreeMap<>();
  private final Map<Long, Favour> favours = new TreeMap<>();

  /** Who is left of a round, of those that are here and of those of whom nothing is heard. */
  private final List<PeerName> round = new ArrayList<>(), silentRound = new ArrayList<>();

  private int probesSent;
  private MembershipUpdate self;
  private long numbers;
  private int health;
  private Duration nextProbe = Duration.ZERO;
  private boolean leaving;

  /**
   * @param seed of the order of probes and the choice of helpers
   */
  public FailureDetector(FailureDetectorConfig terms, FailureDetectorActions host, long seed) {
    this.terms = terms;
    this.host = host;
    this.chance = new SplittableRandom(seed);
    unheard.addAll(terms.peers());
  }

  /** Begins, or begins anew under a higher incarnation. */
  public void start(Duration now, long life) {
    self =
        new MembershipUpdate(
            terms.self(), life, 0, MemberState.HERE, terms.zone(), terms.part(), terms.self());
    nextProbe = now.plusNanos((long) (terms.period().toNanos() * chance.nextDouble()));
    host.wakeAt(nextProbe);
  }

  /** Tells all that can be told soon that this gateway goes; it is called no more after it. */
  public void leave() {
    leaving = true;
    MembershipUpdate gone = self.with(MemberState.GONE, terms.self());
    List<PeerName> some = living();
    for (int k = 0; k < Math.max(terms.helpers(), spread()) && !some.isEmpty(); k++) {
      host.answer(some.remove(chance.nextInt(some.size())), 0, List.of(gone));
    }
  }

  // ---- What comes

  /** Somebody asks whether this gateway is here. */
  public void probed(Duration now, PeerName from, long number, List<MembershipUpdate> news) {
    if (!leaving) {
      hear(now, news);
      List<MembershipUpdate> carried = newsFor(from);
      told(carried);
      host.answer(from, number, carried);
    }
  }

  public void helpAsked(
      Duration now, PeerName from, PeerName target, long number, List<MembershipUpdate> news) {
    if (leaving) {
      return;
    }
    hear(now, news);
    long own = ++numbers;
    favours.put(own, new Favour(from, number, now.plus(patience(terms.answerWithin()))));
    host.probe(target, own, newsFor(target));
    wake(now);
  }

  public void answered(Duration now, PeerName from, long number, List<MembershipUpdate> news) {
    hear(now, news);
    Favour favour = favours.remove(number);
    if (favour != null) {
      List<MembershipUpdate> carried = newsFor(favour.asker());
      told(carried);
      host.answer(favour.asker(), favour.number(), carried);
    }
    Probe probe = probes.get(number);
    if (probe != null && !probe.answered) {
      probe.answered = true;
      told(probe.carried);
      health = Math.max(0, health - 1);
    }
  }

  /** A helper lives, and the target gave it no answer. */
  public void notAnswered(Duration now, PeerName helper, long number) {
    Probe probe = probes.get(number);
    if (probe != null) {
      probe.noAnswers++;
    }
  }

  /**
   * Proof that no process listens where this gateway should.
   *
   * @param life the one known before the dial was begun: whoever is known has listened before it
   *     said a word, so that life has ended; of a later one, heard of meanwhile, a dial that was
   *     refused before says nothing
   */
  public void refusedBy(Duration now, PeerName name, long life) {
    MembershipUpdate before = held.get(name);
    if (before != null && before.life() == life) {
      believe(now, before.with(MemberState.GONE, terms.self()));
    }
  }

  private void hear(Duration now, List<MembershipUpdate> news) {
    for (MembershipUpdate each : news) {
      if (each.of().equals(terms.self())) {
        answerToSelf(each);
      } else {
        believe(now, each);
      }
    }
  }

  /** Only this gateway raises its version, and only above what is said of it. */
  private void answerToSelf(MembershipUpdate said) {
    if (said.life() > self.life()
        || (said.life() == self.life() && said.finding() == MemberState.GONE)) {
      host.takenForGone(said.life());
    } else if (said.life() == self.life()
        && said.finding() != MemberState.HERE
        && said.version() >= self.version()) {
      self =
          new MembershipUpdate(
              self.of(),
              self.life(),
              said.version() + 1,
              MemberState.HERE,
              terms.zone(),
              terms.part(),
              terms.self());
      // It was slow to answer, or others hear it badly.
      health = Math.min(WORST, health + 1);
    }
  }

  private void believe(Duration now, MembershipUpdate news) {
    MembershipUpdate before = held.get(news.of());
    if (news.finding() == MemberState.SUSPECT
        && before != null
        && before.finding() == MemberState.SUSPECT
        && before.life() == news.life()
        && before.version() == news.version()) {
      Doubt doubt = doubts.get(news.of());
      if (doubt.by.size() <= terms.helpers() && doubt.by.add(news.by())) {
        rumours.put(news.of(), new Rumour(news));
      }
      wake(now);
      return;
    }
    if (!news.overrides(before)) {
      return;
    }
    held.put(news.of(), news);
    unheard.remove(news.of());
    doubts.remove(news.of());
    if (news.finding() == MemberState.SUSPECT) {
      Doubt doubt = new Doubt(now);
      doubt.by.add(news.by());
      doubts.put(news.of(), doubt);
    }
    rumours.put(news.of(), new Rumour(news));
    host.found(news);
    wake(now);
  }

  // ---- What is due

  /** Does what is due by now, and asks to be called again. */
  public void due(Duration now) {
    if (leaving || self == null) {
      return;
    }
    for (Map.Entry<Long, Probe> each : List.copyOf(probes.entrySet())) {
      look(now, each.getKey(), each.getValue());
    }
    favours
        .entrySet()
        .removeIf(
            each -> {
              boolean over = each.getValue().until().compareTo(now) <= 0;
              if (over) {
                host.noAnswer(each.getValue().asker(), each.getValue().number());
              }
              return over;
            });
    for (Map.Entry<PeerName, Doubt> each : List.copyOf(doubts.entrySet())) {
      if (doubtUntil(each.getValue()).compareTo(now) <= 0) {
        believe(now, held.get(each.getKey()).with(MemberState.SILENT, terms.self()));
      }
    }
    if (nextProbe.compareTo(now) <= 0) {
      // Not drawn out by the own health, as Lifeguard has it: where most others are dead none of
      // them says that
      // it got no answer either, which looks like a slow self, and whoever is left must not look
      // more rarely.
      nextProbe = now.plus(terms.period());
      probeNext(now);
    }
    wake(now);
  }

  private void look(Duration now, long number, Probe probe) {
    if (probe.answered) {
      probes.remove(number);
    } else if (probe.until.compareTo(now) <= 0) {
      probes.remove(number);
      // Helpers that live would have said that they got none either.
      health =
          Math.min(
              WORST,
              health + (probe.helpers == 0 ? 1 : Math.max(0, probe.helpers - probe.noAnswers)));
      MembershipUpdate before = held.get(probe.target);
      if (before != null
          && (before.finding() == MemberState.HERE || before.finding() == MemberState.SUSPECT)) {
        believe(now, before.with(MemberState.SUSPECT, terms.self()));
      }
    } else if (probe.helpAt != null && probe.helpAt.compareTo(now) <= 0) {
      probe.helpAt = null;
      List<PeerName> others = living();
      others.remove(probe.target);
      for (int k = 0; k < terms.helpers() && !others.isEmpty(); k++) {
        probe.helpers++;
        PeerName helper = others.remove(chance.nextInt(others.size()));
        host.help(helper, probe.target, number, newsFor(helper));
      }
    }
  }

  /**
   * The next of a round in random order, in which each comes once: nobody is left out for long.
   * Those who are not here have a round of their own and one probe in four, so that many of them do
   * not hide what becomes of the others, and are still found when they come back.
   */
  private void probeNext(Duration now) {
    PeerName next = ++probesSent % SILENT_EACH == 0 ? nextOf(silentRound, false) : null;
    next = next == null ? nextOf(round, true) : next;
    next = next == null ? nextOf(silentRound, false) : next;
    if (next != null) {
      long number = ++numbers;
      List<MembershipUpdate> carried = newsFor(next);
      probes.put(
          number,
          new Probe(
              next,
              now.plus(patience(terms.answerWithin())),
              now.plus(patience(terms.period())),
              carried));
      host.probe(next, number, carried);
    }
  }

  private PeerName nextOf(List<PeerName> of, boolean here) {
    for (int tries = 0; tries < 2; tries++) {
      while (!of.isEmpty()) {
        PeerName next = of.remove(of.size() - 1);
        if (isProbed(next, here)) {
          return next;
        }
      }
      of.addAll(unheard);
      of.addAll(held.keySet());
      of.removeIf(name -> !isProbed(name, here));
      of.sort(Comparator.naturalOrder());
      for (int k = of.size() - 1; k > 0; k--) {
        of.set(k, of.set(chance.nextInt(k + 1), of.get(k)));
      }
    }
    return null;
  }

  private boolean isProbed(PeerName name, boolean here) {
    MemberState finding = findingOf(name);
    return here
        ? finding == MemberState.HERE || finding == MemberState.SUSPECT
        : finding == MemberState.SILENT || finding == MemberState.UNHEARD;
  }

  private Duration patience(Duration usual) {
    return usual.multipliedBy(health + 1L);
  }

  /** The longest for one that nobody else suspects, less with each who does. */
  private Duration doubtUntil(Doubt doubt) {
    double shortest = terms.shortestDoubt() * Math.max(1, Math.log10(Math.max(1, held.size() + 1)));
    double longest = shortest * terms.longestDoubt();
    double share = Math.log(doubt.by.size()) / Math.log(terms.helpers() + 1.0);
    double periods = Math.max(shortest, longest - (longest - shortest) * share);
    return doubt.since.plusNanos((long) (terms.period().toNanos() * periods));
  }

  private void wake(Duration now) {
    Duration next = nextProbe;
    for (Probe probe : probes.values()) {
      next =
          earlier(
              next,
              probe.answered ? probe.until : probe.helpAt == null ? probe.until : probe.helpAt);
    }
    for (Favour favour : favours.values()) {
      next = earlier(next, favour.until());
    }
    for (Doubt doubt : doubts.values()) {
      next = earlier(next, doubtUntil(doubt));
    }
    host.wakeAt(next.compareTo(now) > 0 ? next : now);
  }

  private static Duration earlier(Duration a, Duration b) {
    return b.compareTo(a) < 0 ? b : a;
  }

  // ---- News on their way

  private int spread() {
    return terms.spread() * (int) Math.ceil(Math.log10(held.size() + 2.0) + 1);
  }

  /**
   * The least told first; who is suspected is always told of it, so that it can answer; and always
   * who this gateway is, which costs one entry and lets a restarted one be known by its first word.
   */
  private List<MembershipUpdate> newsFor(PeerName to) {
    List<MembershipUpdate> news = new ArrayList<>();
    news.add(self);
    MembershipUpdate ofTo = held.get(to);
    if (ofTo != null && ofTo.finding() != MemberState.HERE) {
      news.add(ofTo);
    }
    List<Rumour> all = new ArrayList<>(rumours.values());
    all.sort(Comparator.comparingInt(r -> r.told));
    for (Rumour each : all) {
      if (news.size() >= terms.mostNews()) {
        break;
      }
      if (!each.news.of().equals(to)) {
        news.add(each.news);
      }
    }
    return news;
  }

  /**
   * Somebody who lives has these: what the dead are told spreads no further, and does not count.
   */
  private void told(List<MembershipUpdate> carried) {
    for (MembershipUpdate each : carried) {
      Rumour rumour = rumours.get(each.of());
      if (rumour != null && rumour.news.equals(each) && ++rumour.told >= spread()) {
        rumours.remove(each.of());
      }
    }
  }

  private List<PeerName> living() {
    List<PeerName> all = new ArrayList<>();
    held.values().stream()
        .filter(n -> n.finding() == MemberState.HERE || n.finding() == MemberState.SUSPECT)
        .forEach(n -> all.add(n.of()));
    return all;
  }

  // ---- What is known

  /** Of all gateways that were ever heard of, by name. */
  public Collection<MembershipUpdate> held() {
    return List.copyOf(held.values());
  }

  public MemberState findingOf(PeerName name) {
    return held.containsKey(name) ? held.get(name).finding() : MemberState.UNHEARD;
  }

  public MembershipUpdate self() {
    return self;
  }

  /** Zero where all is well here; each step gives others one period more. */
  public int health() {
    return health;
  }

  /** One line without an end. */
  public String describe() {
    Map<MemberState, Integer> counts = new TreeMap<>();
    held.values().forEach(n -> counts.merge(n.finding(), 1, Integer::sum));
    return "seen "
        + counts
        + ", "
        + unheard.size()
        + " unheard, health "
        + health
        + ", "
        + rumours.size()
        + " news under way";
  }
}
