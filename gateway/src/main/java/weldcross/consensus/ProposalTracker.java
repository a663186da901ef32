package weldcross.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** A gateway's proposals that await a reply, by number. Performs no I/O. */
final class ProposalTracker {

  private final Map<Long, Proposal> pending = new TreeMap<>();
  private final List<Proposal> operatorProposals = new ArrayList<>();
  private long lastNumber;

  /** Marks a proposal as an operator's, whose result is reported once. */
  void addOperatorProposal(Proposal proposal) {
    operatorProposals.add(proposal);
  }

  /** Registers a proposal that is being sent and returns its number. */
  long register(Proposal proposal) {
    pending.put(++lastNumber, proposal);
    return lastNumber;
  }

  /** Removes and returns the proposal with this number; empty if it is not pending. */
  Optional<Proposal> remove(long number) {
    return Optional.ofNullable(pending.remove(number));
  }

  /** Returns whether this was an operator's proposal awaiting its result, and unmarks it. */
  boolean completeOperatorProposal(Proposal proposal) {
    return operatorProposals.remove(proposal);
  }

  /** Removes the proposals that are retried each period; an operator's proposal is sent once. */
  void removeRetried() {
    pending.values().removeIf(proposal -> !operatorProposals.contains(proposal));
  }
}
