package weldcross.consensus;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * Tracks the membership view on one gateway, voter or not, and proposes this gateway's changes:
 * joining, leaving and the removal of dead members.
 *
 * <p>Committed views may arrive in any order and from any gateway; only a view with a higher number
 * replaces the current one, so view numbers never decrease within one process. Nothing blocks on
 * consensus: while the voters are unavailable, the last view stays in force. Performs no I/O and
 * reads no clock; called on the gateway's event loop.
 */
public final class MembershipViewClient {

  /** Phases of this gateway's membership. */
  public enum Phase {
    /** The incarnation of this process is not known yet. */
    STARTING,
    /** This incarnation is not a member and proposes to join. */
    OUTSIDE,
    /** This incarnation is a member. */
    MEMBER,
    /** This incarnation proposes to leave. */
    LEAVING,
    /** This gateway has left, or waiting for its removal has timed out. */
    LEFT
  }

  /** Number of request periods for which proposals are sent to the hinted leader. */
  private static final int LEADER_HINT_PERIODS = 2;

  private final ConsensusConfig config;
  private final MembershipViewActions actions;
  private final FleetQuota quota;
  private final ProposalTracker proposals = new ProposalTracker();
  private final LeaderHint leaderHint = new LeaderHint();

  /** Confirmed dead incarnations that are still members, by name. */
  private final Map<PeerName, Long> deadMembers = new TreeMap<>();

  private Phase phase = Phase.STARTING;
  private MembershipView view = MembershipView.NONE;
  private Member self;
  private Duration nextRequestAt = Duration.ZERO;
  private Duration leaveDeadline;
  private boolean replyReceived;
  private int voterIndex;
  private double share;

  /**
   * Creates a client without a view.
   *
   * @param configuredShare share of the fleet's budgets, in force until a view is received
   * @param seed selects the voter to query first, so that gateways spread their queries
   */
  public MembershipViewClient(
      ConsensusConfig config, MembershipViewActions actions, double configuredShare, long seed) {
    this.config = config;
    this.actions = actions;
    this.quota = new FleetQuota(configuredShare, config.quotaGrowthDelay());
    this.share = configuredShare;
    this.voterIndex = (int) Math.floorMod(seed, (long) config.voters().size());
  }

  /** Starts the first incarnation of this process, or replaces the previous incarnation. */
  public void start(Duration now, long incarnation) {
    self = new Member(config.self(), incarnation, config.zone(), config.weight());
    if (phase != Phase.LEAVING && phase != Phase.LEFT) {
      phase = view.contains(self.name(), incarnation) ? Phase.MEMBER : Phase.OUTSIDE;
      requestNow(now);
    }
  }

  /**
   * Leaves the view; {@link MembershipViewActions#left} is called once the gateway has been removed
   * or the timeout has expired.
   */
  public void leave(Duration now, Duration timeout) {
    if (phase == Phase.MEMBER || phase == Phase.OUTSIDE) {
      phase = Phase.LEAVING;
      leaveDeadline = now.plus(timeout);
      requestNow(now);
    } else if (phase == Phase.STARTING) {
      markLeft();
    }
  }

  /** Rejoins after leaving; if the incarnation has ended, a later one joins. */
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

  /** Handles a committed view from the local voter or from another gateway. */
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
      markLeft();
    }
  }

  /**
   * Handles any reply of a voter, with or without a view.
   *
   * @param leader leader known to the voter, if any
   */
  public void voterAnswered(Duration now, Optional<PeerName> leader) {
    replyReceived = true;
    leader.ifPresent(known -> leaderHint.update(now, known));
  }

  /** Handles a voter's reply to a proposal; replies to unknown proposals are ignored. */
  public void proposalAnswered(Duration now, long number, ProposalOutcome outcome) {
    Optional<Proposal> proposal = proposals.remove(number);
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
      markLeft();
    } else if (proposal.kind() == Proposal.Kind.DEAD && result != ProposalResult.APPLIED) {
      deadMembers.remove(proposal.member(), proposal.incarnation());
    }
    nextRequestAt = now;
    scheduleTimer(now);
  }

  /** Proposes to remove a confirmed dead incarnation, until a view no longer contains it. */
  public void memberDied(Duration now, PeerName name, long incarnation) {
    if (view.contains(name, incarnation)) {
      deadMembers.put(name, incarnation);
      nextRequestAt = now;
      scheduleTimer(now);
    }
  }

  /**
   * Proposes to remove a member on behalf of an operator, who has confirmed that it has ended. The
   * proposal is sent once; its result is reported at most once, through {@link
   * MembershipViewActions#operatorProposalDecided}.
   */
  public void forget(Duration now, PeerName name) {
    Proposal proposal = Proposal.forget(name, config.self(), view.number());
    proposals.addOperatorProposal(proposal);
    propose(queriedVoter(), proposal);
  }

  /** Performs all actions that are due and schedules the next call. */
  public void onTimer(Duration now) {
    if (phase == Phase.STARTING || phase == Phase.LEFT) {
      return;
    }
    if (phase == Phase.LEAVING && leaveDeadline.compareTo(now) <= 0) {
      markLeft();
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
    if (!replyReceived) {
      voterIndex = (voterIndex + 1) % config.voters().size();
    }
    replyReceived = false;
    proposals.removeRetried();
    actions.requestView(queriedVoter(), view.number());
    if (phase == Phase.OUTSIDE) {
      propose(proposalTarget(), Proposal.join(self));
    } else if (phase == Phase.LEAVING) {
      propose(proposalTarget(), Proposal.leave(self));
    }
    deadMembers.forEach(
        (name, incarnation) ->
            propose(proposalTarget(), Proposal.dead(name, incarnation, config.self())));
  }

  private void propose(PeerName voter, Proposal proposal) {
    actions.propose(voter, proposals.register(proposal), proposal);
  }

  private PeerName queriedVoter() {
    return config.isVoter() ? config.self() : config.voters().get(voterIndex);
  }

  /** Returns the hinted leader, or else the queried voter; a wrong target replies with a hint. */
  private PeerName proposalTarget() {
    Duration maxAge = config.requestPeriod().multipliedBy(LEADER_HINT_PERIODS);
    return leaderHint.leaderIfFresh(nextRequestAt, maxAge).orElseGet(this::queriedVoter);
  }

  private void markLeft() {
    phase = Phase.LEFT;
    actions.left();
  }

  private void scheduleTimer(Duration now) {
    if (phase == Phase.STARTING || phase == Phase.LEFT) {
      return;
    }
    Duration next = nextRequestAt;
    next = min(next, quota.nextGrowthAt().orElse(next));
    next = phase == Phase.LEAVING ? min(next, leaveDeadline) : next;
    next = quota.share(now) != share ? now : next;
    actions.wakeAt(next.compareTo(now) > 0 ? next : now);
  }

  private static Duration min(Duration first, Duration second) {
    return second.compareTo(first) < 0 ? second : first;
  }

  /** Returns the phase of this gateway's membership. */
  public Phase phase() {
    return phase;
  }

  /** Returns the current view; {@link MembershipView#NONE} before the first one is received. */
  public MembershipView view() {
    return view;
  }

  /** Returns the latest known leader, which may be outdated; empty if none is known. */
  public Optional<PeerName> leader() {
    return leaderHint.leader();
  }

  /** Returns the time since a voter last named a leader; empty if none has. */
  public Optional<Duration> leaderAge(Duration now) {
    return leaderHint.age(now);
  }

  /** Returns this gateway's share of the fleet's budgets, greater than 0 and at most 1. */
  public double share() {
    return share;
  }

  /** Returns a one-line summary for the log. */
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
