package weldcross.consensus;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * What one gateway, voter or not, knows of the agreed view, and what it asks the voters for: to be
 * a member, to leave, and that a life of which there is proof that it ended is none. Views come in
 * any order and from anybody who had them from the consensus; only a later one replaces what is
 * known, so numbers never go back in one life.
 *
 * <p>Nothing waits for agreement here: without it the last view stays, and whoever has to act once
 * asks for its own change and hears what became of that. Pure; called by the adapter on the
 * gateway's one thread.
 */
public final class MembershipViewClient {

  /** From start to end. */
  public enum Phase {
    /** Not begun: this life's incarnation is not sure yet. */
    STARTING,
    /** This life is not a member, and asks to be. */
    OUTSIDE,
    MEMBER,
    /** It asks to be none. */
    LEAVING,
    LEFT
  }

  private final ConsensusConfig terms;
  private final MembershipViewActions host;
  private final FleetQuota shares;
  private final Map<Long, Proposal> asked = new TreeMap<>();
  private final Map<PeerName, Long> proofs = new TreeMap<>();
  private final List<Proposal> operators = new ArrayList<>();
  private Phase phase = Phase.STARTING;
  private MembershipView view = MembershipView.NONE;
  private Member self;
  private PeerName leader;
  private Duration leaderAt, nextAsk = Duration.ZERO, leaveUntil;
  private boolean answered;
  private int turn;
  private long numbers;
  private double share;

  /**
   * @param toldShare of the fleet's budgets, from the start values; in force until there is a view
   * @param seed which voter is asked first, so that not all ask the same
   */
  public MembershipViewClient(
      ConsensusConfig terms, MembershipViewActions host, double toldShare, long seed) {
    this.terms = terms;
    this.host = host;
    this.shares = new FleetQuota(toldShare, terms.shareFor());
    this.share = toldShare;
    this.turn = (int) Math.floorMod(seed, (long) terms.voters().size());
  }

  /** This life begins, or a later one under which it speaks from now on. */
  public void start(Duration now, long life) {
    self = new Member(terms.self(), life, terms.zone(), terms.part());
    if (phase != Phase.LEAVING && phase != Phase.LEFT) {
      phase = view.has(self.name(), life) ? Phase.MEMBER : Phase.OUTSIDE;
      nextAsk = now;
      due(now);
    }
  }

  /**
   * It is to be none from now on; {@link MembershipViewActions#left} is told then, or when the time
   * for it is over.
   */
  public void leave(Duration now, Duration within) {
    if (phase == Phase.MEMBER || phase == Phase.OUTSIDE) {
      phase = Phase.LEAVING;
      leaveUntil = now.plus(within);
      nextAsk = now;
      due(now);
    } else if (phase == Phase.STARTING) {
      leftNow();
    }
  }

  /**
   * An operator has it be a member again, where it has left; its life is over by then, so it takes
   * a later one.
   */
  public void join(Duration now) {
    if (phase == Phase.LEAVING || phase == Phase.LEFT) {
      phase = Phase.OUTSIDE;
      nextAsk = now;
      due(now);
    }
  }

  // ---- What comes

  /** A view that the consensus has committed, from this gateway's own voter or by others. */
  public void heard(Duration now, MembershipView next) {
    if (next.number() == view.number() && !next.equals(view)) {
      host.torn(view, next);
    }
    if (next.number() <= view.number()) {
      return;
    }
    view = next;
    proofs.entrySet().removeIf(each -> !view.has(each.getKey(), each.getValue()));
    host.viewIs(view);
    boolean in = self != null && view.has(self.name(), self.life());
    if (phase == Phase.OUTSIDE && in) {
      phase = Phase.MEMBER;
    } else if (phase == Phase.MEMBER && !in) {
      phase = Phase.OUTSIDE;
    } else if (phase == Phase.LEAVING && !in) {
      leftNow();
    }
    if (phase == Phase.MEMBER && view.parts() > 0) {
      shares.known(now, Math.max(1, self.part()) / (double) Math.max(1, view.parts()));
    }
    wake(now);
  }

  /** A voter answered, with a view or without; it names the leader that it knows, or null. */
  public void told(Duration now, PeerName by) {
    answered = true;
    if (by != null) {
      leader = by;
      leaderAt = now;
    }
  }

