package weldcross.consensus;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * Follows the membership view on one gateway, voter or not, and proposes that gateway's changes: to
 * join, to leave, and that a dead member is removed.
 *
 * <p>Views are accepted in any order and from any gateway that has them from the consensus; only a
 * later one replaces the known one, so numbers never go back within one process. Nothing here waits
 * for the consensus: without it the last view stays in force. Pure; called on the gateway's event
 * loop.
 */
public final class MembershipViewClient {

  /** The phases of one gateway's membership. */
  public enum Phase {
    /** The incarnation of this process is not yet known. */
    STARTING,
    /** This incarnation is not a member, and proposes to join. */
    OUTSIDE,
    /** This incarnation is a member. */
    MEMBER,
    /** This incarnation proposes to leave. */
    LEAVING,
    /** This gateway has left, or has given up on being removed. */
    LEFT
  }

  /** A named leader is asked for this many request periods. */
  private static final int LEADER_HINT_PERIODS = 2;

  private final ConsensusConfig config;
  private final MembershipViewActions actions;
  private final FleetQuota quota;
  private final ProposalTracker proposals = new ProposalTracker();
  private final LeaderHint leaderHint = new LeaderHint();

  /** Incarnations that are proven dead and still members, by name. */
  private final Map<PeerName, Long> deadMembers = new TreeMap<>();

  private Phase phase = Phase.STARTING;
  private MembershipView view = MembershipView.NONE;
  private Member self;
  private Duration nextRequestAt = Duration.ZERO;
  private Duration leaveDeadline;
  private boolean answered;
  private int voterIndex;
  private double share;

  /**
   * Creates a client that knows no view.
   *
   * @param configuredShare of the fleet's budgets, in force until there is a view
   * @param seed chooses which voter is asked first, so that not all gateways ask the same
   */
  public MembershipViewClient(
      ConsensusConfig config, MembershipViewActions actions, double configuredShare, long seed) {
    this.config = config;
    this.actions = actions;
    this.quota = new FleetQuota(configuredShare, config.quotaGrowthDelay());
    this.share = configuredShare;
    this.voterIndex = (int) Math.floorMod(seed, (long) config.voters().size());
  }

  /** The first incarnation of this process begins, or a later one replaces it. */
  public void start(Duration now, long incarnation) {
    self = new Member(config.self(), incarnation, config.zone(), config.weight());
    if (phase != Phase.LEAVING && phase != Phase.LEFT) {
      phase = view.contains(self.name(), incarnation) ? Phase.MEMBER : Phase.OUTSIDE;
      requestNow(now);
    }
  }

  /**
   * Leaves the view; {@link MembershipViewActions#left} is called once that is done, or when the
   * timeout has passed.
   */
  public void leave(Duration now, Duration timeout) {
    if (phase == Phase.MEMBER || phase == Phase.OUTSIDE) {
      phase = Phase.LEAVING;
      leaveDeadline = now.plus(timeout);
      requestNow(now);
    } else if (phase == Phase.STARTING) {
      setLeft();
    }
  }

  /** Joins again after leaving; as its incarnation has ended, it does so under a later one. */
  public void join(Duration now) {
    if (phase == Phase.LEAVING || phase == Phase.LEFT) {
      phase = Phase.OUTSIDE;
      requestNow(now);
    }
  }

  private void requestNow(Duration now) {
    nextRequestAt = now;
    onTimer(now);
  }

  /** A committed view was received, from this gateway's own voter or from another gateway. */
  public void viewReceived(Duration now, MembershipView received) {
    if (received.number() == view.number() && !received.equals(view)) {
      actions.conflictingViews(view, received);
    }
    if (received.number() <= view.number()) {
      return;
    }
    view = received;
    deadMembers.entrySet().removeIf(dead -> !view.contains(dead.getKey(), dead.getValue()));
    actions.viewChanged(view);
    updatePhase();
    if (phase == Phase.MEMBER && view.totalWeight() > 0) {
      quota.update(now, Math.max(1, self.weight()) / (double) Math.max(1, view.totalWeight()));
    }
    scheduleTimer(now);
  }

  private void updatePhase() {
    boolean isMember = self != null && view.contains(self.name(), self.incarnation());
    if (phase == Phase.OUTSIDE && isMember) {
      phase = Phase.MEMBER;
    } else if (phase == Phase.MEMBER && !isMember) {
      phase = Phase.OUTSIDE;
    } else if (phase == Phase.LEAVING && !isMember) {
      setLeft();
    }
  }

  /**
   * A voter answered, with a view or without.
   *
   * @param leader the leader that it names, if any
   */
  public void voterAnswered(Duration now, Optional<PeerName> leader) {
    answered = true;
    leader.ifPresent(named -> leaderHint.update(now, named));
  }

  /** A voter answered a proposal; a number that is not pending is ignored. */
  public void proposalAnswered(Duration now, long number, ProposalOutcome outcome) {
    Optional<Proposal> proposal = proposals.take(number);
    if (proposal.isEmpty()) {
      return;
    }
    if (outcome instanceof ProposalOutcome.Committed committed) {
      proposalCommitted(now, proposal.get(), committed.result());
    } else {
      voterAnswered(now, outcome.leader());
      outcome.leader().ifPresent(leader -> propose(leader, proposal.get()));
    }
  }

