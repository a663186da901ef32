package weldcross.consensus.raft;

import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import weldcross.consensus.LogPosition;

/** Keeps a voter whose log may lack entries from electing a leader that lacks them too. */
final class ElectionFilter {

  private ElectionFilter() {}

  /**
   * Whether a message would have such a voter elect a candidate, or itself, that may lack entries
   * which the voter helped to commit.
   *
   * @param target the position that a complete log reaches
   */
  static boolean mayElectIncompleteLog(RaftMessage message, LogPosition target) {
    if (message instanceof VoteRequest request) {
      return new LogPosition(request.getLastLogTerm(), request.getLastLogIndex()).isBefore(target);
    }
    if (message instanceof PreVoteRequest request) {
      return new LogPosition(request.getLastLogTerm(), request.getLastLogIndex()).isBefore(target);
    }
    return message instanceof TriggerLeaderElectionRequest;
  }
}
