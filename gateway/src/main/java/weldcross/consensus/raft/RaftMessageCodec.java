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
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import weldcross.consensus.Member;
import weldcross.consensus.MembershipStateMachine;
import weldcross.consensus.MembershipView;
import weldcross.consensus.Proposal;
import weldcross.consensus.wire.Chunk;
import weldcross.consensus.wire.Ended;
import weldcross.consensus.wire.Group;
import weldcross.consensus.wire.GroupChange;
import weldcross.consensus.wire.LogEntrySaid;
import weldcross.consensus.wire.MemberSaid;
import weldcross.consensus.wire.MotionSaid;
import weldcross.consensus.wire.Raft;
import weldcross.consensus.wire.ViewSaid;
import weldcross.mesh.PeerName;

/** The consensus library's messages and records as Protocol Buffers, and back; decides nothing. */
public final class RaftMessageCodec {

  static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

  private RaftMessageCodec() {}

  // ---- Ours

  public static ViewSaid said(MembershipView view) {
    return said(view, Map.of());
  }

  static ViewSaid said(MembershipView view, Map<PeerName, Long> ended) {
    ViewSaid.Builder said = ViewSaid.newBuilder().setNumber(view.number());
    view.members()
        .values()
        .forEach(
            m ->
                said.addMembers(
                    MemberSaid.newBuilder()
                        .setName(m.name().name())
                        .setLife(m.life())
                        .setZone(m.zone())
                        .setPart(m.part())));
    ended.forEach(
        (name, life) -> said.addEnded(Ended.newBuilder().setName(name.name()).setLife(life)));
    return said.build();
  }

  public static MembershipView view(ViewSaid said) {
    Map<PeerName, Member> members = new TreeMap<>();
    for (MemberSaid m : said.getMembersList()) {
      PeerName name = new PeerName(m.getName());
      members.put(name, new Member(name, m.getLife(), m.getZone(), m.getPart()));
    }
    return new MembershipView(said.getNumber(), members);
  }

  static void restore(MembershipStateMachine views, ViewSaid said) {
    Map<PeerName, Long> ended = new TreeMap<>();
    said.getEndedList().forEach(e -> ended.put(new PeerName(e.getName()), e.getLife()));
    views.restore(view(said), ended);
  }

  public static MotionSaid said(Proposal motion) {
    return MotionSaid.newBuilder()
        .setKind(motion.kind().name())
        .setOf(motion.of().name())
        .setLife(motion.life())
        .setZone(motion.zone())
        .setPart(motion.part())
        .setBy(motion.by().name())
        .setBasis(motion.basis())
        .build();
  }

  /** A word of a later version changes nothing. */
  public static Proposal motion(MotionSaid said) {
    Proposal.Kind kind = Proposal.Kind.NOTHING;
    for (Proposal.Kind each : Proposal.Kind.values()) {
      kind = each.name().equals(said.getKind()) ? each : kind;
    }
    return new Proposal(
        kind,
        new PeerName(said.getOf()),
        said.getLife(),
        said.getZone(),
        said.getPart(),
        new PeerName(said.getBy()),
        said.getBasis());
  }

  // ---- Records

  private static List<String> ids(Collection<RaftEndpoint> endpoints) {
    return endpoints.stream().map(e -> (String) e.getId()).toList();
  }

  private static Collection<RaftEndpoint> endpoints(List<String> ids) {
    Collection<RaftEndpoint> all = new LinkedHashSet<>();
    ids.forEach(id -> all.add(VoterId.of(id)));
    return all;
  }

  static Group said(RaftGroupMembersView group) {
    return Group.newBuilder()
        .setIndex(group.getLogIndex())
        .addAllMembers(ids(group.getMembers()))
        .addAllVoting(ids(group.getVotingMembers()))
        .build();
  }

  static RaftGroupMembersView group(Group said) {
    return MODELS
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(said.getIndex())
        .setMembers(endpoints(said.getMembersList()))
        .setVotingMembers(endpoints(said.getVotingList()))
        .build();
  }

