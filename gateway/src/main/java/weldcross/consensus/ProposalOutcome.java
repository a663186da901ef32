package weldcross.consensus;

import java.util.Optional;
import weldcross.mesh.PeerName;

/** A voter's reply to a proposal. */
public sealed interface ProposalOutcome {

  /** Returns the leader known to the replying voter; empty if it knows none. */
  Optional<PeerName> leader();

  /**
   * The proposal was committed.
   *
   * @param result result of applying the proposal
   * @param leader leader known to the replying voter
   */
  record Committed(ProposalResult result, Optional<PeerName> leader) implements ProposalOutcome {}

  /**
   * The replying voter is not the leader and has ignored the proposal.
   *
   * @param leader leader known to the replying voter
   */
  record NotLeader(Optional<PeerName> leader) implements ProposalOutcome {}
}
