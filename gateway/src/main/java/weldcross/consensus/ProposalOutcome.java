package weldcross.consensus;

import java.util.Optional;
import weldcross.mesh.PeerName;

/** A voter's answer to a proposal. */
public sealed interface ProposalOutcome {

  /** The leader as far as the answering voter knows; empty where it knows none. */
  Optional<PeerName> leader();

  /**
   * The proposal was committed.
   *
   * @param result what became of it
   * @param leader as far as the answering voter knows
   */
  record Committed(ProposalResult result, Optional<PeerName> leader) implements ProposalOutcome {}

  /**
   * The answering voter does not lead, so nothing became of the proposal.
   *
   * @param leader as far as the answering voter knows
   */
  record NotLeader(Optional<PeerName> leader) implements ProposalOutcome {}
}