  private void proposalCommitted(Duration now, Proposal proposal, ProposalResult result) {
    if (proposals.completeOperatorProposal(proposal)) {
      actions.operatorProposalDecided(proposal, result);
    }
    if (result == ProposalResult.INCARNATION_ENDED
        && self != null
        && proposal.kind() == Proposal.Kind.JOIN
        && proposal.incarnation() == self.incarnation()
        && phase == Phase.OUTSIDE) {
      actions.incarnationEnded(self.incarnation());
    } else if (proposal.kind() == Proposal.Kind.LEAVE && phase == Phase.LEAVING) {
      setLeft();
    } else if (proposal.kind() == Proposal.Kind.DEAD && result != ProposalResult.APPLIED) {
      deadMembers.remove(proposal.member(), proposal.incarnation());
    }
    nextRequestAt = now;
    scheduleTimer(now);
  }

  /** There is proof that this incarnation has ended; it is proposed until a view is without it. */
  public void memberDied(Duration now, PeerName name, long incarnation) {
    if (view.contains(name, incarnation)) {
      deadMembers.put(name, incarnation);
      nextRequestAt = now;
      scheduleTimer(now);
    }
  }

  /**
   * An operator vouches that the member of this name has ended. Proposed once, and answered at most
   * once by {@link MembershipViewActions#operatorProposalDecided}.
   */
  public void forget(Duration now, PeerName name) {
    Proposal proposal = Proposal.forget(name, config.self(), view.number());
    proposals.addOperatorProposal(proposal);
    propose(voter(), proposal);
  }

  /** Does what is due by now, and schedules the next call. */
  public void onTimer(Duration now) {
    if (phase == Phase.STARTING || phase == Phase.LEFT) {
      return;
    }
    if (phase == Phase.LEAVING && leaveDeadline.compareTo(now) <= 0) {
      setLeft();
      return;
    }
    double nextShare = quota.share(now);
    if (nextShare != share) {
      share = nextShare;
      actions.setQuota(share);
    }
    if (nextRequestAt.compareTo(now) <= 0) {
      sendRequests(now);
    }
    scheduleTimer(now);
  }

  private void sendRequests(Duration now) {
    nextRequestAt = now.plus(config.requestPeriod());
    if (!answered) {
      voterIndex = (voterIndex + 1) % config.voters().size();
    }
    answered = false;
    proposals.dropRepeated();
    actions.requestView(voter(), view.number());
    if (phase == Phase.OUTSIDE) {
      propose(leaderOrVoter(), Proposal.join(self));
    } else if (phase == Phase.LEAVING) {
      propose(leaderOrVoter(), Proposal.leave(self));
    }
    deadMembers.forEach(
        (name, incarnation) ->
            propose(leaderOrVoter(), Proposal.dead(name, incarnation, config.self())));
  }

  private void propose(PeerName voter, Proposal proposal) {
    actions.propose(voter, proposals.register(proposal), proposal);
  }

  private PeerName voter() {
    return config.isVoter() ? config.self() : config.voters().get(voterIndex);
  }

  /** A wrong hint costs one answer, which names the leader or sends the request elsewhere. */
  private PeerName leaderOrVoter() {
    Duration maxAge = config.requestPeriod().multipliedBy(LEADER_HINT_PERIODS);
    return leaderHint.freshAt(nextRequestAt, maxAge).orElseGet(this::voter);
  }

  private void setLeft() {
    phase = Phase.LEFT;
    actions.left();
  }

  private void scheduleTimer(Duration now) {
    if (phase == Phase.STARTING || phase == Phase.LEFT) {
      return;
    }
    Duration next = nextRequestAt;
    next = earlier(next, quota.nextGrowthAt().orElse(next));
    next = phase == Phase.LEAVING ? earlier(next, leaveDeadline) : next;
    next = quota.share(now) != share ? now : next;
    actions.wakeAt(next.compareTo(now) > 0 ? next : now);
  }

  private static Duration earlier(Duration one, Duration other) {
    return other.compareTo(one) < 0 ? other : one;
  }

  /** The phase of this gateway's membership. */
  public Phase phase() {
    return phase;
  }

  /** The latest known view; {@link MembershipView#NONE} before any. */
  public MembershipView view() {
    return view;
  }

  /** The leader that a voter named last; empty where none ever was. It may lead no more. */
  public Optional<PeerName> leader() {
    return leaderHint.leader();
  }

  /** How long ago a voter last named a leader; empty where none ever did. */
  public Optional<Duration> leaderAge(Duration now) {
    return leaderHint.age(now);
  }

  /** This gateway's share of the fleet's budgets, above 0 and at most 1. */
  public double share() {
    return share;
  }

  /** One line for the log, without a line end. */
  public String describe(Duration now) {
    return "view="
        + view.number()
        + " members="
        + view.members().size()
        + " phase="
        + phase
        + " leader="
        + leader().map(PeerName::name).orElse("none")
        + leaderAge(now).map(age -> " leaderAgeMs=" + age.toMillis()).orElse("")
        + " share="
        + share;
  }
}
