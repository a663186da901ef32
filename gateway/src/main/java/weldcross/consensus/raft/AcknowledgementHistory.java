package weldcross.consensus.raft;

import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongToIntFunction;
import weldcross.consensus.LogPosition;

/**
 * What each identity has acknowledged and voted for to this voter, as far as this process has heard
 * it. It shows a voter that lost part of its log what it has lost. Pure.
 */
final class AcknowledgementHistory {

  /**
   * What one identity has acknowledged and voted for.
   *
   * @param acknowledged the last log entry that it acknowledged
   * @param votedTerm the highest term in which it granted its vote; zero where it never did
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
   * Takes note of a received message.
   *
   * @param termAt gives the term of an entry of this voter's log by its index
   */
  void record(RaftMessage message, LongToIntFunction termAt) {
    VoterId sender = (VoterId) message.getSender();
    Acknowledgement known = of(sender);
    if (message instanceof AppendEntriesSuccessResponse response) {
      long index = response.getLastLogIndex();
      known = known.withEntry(new LogPosition(termAt.applyAsInt(index), index));
    } else if (message instanceof VoteResponse response && response.isGranted()) {
      known = known.withVote(response.getTerm());
    }
    byIdentity.put(sender, known);
  }

  /**
   * What an identity has acknowledged and voted for; {@link Acknowledgement#NONE} where it was
   * never heard.
   */
  Acknowledgement of(VoterId identity) {
    return byIdentity.getOrDefault(identity, Acknowledgement.NONE);
  }

  /** Whether all identities that were heard are those of founders. */
  boolean hasOnlyFounders() {
    return byIdentity.keySet().stream().allMatch(VoterId::isFounder);
  }
}
