package weldcross.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The proposals that a gateway has sent and not yet heard of, by number. Pure. */
final class ProposalTracker {

  private final Map<Long, Proposal> pending = new TreeMap<>();
  private final List<Proposal> operatorProposals = new ArrayList<>();
  private long lastNumber;

  /** Marks a proposal as an operator's, who is answered once. */
  void addOperatorProposal(Proposal proposal) {
    operatorProposals.add(proposal);
  }

  /** Registers a proposal that is sent, and returns its number. */
  long register(Proposal proposal) {
    pending.put(++lastNumber, proposal);
    return lastNumber;
  }

  /** Removes the proposal of this number; empty where it is not pending, or not any more. */
  Optional<Proposal> take(long number) {
    return Optional.ofNullable(pending.remove(number));
  }

  /** Whether an operator waits for this proposal, who then does so no more. */
  boolean completeOperatorProposal(Proposal proposal) {
    return operatorProposals.remove(proposal);
  }

  /** Drops all that are proposed again each period; an operator's proposal is sent once. */
  void dropRepeated() {
    pending.values().removeIf(proposal -> !operatorProposals.contains(proposal));
  }
}
