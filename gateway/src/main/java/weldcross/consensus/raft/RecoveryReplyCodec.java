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

/** Encodes and decodes replies to recovery queries. */
final class RecoveryReplyCodec {

  /**
   * State of the replying voter.
   *
   * @param self its identity; empty if it has none yet
   * @param node its Raft node; empty if none is running
   * @param log summary of its stored log, sent in any case
   * @param reportsLog whether it reports that it has a log: it has an identity and is not still
   *     joining under a new one, with a log that may be incomplete
   * @param logUnusable whether it has a stored log that it cannot use
   * @param history acknowledgements and votes that it has received from other identities
   */
  record LocalState(
      Optional<VoterId> self,
      Optional<RaftNode> node,
      VoterRecovery.LogSummary log,
      boolean reportsLog,
      boolean logUnusable,
      AcknowledgementHistory history) {

    /** Returns the members of the committed and of the latest, possibly uncommitted, group. */
    private List<VoterId> groupMembers() {
      return node.stream()
          .flatMap(raft -> Stream.of(raft.getCommittedMembers(), raft.getEffectiveMembers()))
          .flatMap(group -> group.getMembers().stream())
          .map(VoterId.class::cast)
          .toList();
    }
  }

  private RecoveryReplyCodec() {}

  /**
   * Encodes the reply to a recovery query.
   *
   * @param identity identity of the querying voter; empty if it has none
   */
  static RecoveryReply encode(String identity, LocalState state) {
    Acknowledgement acknowledgement =
        identity.isEmpty() ? Acknowledgement.NONE : state.history().get(VoterId.parse(identity));
    VoterRecovery.LogSummary log = state.log();
    int nodeTerm = state.node().map(raft -> raft.getTerm().getTerm()).orElse(0);
    return RecoveryReply.newBuilder()
        .setHasLog(state.reportsLog())
        .setIdentity(identity)
        .setTerm(Math.max(log.term(), nodeTerm))
        .setLastTerm(log.last().term())
        .setLastIndex(log.last().index())
        .setAcknowledgedTerm(acknowledgement.acknowledged().term())
        .setAcknowledgedIndex(acknowledgement.acknowledged().index())
        .setVotedTerm(acknowledgement.votedTerm())
        .setFounding(knowsOnlyFounders(state))
        .setUnknownIdentity(isUnknownIdentity(identity, state))
        .build();
  }

  /**
   * Returns whether, to its knowledge, no voter has changed its identity or lost its log: its own
   * log is usable, and it knows only identities of founders.
   */
  private static boolean knowsOnlyFounders(LocalState state) {
    return !state.logUnusable()
        && state.self().stream().allMatch(VoterId::isFounder)
        && state.history().hasOnlyFounders()
        && state.groupMembers().stream().allMatch(VoterId::isFounder);
  }

  private static boolean isUnknownIdentity(String identity, LocalState state) {
    return state.node().isPresent()
        && !identity.isEmpty()
        && state.groupMembers().stream().map(RaftEndpoint::getId).noneMatch(identity::equals);
  }

  /** Decodes a reply for {@link VoterRecovery}. */
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
