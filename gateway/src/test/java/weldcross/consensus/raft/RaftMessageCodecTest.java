package weldcross.consensus.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

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
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import weldcross.consensus.MembershipView;
import weldcross.consensus.Proposal;
import weldcross.consensus.wire.GroupChange;
import weldcross.consensus.wire.LogEntryRecord;
import weldcross.consensus.wire.RaftEnvelope;
import weldcross.consensus.wire.SnapshotChunkRecord;
import weldcross.consensus.wire.VoterGroup;
import weldcross.mesh.PeerName;

class RaftMessageCodecTest {

  private static final String GROUP_ID = "cluster/n0,n1,n2";
  private static final VoterGroup GROUP =
      VoterGroup.newBuilder()
          .setIndex(4)
          .addAllMembers(List.of("n0#0", "n1#0", "n2#5f"))
          .addAllVoting(List.of("n0#0", "n1#0"))
          .build();

  private static RaftEnvelope.Builder envelope(RaftMessageKind kind) {
    return RaftEnvelope.newBuilder().setKind(kind.wireName()).setSender("n1#5f").setTerm(7);
  }

  private static LogEntryRecord proposalEntry() {
    return LogEntryRecord.newBuilder()
        .setIndex(11)
        .setTerm(6)
        .setProposal(MembershipCodec.encodeProposal(Proposal.noOp(new PeerName("n1"))))
        .build();
  }

  private static LogEntryRecord groupChangeEntry() {
    return LogEntryRecord.newBuilder()
        .setIndex(12)
        .setTerm(6)
        .setChange(
            GroupChange.newBuilder()
                .addAllMembers(GROUP.getMembersList())
                .addAllVoting(GROUP.getVotingList())
                .setEndpoint("n2#5f")
                .setMode("REMOVE_MEMBER"))
        .build();
  }

  private static SnapshotChunkRecord chunk() {
    return SnapshotChunkRecord.newBuilder()
        .setIndex(9)
        .setTerm(5)
        .setNumber(1)
        .setCount(2)
        .setContent(MembershipCodec.encodeView(MembershipView.NONE))
        .setGroup(GROUP)
        .build();
  }

  private static Stream<Arguments> envelopes() {
    return Stream.of(appendEnvelopes(), snapshotEnvelopes(), electionEnvelopes())
        .flatMap(Function.identity());
  }

  private static Stream<Arguments> appendEnvelopes() {
    return Stream.of(
        Arguments.of(
            AppendEntriesRequest.class,
            envelope(RaftMessageKind.APPEND_ENTRIES)
                .setLogTerm(6)
                .setLogIndex(10)
                .setCommitIndex(8)
                .addEntries(proposalEntry())
                .addEntries(groupChangeEntry())
                .setQueryNumber(21)
                .setFlowControlNumber(22)
                .build()),
        Arguments.of(
            AppendEntriesSuccessResponse.class,
            envelope(RaftMessageKind.APPEND_ENTRIES_SUCCESS)
                .setLogIndex(12)
                .setQueryNumber(21)
                .setFlowControlNumber(22)
                .build()),
        Arguments.of(
            AppendEntriesFailureResponse.class,
            envelope(RaftMessageKind.APPEND_ENTRIES_FAILURE)
                .setLogIndex(5)
                .setQueryNumber(21)
                .setFlowControlNumber(22)
                .build()));
  }

  private static Stream<Arguments> snapshotEnvelopes() {
    RaftEnvelope.Builder install =
        envelope(RaftMessageKind.INSTALL_SNAPSHOT)
            .setFlag(true)
            .setLogTerm(5)
            .setLogIndex(9)
            .setChunkNumber(2)
            .addAllSnapshotted(List.of("n0#0", "n1#0"))
            .setGroup(GROUP)
            .setQueryNumber(21)
            .setFlowControlNumber(22);
    return Stream.of(
        Arguments.of(InstallSnapshotRequest.class, install.build()),
        Arguments.of(InstallSnapshotRequest.class, install.setChunk(chunk()).build()),
        Arguments.of(
            InstallSnapshotResponse.class,
            envelope(RaftMessageKind.INSTALL_SNAPSHOT_RESPONSE)
                .setLogIndex(9)
                .setChunkNumber(1)
                .setQueryNumber(21)
                .setFlowControlNumber(22)
                .build()));
  }

  private static Stream<Arguments> electionEnvelopes() {
    return Stream.of(
        Arguments.of(
            PreVoteRequest.class,
            envelope(RaftMessageKind.PRE_VOTE).setLogTerm(6).setLogIndex(12).build()),
        Arguments.of(
            PreVoteResponse.class,
            envelope(RaftMessageKind.PRE_VOTE_RESPONSE).setFlag(true).build()),
        Arguments.of(
            VoteRequest.class,
            envelope(RaftMessageKind.VOTE).setLogTerm(6).setLogIndex(12).setFlag(true).build()),
        Arguments.of(
            VoteResponse.class, envelope(RaftMessageKind.VOTE_RESPONSE).setFlag(true).build()),
        Arguments.of(
            TriggerLeaderElectionRequest.class,
            envelope(RaftMessageKind.TRIGGER_LEADER_ELECTION)
                .setLogTerm(6)
                .setLogIndex(12)
                .build()));
  }

  @ParameterizedTest
  @MethodSource("envelopes")
  void decodedMessageEncodesToTheSameEnvelope(
      Class<? extends RaftMessage> type, RaftEnvelope envelope) {
    RaftMessage message = RaftMessageDecoder.decode(envelope, GROUP_ID).orElseThrow();
    assertInstanceOf(type, message);
    assertEquals(GROUP_ID, message.getGroupId());
    assertEquals(VoterId.parse("n1#5f"), message.getSender());
    assertEquals(7, message.getTerm());
    assertEquals(envelope, RaftMessageEncoder.encode(message));
  }

  @ParameterizedTest
  @CsvSource({
    "APPEND_ENTRIES, append",
    "APPEND_ENTRIES_SUCCESS, appended",
    "APPEND_ENTRIES_FAILURE, not-appended",
    "INSTALL_SNAPSHOT, install",
    "INSTALL_SNAPSHOT_RESPONSE, installed",
    "PRE_VOTE, pre-vote",
    "PRE_VOTE_RESPONSE, pre-voted",
    "VOTE, vote",
    "VOTE_RESPONSE, voted",
    "TRIGGER_LEADER_ELECTION, stand"
  })
  void kindHasStableWireName(RaftMessageKind kind, String wireName) {
    assertEquals(wireName, kind.wireName());
    assertEquals(Optional.of(kind), RaftMessageKind.fromWireName(wireName));
  }

  @Test
  void messageOfUnknownKindIsNotDecoded() {
    RaftEnvelope unknown = RaftEnvelope.newBuilder().setKind("later").setSender("n1#0").build();
    assertEquals(Optional.empty(), RaftMessageDecoder.decode(unknown, GROUP_ID));
  }

  @Test
  void proposalOfUnknownKindDecodesToNoOp() {
    Proposal proposal = Proposal.noOp(new PeerName("n1"));
    assertEquals(
        proposal,
        MembershipCodec.decodeProposal(
            MembershipCodec.encodeProposal(proposal).toBuilder().setKind("LATER").build()));
  }
}
