package weldcross.consensus.raft;

import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import weldcross.consensus.wire.RaftEnvelope;

/** Converts messages of the Raft library to protobuf. */
final class RaftMessageEncoder {

  private RaftMessageEncoder() {}

  /**
   * Encodes a message.
   *
   * @throws IllegalArgumentException if the type of the message is not supported
   */
  static RaftEnvelope encode(RaftMessage message) {
    return encodeFields(message)
        .setSender((String) message.getSender().getId())
        .setTerm(message.getTerm())
        .build();
  }

  private static RaftEnvelope.Builder encodeFields(RaftMessage message) {
    if (message instanceof AppendEntriesRequest request) {
      return append(request);
    } else if (message instanceof AppendEntriesSuccessResponse response) {
      return appendSuccess(response);
    } else if (message instanceof AppendEntriesFailureResponse response) {
      return appendFailure(response);
    } else if (message instanceof InstallSnapshotRequest request) {
      return installSnapshot(request);
    } else if (message instanceof InstallSnapshotResponse response) {
      return installSnapshotResponse(response);
    } else if (message instanceof PreVoteRequest request) {
      return envelope(RaftMessageKind.PRE_VOTE)
          .setLogTerm(request.getLastLogTerm())
          .setLogIndex(request.getLastLogIndex());
    } else if (message instanceof PreVoteResponse response) {
      return envelope(RaftMessageKind.PRE_VOTE_RESPONSE).setFlag(response.isGranted());
    } else if (message instanceof VoteRequest request) {
      return envelope(RaftMessageKind.VOTE)
          .setLogTerm(request.getLastLogTerm())
          .setLogIndex(request.getLastLogIndex())
          .setFlag(request.isSticky());
    } else if (message instanceof VoteResponse response) {
      return envelope(RaftMessageKind.VOTE_RESPONSE).setFlag(response.isGranted());
    } else if (message instanceof TriggerLeaderElectionRequest request) {
      return envelope(RaftMessageKind.TRIGGER_LEADER_ELECTION)
          .setLogTerm(request.getLastLogTerm())
          .setLogIndex(request.getLastLogIndex());
    }
    throw new IllegalArgumentException(
        "unsupported Raft message type: " + message.getClass().getName());
  }

  private static RaftEnvelope.Builder envelope(RaftMessageKind kind) {
    return RaftEnvelope.newBuilder().setKind(kind.wireName());
  }

  private static RaftEnvelope.Builder append(AppendEntriesRequest request) {
    RaftEnvelope.Builder envelope =
        envelope(RaftMessageKind.APPEND_ENTRIES)
            .setLogTerm(request.getPreviousLogTerm())
            .setLogIndex(request.getPreviousLogIndex())
            .setCommitIndex(request.getCommitIndex())
            .setQueryNumber(request.getQuerySequenceNumber())
            .setFlowControlNumber(request.getFlowControlSequenceNumber());
    request
        .getLogEntries()
        .forEach(entry -> envelope.addEntries(RaftRecordCodec.encodeEntry(entry)));
    return envelope;
  }

  private static RaftEnvelope.Builder appendSuccess(AppendEntriesSuccessResponse response) {
    return envelope(RaftMessageKind.APPEND_ENTRIES_SUCCESS)
        .setLogIndex(response.getLastLogIndex())
        .setQueryNumber(response.getQuerySequenceNumber())
        .setFlowControlNumber(response.getFlowControlSequenceNumber());
  }

  private static RaftEnvelope.Builder appendFailure(AppendEntriesFailureResponse response) {
    return envelope(RaftMessageKind.APPEND_ENTRIES_FAILURE)
        .setLogIndex(response.getExpectedNextIndex())
        .setQueryNumber(response.getQuerySequenceNumber())
        .setFlowControlNumber(response.getFlowControlSequenceNumber());
  }

  private static RaftEnvelope.Builder installSnapshot(InstallSnapshotRequest request) {
    RaftEnvelope.Builder envelope =
        envelope(RaftMessageKind.INSTALL_SNAPSHOT)
            .setFlag(request.isSenderLeader())
            .setLogTerm(request.getSnapshotTerm())
            .setLogIndex(request.getSnapshotIndex())
            .setChunkNumber(request.getTotalSnapshotChunkCount())
            .addAllSnapshotted(RaftRecordCodec.encodeEndpoints(request.getSnapshottedMembers()))
            .setGroup(RaftRecordCodec.encodeGroup(request.getGroupMembersView()))
            .setQueryNumber(request.getQuerySequenceNumber())
            .setFlowControlNumber(request.getFlowControlSequenceNumber());
    if (request.getSnapshotChunk() != null) {
      envelope.setChunk(RaftRecordCodec.encodeChunk(request.getSnapshotChunk()));
    }
    return envelope;
  }

  private static RaftEnvelope.Builder installSnapshotResponse(InstallSnapshotResponse response) {
    return envelope(RaftMessageKind.INSTALL_SNAPSHOT_RESPONSE)
        .setLogIndex(response.getSnapshotIndex())
        .setChunkNumber(response.getRequestedSnapshotChunkIndex())
        .setQueryNumber(response.getQuerySequenceNumber())
        .setFlowControlNumber(response.getFlowControlSequenceNumber());
  }
}
