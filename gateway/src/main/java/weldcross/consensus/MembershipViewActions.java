package weldcross.consensus;

import java.time.Duration;
import weldcross.mesh.PeerName;

/** What a {@link MembershipViewClient} has done outside; any message to a voter may be lost. */
public interface MembershipViewActions {

  /**
   * Requests the view if it is later than the known one.
   *
   * @param voter may be this gateway itself
   * @param knownNumber number of the known view
   */
  void requestView(PeerName voter, long knownNumber);

  /**
   * Proposes a change.
   *
   * @param voter may be this gateway itself
   * @param number by which {@link MembershipViewClient#proposalAnswered} is called if an answer
   *     comes
   */
  void propose(PeerName voter, long number, Proposal proposal);

  /** A later view is in force on this gateway. */
  void viewChanged(MembershipView view);

  /**
   * This gateway's share of the fleet's budgets has changed.
   *
   * @param share above 0 and at most 1
   */
  void setQuota(double share);

  /** This incarnation is no member any more and cannot become one; only a later one can. */
  void incarnationEnded(long incarnation);

  /** An operator's proposal was committed. */
  void operatorProposalDecided(Proposal proposal, ProposalResult result);

  /** This gateway has left the view, or the time for leaving is over. */
  void left();

  /**
   * Two views have the same number: a majority of the voters has lost stored data.
   *
   * @param held the view that stays in force here
   * @param other the view that was received
   */
  void conflictingViews(MembershipView held, MembershipView other);

  /** Schedules {@link MembershipViewClient#onTimer}; the last call replaces those before. */
  void wakeAt(Duration when);
}
