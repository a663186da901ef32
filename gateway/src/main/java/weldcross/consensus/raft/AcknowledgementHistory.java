package weldcross.consensus.raft;

import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongToIntFunction;
import weldcross.consensus.LogPosition;

/**
 * Records the log entries that each voter identity has acknowledged to this voter, and the terms in
 * which it voted for this voter, during this process. Enables a voter that lost part of its log to
 * detect the loss. Performs no I/O.
 */
final class AcknowledgementHistory {

  /**
   * Acknowledgements and votes of one identity.
   *
   * @param acknowledged last log entry that it acknowledged
   * @param votedTerm highest term in which it granted its vote; zero if it never did
   */
  record Acknowledgement(LogPosition acknowledged, int votedTerm) {

    static final Acknowledgement NONE = new Acknowledgement(LogPosition.NONE, 0);

    private Acknowledgement withEntry(LogPosition entry) {
      return acknowledged.isBefore(entry) ? new Acknowledgement(entry, votedTerm) : this;
    }

    private Acknowledgement withVote(int term) {
      return new Acknowledgement(acknowledged, Math.max(votedTerm, term));
    }
  }

  private final Map<VoterId, Acknowledgement> byIdentity = new HashMap<>();

  /**
   * Records the acknowledgement or vote in a received message.
   *
   * @param termAt returns the term of the entry at an index of this voter's log
   */
  void record(RaftMessage message, LongToIntFunction termAt) {
    VoterId sender = (VoterId) message.getSender();
    Acknowledgement known = get(sender);
    if (message instanceof AppendEntriesSuccessResponse response) {
      long index = response.getLastLogIndex();
      known = known.withEntry(new LogPosition(termAt.applyAsInt(index), index));
    } else if (message instanceof VoteResponse response && response.isGranted()) {
      known = known.withVote(response.getTerm());
    }
    byIdentity.put(sender, known);
  }

  /**
   * Returns the acknowledgements and votes of an identity; {@link Acknowledgement#NONE} if it has
   * sent no message.
   */
  Acknowledgement get(VoterId identity) {
    return byIdentity.getOrDefault(identity, Acknowledgement.NONE);
  }

  /** Returns whether all messages came from founder identities. */
  boolean hasOnlyFounders() {
    return byIdentity.keySet().stream().allMatch(VoterId::isFounder);
  }
}