  /** What became of a change; the verdict is null where that voter does not lead. */
  public void moved(Duration now, long number, ProposalResult verdict, PeerName by) {
    Proposal motion = asked.remove(number);
    if (motion == null) {
      return;
    }
    if (verdict == null) {
      told(now, by);
      if (by != null) {
        move(by, motion);
      }
      return;
    }
    if (operators.remove(motion)) {
      host.operatorTold(motion, verdict);
    }
    if (verdict == ProposalResult.ENDED
        && self != null
        && motion.kind() == Proposal.Kind.JOIN
        && motion.life() == self.life()
        && phase == Phase.OUTSIDE) {
      host.ended(self.life());
    } else if (motion.kind() == Proposal.Kind.LEAVE && phase == Phase.LEAVING) {
      leftNow();
    } else if (motion.kind() == Proposal.Kind.GONE && verdict != ProposalResult.DONE) {
      proofs.remove(motion.of(), motion.life());
    }
    nextAsk = now;
    wake(now);
  }

  /** There is proof that this life has ended. */
  public void gone(Duration now, PeerName name, long life) {
    if (view.has(name, life)) {
      proofs.put(name, life);
      nextAsk = now;
      wake(now);
    }
  }

  /**
   * An operator vouches that the one of this name does nothing more; asked for once, and told once.
   */
  public void forget(Duration now, PeerName name) {
    Proposal motion = Proposal.forget(name, terms.self(), view.number());
    operators.add(motion);
    move(voter(), motion);
  }

  // ---- What is due

  /** Does what is due by now, and asks to be called again. */
  public void due(Duration now) {
    if (phase == Phase.STARTING || phase == Phase.LEFT) {
      return;
    }
    if (phase == Phase.LEAVING && leaveUntil.compareTo(now) <= 0) {
      leftNow();
      return;
    }
    double next = shares.share(now);
    if (next != share) {
      share = next;
      host.setQuota(share);
    }
    if (nextAsk.compareTo(now) <= 0) {
      nextAsk = now.plus(terms.period());
      if (!answered) {
        turn = (turn + 1) % terms.voters().size();
      }
      answered = false;
      // What was asked a period ago and not answered is asked for again.
      asked.values().removeIf(motion -> !operators.contains(motion));
      host.ask(voter(), view.number());
      if (phase == Phase.OUTSIDE) {
        move(leaderOr(voter()), Proposal.join(self));
      } else if (phase == Phase.LEAVING) {
        move(leaderOr(voter()), Proposal.leave(self));
      }
      proofs.forEach(
          (name, life) -> move(leaderOr(voter()), Proposal.gone(name, life, terms.self())));
    }
    wake(now);
  }

  private void move(PeerName voter, Proposal motion) {
    asked.put(++numbers, motion);
    host.move(voter, numbers, motion);
  }

  private PeerName voter() {
    return terms.isVoter() ? terms.self() : terms.voters().get(turn);
  }

  /**
   * Whoever was said to lead, for as long as the last answer counts; it may be wrong, and is asked
   * again.
   */
  private PeerName leaderOr(PeerName other) {
    return leader != null && leaderAt.plus(terms.period().multipliedBy(2)).compareTo(nextAsk) > 0
        ? leader
        : other;
  }

  private void leftNow() {
    phase = Phase.LEFT;
    host.left();
  }

  private void wake(Duration now) {
    if (phase == Phase.STARTING || phase == Phase.LEFT) {
      return;
    }
    Duration next = nextAsk;
    Duration grows = shares.growsAt();
    next = grows != null && grows.compareTo(next) < 0 ? grows : next;
    next = phase == Phase.LEAVING && leaveUntil.compareTo(next) < 0 ? leaveUntil : next;
    next = shares.share(now) != share ? now : next;
    host.wakeAt(next.compareTo(now) > 0 ? next : now);
  }

  // ---- What is known

  public Phase phase() {
    return phase;
  }

  public MembershipView view() {
    return view;
  }

  /** The last one that was said to lead; null where none ever was. It may lead no more. */
  public PeerName leader() {
    return leader;
  }

  /** How long ago a voter last named a leader; null where none ever did. */
  public Duration leaderAge(Duration now) {
    return leaderAt == null ? null : now.minus(leaderAt);
  }

  public double share() {
    return share;
  }

  /** One line without an end. */
  public String describe(Duration now) {
    return "agreed view "
        + view.number()
        + " of "
        + view.members().size()
        + ", "
        + phase
        + ", "
        + (leaderAt == null
            ? "no leader heard of"
            : "leader " + leader + " as of " + now.minus(leaderAt).toMillis() + " ms ago")
        + ", share "
        + share;
  }
}
