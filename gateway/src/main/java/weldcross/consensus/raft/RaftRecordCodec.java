package weldcross.consensus.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.BaseLogEntry;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import weldcross.consensus.wire.GroupChange;
import weldcross.consensus.wire.LogEntryRecord;
import weldcross.consensus.wire.ProposalRecord;
import weldcross.consensus.wire.SnapshotChunkRecord;
import weldcross.consensus.wire.ViewRecord;
import weldcross.consensus.wire.VoterGroup;

/**
 * Converts groups, log entries and snapshot chunks of the Raft library to and from protobuf, for
 * both messages and stored records.
 */
final class RaftRecordCodec {

  /** Factory of the Raft library's model objects. */
  static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();

  private RaftRecordCodec() {}

  static List<String> encodeEndpoints(Collection<RaftEndpoint> endpoints) {
    return endpoints.stream().map(endpoint -> (String) endpoint.getId()).toList();
  }

  static Collection<RaftEndpoint> decodeEndpoints(List<String> ids) {
    Collection<RaftEndpoint> endpoints = new LinkedHashSet<>();
    ids.forEach(id -> endpoints.add(VoterId.parse(id)));
    return endpoints;
  }

  static VoterGroup encodeGroup(RaftGroupMembersView group) {
    return VoterGroup.newBuilder()
        .setIndex(group.getLogIndex())
        .addAllMembers(encodeEndpoints(group.getMembers()))
        .addAllVoting(encodeEndpoints(group.getVotingMembers()))
        .build();
  }

  static RaftGroupMembersView decodeGroup(VoterGroup group) {
    return MODEL_FACTORY
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(group.getIndex())
        .setMembers(decodeEndpoints(group.getMembersList()))
        .setVotingMembers(decodeEndpoints(group.getVotingList()))
        .build();
  }

  static LogEntryRecord encodeEntry(BaseLogEntry entry) {
    LogEntryRecord.Builder encoded =
        LogEntryRecord.newBuilder().setIndex(entry.getIndex()).setTerm(entry.getTerm());
    if (entry.getOperation() instanceof UpdateRaftGroupMembersOp change) {
      encoded.setChange(encodeChange(change));
    } else {
      encoded.setProposal((ProposalRecord) entry.getOperation());
    }
    return encoded.build();
  }

  private static GroupChange encodeChange(UpdateRaftGroupMembersOp change) {
    return GroupChange.newBuilder()
        .addAllMembers(encodeEndpoints(change.getMembers()))
        .addAllVoting(encodeEndpoints(change.getVotingMembers()))
        .setEndpoint((String) change.getEndpoint().getId())
        .setMode(change.getMode().name())
        .build();
  }

  static LogEntry decodeEntry(LogEntryRecord entry) {
    Object operation = entry.hasChange() ? decodeChange(entry.getChange()) : entry.getProposal();
    return MODEL_FACTORY
        .createLogEntryBuilder()
        .setIndex(entry.getIndex())
        .setTerm(entry.getTerm())
        .setOperation(operation)
        .build();
  }

  private static UpdateRaftGroupMembersOp decodeChange(GroupChange change) {
    return MODEL_FACTORY
        .createUpdateRaftGroupMembersOpBuilder()
        .setMembers(decodeEndpoints(change.getMembersList()))
        .setVotingMembers(decodeEndpoints(change.getVotingList()))
        .setEndpoint(VoterId.parse(change.getEndpoint()))
        .setMode(MembershipChangeMode.valueOf(change.getMode()))
        .build();
  }

  static SnapshotChunkRecord encodeChunk(SnapshotChunk chunk) {
    return SnapshotChunkRecord.newBuilder()
        .setIndex(chunk.getIndex())
        .setTerm(chunk.getTerm())
        .setNumber(chunk.getSnapshotChunkIndex())
        .setCount(chunk.getSnapshotChunkCount())
        .setContent((ViewRecord) chunk.getOperation())
        .setGroup(encodeGroup(chunk.getGroupMembersView()))
        .build();
  }

  static SnapshotChunk decodeChunk(SnapshotChunkRecord chunk) {
    return MODEL_FACTORY
        .createSnapshotChunkBuilder()
        .setIndex(chunk.getIndex())
        .setTerm(chunk.getTerm())
        .setSnapshotChunkIndex(chunk.getNumber())
        .setSnapshotChunkCount(chunk.getCount())
        .setOperation(chunk.getContent())
        .setGroupMembersView(decodeGroup(chunk.getGroup()))
        .build();
  }
}
