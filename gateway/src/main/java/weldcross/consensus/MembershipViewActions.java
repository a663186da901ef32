package weldcross.consensus;

import java.time.Duration;
import weldcross.mesh.PeerName;

/** Side effects of a {@link MembershipViewClient}; any message to a voter may be lost. */
public interface MembershipViewActions {

  /**
   * Requests the latest view from a voter, which sends it if it is newer than the known one.
   *
   * @param voter voter to query; may be this gateway
   * @param knownNumber number of the latest known view
   */
  void requestView(PeerName voter, long knownNumber);

  /**
   * Sends a proposal to a voter.
   *
   * @param voter recipient; may be this gateway
   * @param number identifies the proposal in the call of {@link
   *     MembershipViewClient#proposalAnswered} if a reply arrives
   */
  void propose(PeerName voter, long number, Proposal proposal);

  /** Reports that a newer view is in force on this gateway. */
  void viewChanged(MembershipView view);

  /**
   * Applies a changed share of this gateway in the work of the whole fleet.
   *
   * @param share greater than 0 and at most 1
   */
  void setQuota(double share);

  /** Reports that this incarnation has ended; the gateway can join only under a later one. */
  void incarnationEnded(long incarnation);

  /** Reports the result of an operator's proposal that was committed. */
  void operatorProposalDecided(Proposal proposal, ProposalResult result);

  /**
   * Reports that leaving has ended: this gateway has been removed from the view, or the timeout has
   * expired and the view may still contain it. In both cases it sends no more periodic requests
   * until {@link MembershipViewClient#join}.
   */
  void left();

  /**
   * Reports two different views with the same number, which means that a majority of the voters has
   * lost stored data.
   *
   * @param current view that stays in force on this gateway
   * @param received conflicting view
   */
  void conflictingViews(MembershipView current, MembershipView received);

  /** Schedules {@link MembershipViewClient#onTimer}, replacing any earlier schedule. */
  void wakeAt(Duration when);
}
