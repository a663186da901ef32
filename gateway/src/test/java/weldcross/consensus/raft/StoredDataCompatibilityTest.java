package weldcross.consensus.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.microraft.MembershipChangeMode;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldcross.consensus.LogPosition;
import weldcross.consensus.Member;
import weldcross.consensus.MembershipStateMachine;
import weldcross.consensus.MembershipView;
import weldcross.consensus.Proposal;
import weldcross.consensus.VoterRecovery;
import weldcross.consensus.wire.ProposalRecord;
import weldcross.consensus.wire.ViewRecord;
import weldcross.mesh.PeerName;
import weldcross.storage.FileStorageDirectory;
import weldcross.storage.StorageDirectory;
import weldcross.storage.StoredDataFixture;

/** Guards that Raft stores written by commit e72908e can still be read. */
class StoredDataCompatibilityTest {

  private static final VoterId N0 = VoterId.parse("n0#0");
  private static final VoterId N1 = VoterId.parse("n1#0");
  private static final VoterId N2 = VoterId.parse("n2#0");
  private static final VoterId N2_REPLACEMENT = VoterId.parse("n2#8000000000000abc");
  private static final PeerName G0 = new PeerName("g0");
  private static final PeerName G1 = new PeerName("g1");
  private static final PeerName G2 = new PeerName("g2");
  private static final PeerName G3 = new PeerName("g3");
  private static final long G1_INCARNATION = 1700000000001L;

  /** Exceeds the range of a signed long when read as unsigned. */
  private static final long G2_INCARNATION = -2;

  @Test
  void recordsOfEarlierBuildAreReadCompletely(@TempDir Path scratch) throws IOException {
    RestoredRaftState state = restore("raft-store-records", scratch, "n0#0");
    assertEquals(N0, state.getLocalEndpointPersistentState().getLocalEndpoint());
    assertEquals(true, state.getLocalEndpointPersistentState().isVoting());
    assertState(state);
  }

  @Test
  void snapshotOfEarlierBuildIsReadCompletely(@TempDir Path scratch) throws IOException {
    RestoredRaftState state = restore("raft-store-snapshot", scratch, "n2#8000000000000abc");
    assertEquals(N2_REPLACEMENT, state.getLocalEndpointPersistentState().getLocalEndpoint());
    assertEquals(false, state.getLocalEndpointPersistentState().isVoting());
    assertState(state);
  }

  @Test
  void voteInLatestTermOfEarlierBuildIsRead(@TempDir Path scratch) throws IOException {
    RestoredRaftState state = restore("raft-store-vote", scratch, "n0#0");
    assertEquals(3, state.getTermPersistentState().getTerm());
    assertEquals(N1, state.getTermPersistentState().getVotedFor());
  }

  private static RestoredRaftState restore(String fixture, Path scratch, String identity)
      throws IOException {
    Path directory =
        StoredDataFixture.copy("/weldcross/consensus/" + fixture, scratch.resolve(fixture));
    StorageDirectory storage = FileStorageDirectory.openDirectory(directory);
    PersistentRaftStore store = PersistentRaftStore.open(storage);
    try {
      assertEquals(0, store.tornBytes());
      if (fixture.equals("raft-store-vote")) {
        assertEquals(summary(identity, 3, 0, 0), store.summary());
      } else {
        assertEquals(summary(identity, 4, 4, 7), store.summary());
        assertEquals(1, store.termAt(2));
        assertEquals(3, store.termAt(6));
        assertEquals(4, store.termAt(7));
        assertEquals(0, store.termAt(8));
      }
      return store.restore();
    } finally {
      store.close();
    }
  }

  private static VoterRecovery.LogSummary summary(
      String identity, int term, int lastTerm, long lastIndex) {
    return new VoterRecovery.LogSummary(
        Optional.of(identity), term, new LogPosition(lastTerm, lastIndex));
  }

  private static void assertState(RestoredRaftState state) {
    RaftGroupMembersView initial = state.getInitialGroupMembers();
    assertGroup(initial, List.of(N0, N1, N2), List.of(N0, N1, N2));
    assertEquals(4, state.getTermPersistentState().getTerm());
    assertNull(state.getTermPersistentState().getVotedFor());
    assertSnapshot(state);
    assertEntries(state.getLogEntries());
  }

  private static void assertGroup(
      RaftGroupMembersView group, List<VoterId> members, List<VoterId> voting) {
    assertEquals(0, group.getLogIndex());
    assertEquals(members, new ArrayList<>(group.getMembers()));
    assertEquals(voting, new ArrayList<>(group.getVotingMembers()));
  }

  private static void assertSnapshot(RestoredRaftState state) {
    assertEquals(2, state.getSnapshotEntry().getIndex());
    assertEquals(1, state.getSnapshotEntry().getTerm());
    assertGroup(
        state.getSnapshotEntry().getGroupMembersView(), List.of(N0, N1, N2), List.of(N0, N1));
    List<?> chunks = (List<?>) state.getSnapshotEntry().getOperation();
    assertEquals(1, chunks.size());
    SnapshotChunk chunk = (SnapshotChunk) chunks.get(0);
    assertEquals(2, chunk.getIndex());
    assertEquals(1, chunk.getTerm());
    assertEquals(0, chunk.getSnapshotChunkIndex());
    assertEquals(1, chunk.getSnapshotChunkCount());
    assertGroup(chunk.getGroupMembersView(), List.of(N0, N1, N2), List.of(N0, N1));
    MembershipStateMachine stateMachine = new MembershipStateMachine();
    MembershipCodec.restore(stateMachine, (ViewRecord) chunk.getOperation());
    assertEquals(
        new MembershipView(
            2,
            Map.of(
                G1, new Member(G1, G1_INCARNATION, "zone-a", 1000),
                G2, new Member(G2, G2_INCARNATION, "", 250))),
        stateMachine.view());
    assertEquals(Map.of(G0, 77L), stateMachine.endedIncarnations());
  }

  private static void assertEntries(List<LogEntry> entries) {
    assertEquals(List.of(3L, 4L, 5L, 6L, 7L), entries.stream().map(LogEntry::getIndex).toList());
    assertEquals(List.of(2, 3, 3, 3, 4), entries.stream().map(LogEntry::getTerm).toList());
    assertEquals(
        new Proposal(Proposal.Kind.JOIN, G2, G2_INCARNATION, "", 250, G2, 0),
        proposal(entries.get(0)));
    assertEquals(
        new Proposal(Proposal.Kind.LEAVE, G1, G1_INCARNATION, "", 0, G1, 0),
        proposal(entries.get(1)));
    assertEquals(
        new Proposal(Proposal.Kind.DEAD, G2, G2_INCARNATION, "", 0, G1, 0),
        proposal(entries.get(2)));
    UpdateRaftGroupMembersOp change = (UpdateRaftGroupMembersOp) entries.get(3).getOperation();
    assertEquals(Set.of(N0, N1, N2_REPLACEMENT), new HashSet<>(change.getMembers()));
    assertEquals(Set.of(N0, N1), new HashSet<>(change.getVotingMembers()));
    assertEquals(N2_REPLACEMENT, change.getEndpoint());
    assertEquals(MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, change.getMode());
    assertEquals(new Proposal(Proposal.Kind.FORGET, G3, 0, "", 0, G1, 2), proposal(entries.get(4)));
  }

  private static Proposal proposal(LogEntry entry) {
    return MembershipCodec.decodeProposal((ProposalRecord) entry.getOperation());
  }
}
