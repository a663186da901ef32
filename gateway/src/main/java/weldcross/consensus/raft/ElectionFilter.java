package weldcross.consensus.raft;

import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import weldcross.consensus.LogPosition;

/** Prevents a voter whose log may lack entries from electing a leader that lacks them as well. */
final class ElectionFilter {

  private ElectionFilter() {}

  /**
   * Returns whether handling a message could make such a voter elect a candidate, or itself, that
   * lacks entries which the voter helped to commit.
   *
   * @param target position that a complete log reaches
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