  static LogEntrySaid said(BaseLogEntry entry) {
    LogEntrySaid.Builder said =
        LogEntrySaid.newBuilder().setIndex(entry.getIndex()).setTerm(entry.getTerm());
    if (entry.getOperation() instanceof UpdateRaftGroupMembersOp op) {
      said.setChange(
          GroupChange.newBuilder()
              .addAllMembers(ids(op.getMembers()))
              .addAllVoting(ids(op.getVotingMembers()))
              .setEndpoint((String) op.getEndpoint().getId())
              .setMode(op.getMode().name()));
    } else {
      said.setMotion((MotionSaid) entry.getOperation());
    }
    return said.build();
  }

  static LogEntry entry(LogEntrySaid said) {
    Object operation = said.getMotion();
    if (said.hasChange()) {
      GroupChange change = said.getChange();
      operation =
          MODELS
              .createUpdateRaftGroupMembersOpBuilder()
              .setMembers(endpoints(change.getMembersList()))
              .setVotingMembers(endpoints(change.getVotingList()))
              .setEndpoint(VoterId.of(change.getEndpoint()))
              .setMode(MembershipChangeMode.valueOf(change.getMode()))
              .build();
    }
    return MODELS
        .createLogEntryBuilder()
        .setIndex(said.getIndex())
        .setTerm(said.getTerm())
        .setOperation(operation)
        .build();
  }

  static Chunk said(SnapshotChunk chunk) {
    return Chunk.newBuilder()
        .setIndex(chunk.getIndex())
        .setTerm(chunk.getTerm())
        .setNumber(chunk.getSnapshotChunkIndex())
        .setCount(chunk.getSnapshotChunkCount())
        .setContent((ViewSaid) chunk.getOperation())
        .setGroup(said(chunk.getGroupMembersView()))
        .build();
  }

  static SnapshotChunk chunk(Chunk said) {
    return MODELS
        .createSnapshotChunkBuilder()
        .setIndex(said.getIndex())
        .setTerm(said.getTerm())
        .setSnapshotChunkIndex(said.getNumber())
        .setSnapshotChunkCount(said.getCount())
        .setOperation(said.getContent())
        .setGroupMembersView(group(said.getGroup()))
        .build();
  }

  // ---- Messages

  static Raft said(RaftMessage message) {
    Raft.Builder to =
        Raft.newBuilder()
            .setSender((String) message.getSender().getId())
            .setTerm(message.getTerm());
    if (message instanceof AppendEntriesRequest m) {
      to.setKind("append")
          .setLogTerm(m.getPreviousLogTerm())
          .setLogIndex(m.getPreviousLogIndex())
          .setCommit(m.getCommitIndex())
          .setQuery(m.getQuerySequenceNumber())
          .setFlow(m.getFlowControlSequenceNumber());
      m.getLogEntries().forEach(e -> to.addEntries(said(e)));
    } else if (message instanceof AppendEntriesSuccessResponse m) {
      to.setKind("appended")
          .setLogIndex(m.getLastLogIndex())
          .setQuery(m.getQuerySequenceNumber())
          .setFlow(m.getFlowControlSequenceNumber());
    } else if (message instanceof AppendEntriesFailureResponse m) {
      to.setKind("not-appended")
          .setLogIndex(m.getExpectedNextIndex())
          .setQuery(m.getQuerySequenceNumber())
          .setFlow(m.getFlowControlSequenceNumber());
    } else if (message instanceof InstallSnapshotRequest m) {
      to.setKind("install")
          .setYes(m.isSenderLeader())
          .setLogTerm(m.getSnapshotTerm())
          .setLogIndex(m.getSnapshotIndex())
          .setChunkNumber(m.getTotalSnapshotChunkCount())
          .addAllSnapshotted(ids(m.getSnapshottedMembers()))
          .setGroup(said(m.getGroupMembersView()))
          .setQuery(m.getQuerySequenceNumber())
          .setFlow(m.getFlowControlSequenceNumber());
      if (m.getSnapshotChunk() != null) {
        to.setChunk(said(m.getSnapshotChunk()));
      }
    } else if (message instanceof InstallSnapshotResponse m) {
      to.setKind("installed")
          .setLogIndex(m.getSnapshotIndex())
          .setChunkNumber(m.getRequestedSnapshotChunkIndex())
          .setQuery(m.getQuerySequenceNumber())
          .setFlow(m.getFlowControlSequenceNumber());
    } else if (message instanceof PreVoteRequest m) {
      to.setKind("pre-vote").setLogTerm(m.getLastLogTerm()).setLogIndex(m.getLastLogIndex());
    } else if (message instanceof PreVoteResponse m) {
      to.setKind("pre-voted").setYes(m.isGranted());
    } else if (message instanceof VoteRequest m) {
      to.setKind("vote")
          .setLogTerm(m.getLastLogTerm())
          .setLogIndex(m.getLastLogIndex())
          .setYes(m.isSticky());
    } else if (message instanceof VoteResponse m) {
      to.setKind("voted").setYes(m.isGranted());
    } else if (message instanceof TriggerLeaderElectionRequest m) {
      to.setKind("stand").setLogTerm(m.getLastLogTerm()).setLogIndex(m.getLastLogIndex());
    } else {
      throw new IllegalArgumentException(message.getClass().getName());
    }
    return to.build();
  }

