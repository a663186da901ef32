package weldcross.consensus;

import java.time.Duration;
import weldcross.mesh.PeerName;

/** What {@link MembershipViewClient} can do to the world; what is sent to a voter may be lost. */
public interface MembershipViewActions {

  /**
   * Asks for the view if it is later than the one of this number; to this gateway itself where it
   * is a voter.
   */
  void ask(PeerName voter, long have);

  /** Asks for a change; what became of it is told under the number, or is never told. */
  void move(PeerName voter, long number, Proposal motion);

  /** From now on this view counts here. */
  void viewIs(MembershipView view);

  /**
   * The fleet's budgets are to be divided so that this gateway has this share, above 0 and at most
   * 1.
   */
  void setQuota(double share);

  /** This life is no member any more and cannot be again: only a later life can. */
  void ended(long life);

  /** What became of a change that an operator asked for. */
  void operatorTold(Proposal motion, ProposalResult verdict);

  /** Whether this gateway has left, so that nothing of it has to be waited for. */
  void left();

  /**
   * Two views of one number: more disks of voters than may be lost have lost what they said was
   * kept.
   */
  void torn(MembershipView held, MembershipView other);

  /** Asks for {@link MembershipViewClient#due} then; only the time asked for last counts. */
  void wakeAt(Duration when);
}
