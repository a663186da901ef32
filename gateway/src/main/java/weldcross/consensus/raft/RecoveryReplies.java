package weldcross.consensus.raft;

import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import weldcross.consensus.LogPosition;
import weldcross.consensus.VoterRecovery;
import weldcross.consensus.raft.AcknowledgementHistory.Acknowledgement;
import weldcross.consensus.wire.RecoveryReply;

/** Maps what a voter knows of another one to and from {@link RecoveryReply}. */
final class RecoveryReplies {

  /**
   * What a voter knows when it is asked.
   *
   * @param self its identity; empty while it has none
   * @param node its Raft node; empty while it has none
   * @param log its stored log
   * @param hasLog whether it has a log, and is not joining under a new identity
   * @param logUnusable whether it has lost a log
   * @param history what it has heard of other identities
   */
  record Knowledge(
      Optional<VoterId> self,
      Optional<RaftNode> node,
      VoterRecovery.LogSummary log,
      boolean hasLog,
      boolean logUnusable,
      AcknowledgementHistory history) {

    /** The members of the group, by the committed and by the latest entry that changes it. */
    private List<VoterId> groupMembers() {
      return node.stream()
          .flatMap(raft -> Stream.of(raft.getCommittedMembers(), raft.getEffectiveMembers()))
          .flatMap(group -> group.getMembers().stream())
          .map(VoterId.class::cast)
          .toList();
    }
  }

  private RecoveryReplies() {}

  /**
   * Answers a recovery query.
   *
   * @param identity that is asked about; empty where the asking voter has none
   */
  static RecoveryReply create(String identity, Knowledge knowledge) {
    Acknowledgement acknowledgement =
        identity.isEmpty() ? Acknowledgement.NONE : knowledge.history().of(VoterId.parse(identity));
    VoterRecovery.LogSummary log = knowledge.log();
    int nodeTerm = knowledge.node().map(raft -> raft.getTerm().getTerm()).orElse(0);
    return RecoveryReply.newBuilder()
        .setHasLog(knowledge.hasLog())
        .setIdentity(identity)
        .setTerm(Math.max(log.term(), nodeTerm))
        .setLastTerm(log.last().term())
        .setLastIndex(log.last().index())
        .setAcknowledgedTerm(acknowledgement.acknowledged().term())
        .setAcknowledgedIndex(acknowledgement.acknowledged().index())
        .setVotedTerm(acknowledgement.votedTerm())
        .setFounding(isFounding(knowledge))
        .setUnknownIdentity(isUnknown(identity, knowledge))
        .build();
  }

  private static boolean isFounding(Knowledge knowledge) {
    return !knowledge.logUnusable()
        && knowledge.self().stream().allMatch(VoterId::isFounder)
        && knowledge.history().hasOnlyFounders()
        && knowledge.groupMembers().stream().allMatch(VoterId::isFounder);
  }

  private static boolean isUnknown(String identity, Knowledge knowledge) {
    return knowledge.node().isPresent()
        && !identity.isEmpty()
        && knowledge.groupMembers().stream().map(RaftEndpoint::getId).noneMatch(identity::equals);
  }

  /** The reply as {@link VoterRecovery} takes it. */
  static VoterRecovery.Reply decode(RecoveryReply reply) {
    return new VoterRecovery.Reply(
        reply.getHasLog(),
        reply.getFounding(),
        reply.getUnknownIdentity(),
        reply.getTerm(),
        new LogPosition(reply.getLastTerm(), reply.getLastIndex()),
        new LogPosition(reply.getAcknowledgedTerm(), reply.getAcknowledgedIndex()),
        reply.getVotedTerm());
  }
}
