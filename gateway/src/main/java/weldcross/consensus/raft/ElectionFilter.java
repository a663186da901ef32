package weldcross.consensus.raft;

import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import weldcross.consensus.LogPosition;
import weldcross.consensus.VoterRecovery;

/**
 * Finds the messages that a voter must not handle while its log may lack entries, because it could
 * elect a leader that lacks them as well.
 */
final class ElectionFilter {

  private ElectionFilter() {}

  /**
   * Returns whether a message could lead to the election of a leader that lacks entries which this
   * voter helped to commit. That is a vote request or pre-vote request of a candidate whose log
   * ends before the target, and any request that this voter itself start an election.
   *
   * @param target position that this voter's log must reach before it votes, as determined by
   *     {@link VoterRecovery#target}
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