  /** Null where it is of a kind that is not known here. */
  static RaftMessage message(Raft said, String group) {
    RaftEndpoint sender = VoterId.of(said.getSender());
    int term = said.getTerm();
    return switch (said.getKind()) {
      case "append" -> {
        List<LogEntry> entries = new ArrayList<>();
        said.getEntriesList().forEach(e -> entries.add(entry(e)));
        yield MODELS
            .createAppendEntriesRequestBuilder()
            .setGroupId(group)
            .setSender(sender)
            .setTerm(term)
            .setPreviousLogTerm(said.getLogTerm())
            .setPreviousLogIndex(said.getLogIndex())
            .setCommitIndex(said.getCommit())
            .setLogEntries(entries)
            .setQuerySequenceNumber(said.getQuery())
            .setFlowControlSequenceNumber(said.getFlow())
            .build();
      }
      case "appended" ->
          MODELS
              .createAppendEntriesSuccessResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setLastLogIndex(said.getLogIndex())
              .setQuerySequenceNumber(said.getQuery())
              .setFlowControlSequenceNumber(said.getFlow())
              .build();
      case "not-appended" ->
          MODELS
              .createAppendEntriesFailureResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setExpectedNextIndex(said.getLogIndex())
              .setQuerySequenceNumber(said.getQuery())
              .setFlowControlSequenceNumber(said.getFlow())
              .build();
      case "install" ->
          MODELS
              .createInstallSnapshotRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setSenderLeader(said.getYes())
              .setSnapshotTerm(said.getLogTerm())
              .setSnapshotIndex(said.getLogIndex())
              .setTotalSnapshotChunkCount(said.getChunkNumber())
              .setSnapshotChunk(said.hasChunk() ? chunk(said.getChunk()) : null)
              .setSnapshottedMembers(endpoints(said.getSnapshottedList()))
              .setGroupMembersView(group(said.getGroup()))
              .setQuerySequenceNumber(said.getQuery())
              .setFlowControlSequenceNumber(said.getFlow())
              .build();
      case "installed" ->
          MODELS
              .createInstallSnapshotResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setSnapshotIndex(said.getLogIndex())
              .setRequestedSnapshotChunkIndex(said.getChunkNumber())
              .setQuerySequenceNumber(said.getQuery())
              .setFlowControlSequenceNumber(said.getFlow())
              .build();
      case "pre-vote" ->
          MODELS
              .createPreVoteRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setLastLogTerm(said.getLogTerm())
              .setLastLogIndex(said.getLogIndex())
              .build();
      case "pre-voted" ->
          MODELS
              .createPreVoteResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setGranted(said.getYes())
              .build();
      case "vote" ->
          MODELS
              .createVoteRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setLastLogTerm(said.getLogTerm())
              .setLastLogIndex(said.getLogIndex())
              .setSticky(said.getYes())
              .build();
      case "voted" ->
          MODELS
              .createVoteResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setGranted(said.getYes())
              .build();
      case "stand" ->
          MODELS
              .createTriggerLeaderElectionRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setLastLogTerm(said.getLogTerm())
              .setLastLogIndex(said.getLogIndex())
              .build();
      default -> null;
    };
  }
}
