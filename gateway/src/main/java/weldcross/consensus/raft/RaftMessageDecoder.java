package weldcross.consensus.raft;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.RaftMessage;
import java.util.List;
import java.util.Optional;
import weldcross.consensus.wire.RaftEnvelope;

/** Converts protobuf messages to messages of the Raft library. */
final class RaftMessageDecoder {

  private final RaftEnvelope envelope;
  private final String groupId;
  private final RaftEndpoint sender;

  private RaftMessageDecoder(RaftEnvelope envelope, String groupId) {
    this.envelope = envelope;
    this.groupId = groupId;
    this.sender = VoterId.parse(envelope.getSender());
  }

  /**
   * Decodes an envelope.
   *
   * @param groupId id of this voter's group, which envelopes do not contain
   * @return the message; empty if this version does not know its kind
   */
  static Optional<RaftMessage> decode(RaftEnvelope envelope, String groupId) {
    RaftMessageDecoder decoder = new RaftMessageDecoder(envelope, groupId);
    return RaftMessageKind.fromWireName(envelope.getKind()).map(decoder::decode);
  }

  private RaftMessage decode(RaftMessageKind kind) {
    return switch (kind) {
      case APPEND_ENTRIES -> appendEntries();
      case APPEND_ENTRIES_SUCCESS -> appendEntriesSuccess();
      case APPEND_ENTRIES_FAILURE -> appendEntriesFailure();
      case INSTALL_SNAPSHOT -> installSnapshot();
      case INSTALL_SNAPSHOT_RESPONSE -> installSnapshotResponse();
      case PRE_VOTE -> preVote();
      case PRE_VOTE_RESPONSE -> preVoteResponse();
      case VOTE -> vote();
      case VOTE_RESPONSE -> voteResponse();
      case TRIGGER_LEADER_ELECTION -> triggerLeaderElection();
    };
  }

  private RaftMessage appendEntries() {
    List<LogEntry> entries =
        envelope.getEntriesList().stream().map(RaftRecordCodec::decodeEntry).toList();
    return RaftRecordCodec.MODEL_FACTORY
        .createAppendEntriesRequestBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(envelope.getTerm())
        .setPreviousLogTerm(envelope.getLogTerm())
        .setPreviousLogIndex(envelope.getLogIndex())
        .setCommitIndex(envelope.getCommitIndex())
        .setLogEntries(entries)
        .setQuerySequenceNumber(envelope.getQueryNumber())
        .setFlowControlSequenceNumber(envelope.getFlowControlNumber())
        .build();
  }

  private RaftMessage appendEntriesSuccess() {
    return RaftRecordCodec.MODEL_FACTORY
        .createAppendEntriesSuccessResponseBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(envelope.getTerm())
        .setLastLogIndex(envelope.getLogIndex())
        .setQuerySequenceNumber(envelope.getQueryNumber())
        .setFlowControlSequenceNumber(envelope.getFlowControlNumber())
        .build();
  }

  private RaftMessage appendEntriesFailure() {
    return RaftRecordCodec.MODEL_FACTORY
        .createAppendEntriesFailureResponseBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(envelope.getTerm())
        .setExpectedNextIndex(envelope.getLogIndex())
        .setQuerySequenceNumber(envelope.getQueryNumber())
        .setFlowControlSequenceNumber(envelope.getFlowControlNumber())
        .build();
  }

  private RaftMessage installSnapshot() {
    return RaftRecordCodec.MODEL_FACTORY
        .createInstallSnapshotRequestBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(envelope.getTerm())
        .setSenderLeader(envelope.getFlag())
        .setSnapshotTerm(envelope.getLogTerm())
        .setSnapshotIndex(envelope.getLogIndex())
        .setTotalSnapshotChunkCount(envelope.getChunkNumber())
        .setSnapshotChunk(
            envelope.hasChunk() ? RaftRecordCodec.decodeChunk(envelope.getChunk()) : null)
        .setSnapshottedMembers(RaftRecordCodec.decodeEndpoints(envelope.getSnapshottedList()))
        .setGroupMembersView(RaftRecordCodec.decodeGroup(envelope.getGroup()))
        .setQuerySequenceNumber(envelope.getQueryNumber())
        .setFlowControlSequenceNumber(envelope.getFlowControlNumber())
        .build();
  }

  private RaftMessage installSnapshotResponse() {
    return RaftRecordCodec.MODEL_FACTORY
        .createInstallSnapshotResponseBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(envelope.getTerm())
        .setSnapshotIndex(envelope.getLogIndex())
        .setRequestedSnapshotChunkIndex(envelope.getChunkNumber())
        .setQuerySequenceNumber(envelope.getQueryNumber())
        .setFlowControlSequenceNumber(envelope.getFlowControlNumber())
        .build();
  }

  private RaftMessage preVote() {
    return RaftRecordCodec.MODEL_FACTORY
        .createPreVoteRequestBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(envelope.getTerm())
        .setLastLogTerm(envelope.getLogTerm())
        .setLastLogIndex(envelope.getLogIndex())
        .build();
  }

  private RaftMessage preVoteResponse() {
    return RaftRecordCodec.MODEL_FACTORY
        .createPreVoteResponseBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(envelope.getTerm())
        .setGranted(envelope.getFlag())
        .build();
  }

  private RaftMessage vote() {
    return RaftRecordCodec.MODEL_FACTORY
        .createVoteRequestBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(envelope.getTerm())
        .setLastLogTerm(envelope.getLogTerm())
        .setLastLogIndex(envelope.getLogIndex())
        .setSticky(envelope.getFlag())
        .build();
  }

  private RaftMessage voteResponse() {
    return RaftRecordCodec.MODEL_FACTORY
        .createVoteResponseBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(envelope.getTerm())
        .setGranted(envelope.getFlag())
        .build();
  }

  private RaftMessage triggerLeaderElection() {
    return RaftRecordCodec.MODEL_FACTORY
        .createTriggerLeaderElectionRequestBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(envelope.getTerm())
        .setLastLogTerm(envelope.getLogTerm())
        .setLastLogIndex(envelope.getLogIndex())
        .build();
  }
}
