package weldcross.consensus.raft;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import weldcross.consensus.LogPosition;
import weldcross.consensus.VoterRecovery;
import weldcross.consensus.wire.LogEntryRecord;
import weldcross.consensus.wire.StoredEndpoint;
import weldcross.consensus.wire.StoredRecord;
import weldcross.consensus.wire.StoredState;
import weldcross.consensus.wire.StoredTerm;
import weldcross.consensus.wire.VoterGroup;

/** In-memory state that results from applying a voter's stored records. Performs no I/O. */
final class StoredRaftState {

  private final TreeMap<Long, LogEntryRecord> entries = new TreeMap<>();

  /** Snapshot chunks by log index and chunk number. */
  private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

  private StoredEndpoint endpoint;
  private VoterGroup initialGroup;
  private StoredTerm term = StoredTerm.getDefaultInstance();

  /** Applies the next record; records of an unknown kind are ignored. */
  void apply(StoredRecord stored) {
    switch (stored.getKindCase()) {
      case ENDPOINT -> endpoint = stored.getEndpoint();
      case INITIAL_GROUP -> initialGroup = stored.getInitialGroup();
      case TERM -> term = stored.getTerm();
      case ENTRY -> put(stored.getEntry());
      case CHUNK -> put(RaftRecordCodec.decodeChunk(stored.getChunk()));
      case TRUNCATE_FROM -> entries.tailMap(stored.getTruncateFrom(), true).clear();
      case TRUNCATE_UNTIL -> entries.headMap(stored.getTruncateUntil(), true).clear();
      case DELETE_CHUNKS -> chunks.remove(stored.getDeleteChunks());
      case STATE -> stored.getState().getRecordsList().forEach(this::apply);
      default -> {
        // Written by a later version; not needed by this one.
      }
    }
  }

  /** Stores an entry, which replaces all entries from its index on. */
  private void put(LogEntryRecord entry) {
    entries.tailMap(entry.getIndex(), true).clear();
    entries.put(entry.getIndex(), entry);
  }

  private void put(SnapshotChunk chunk) {
    chunks
        .computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>())
        .put(chunk.getSnapshotChunkIndex(), chunk);
  }

  /** Returns the entire state as one record, from which {@link #apply} restores it. */
  StoredRecord toRecord() {
    StoredState.Builder state =
        StoredState.newBuilder()
            .addRecords(StoredRecord.newBuilder().setEndpoint(endpoint))
            .addRecords(StoredRecord.newBuilder().setInitialGroup(initialGroup))
            .addRecords(StoredRecord.newBuilder().setTerm(term));
    for (TreeMap<Integer, SnapshotChunk> snapshot : chunks.values()) {
      for (SnapshotChunk chunk : snapshot.values()) {
        state.addRecords(StoredRecord.newBuilder().setChunk(RaftRecordCodec.encodeChunk(chunk)));
      }
    }
    entries.values().forEach(entry -> state.addRecords(StoredRecord.newBuilder().setEntry(entry)));
    return StoredRecord.newBuilder().setState(state).build();
  }

  /** Returns the stored term; zero if none is stored. */
  int term() {
    return term.getTerm();
  }

  /** Returns a summary to compare with the replies of other voters. */
  VoterRecovery.LogSummary summary() {
    if (endpoint == null || initialGroup == null) {
      return VoterRecovery.LogSummary.NONE;
    }
    return new VoterRecovery.LogSummary(
        Optional.of(endpoint.getId()), term.getTerm(), lastPosition());
  }

  private LogPosition lastPosition() {
    if (!entries.isEmpty()) {
      LogEntryRecord last = entries.lastEntry().getValue();
      return new LogPosition(last.getTerm(), last.getIndex());
    }
    return latestSnapshot()
        .map(snapshot -> new LogPosition(snapshot.getTerm(), snapshot.getIndex()))
        .orElse(LogPosition.NONE);
  }

  /** Returns the term of the entry at this index; zero if it is not stored. */
  int termAt(long index) {
    LogEntryRecord entry = entries.get(index);
    if (entry != null) {
      return entry.getTerm();
    }
    return latestSnapshot()
        .filter(snapshot -> snapshot.getIndex() == index)
        .map(SnapshotEntry::getTerm)
        .orElse(0);
  }

  /** Returns the latest snapshot of which all chunks are stored. */
  private Optional<SnapshotEntry> latestSnapshot() {
    for (Long index : chunks.descendingKeySet()) {
      List<SnapshotChunk> stored = new ArrayList<>(chunks.get(index).values());
      SnapshotChunk first = stored.get(0);
      if (stored.size() == first.getSnapshotChunkCount()) {
        return Optional.of(
            RaftRecordCodec.MODEL_FACTORY
                .createSnapshotEntryBuilder()
                .setIndex(index)
                .setTerm(first.getTerm())
                .setSnapshotChunks(stored)
                .setGroupMembersView(first.getGroupMembersView())
                .build());
      }
    }
    return Optional.empty();
  }

  /** Returns the state from which a Raft node starts; endpoint and group must be stored. */
  RestoredRaftState restore() {
    Optional<SnapshotEntry> snapshot = latestSnapshot();
    long snapshotIndex = snapshot.map(SnapshotEntry::getIndex).orElse(0L);
    List<LogEntry> entriesAfterSnapshot =
        entries.tailMap(snapshotIndex, false).values().stream()
            .map(RaftRecordCodec::decodeEntry)
            .toList();
    return new RestoredRaftState(
        RaftRecordCodec.MODEL_FACTORY
            .createRaftEndpointPersistentStateBuilder()
            .setLocalEndpoint(VoterId.parse(endpoint.getId()))
            .setVoting(endpoint.getVoting())
            .build(),
        RaftRecordCodec.decodeGroup(initialGroup),
        restoreTerm(),
        snapshot.orElse(null),
        entriesAfterSnapshot);
  }

  private RaftTermPersistentState restoreTerm() {
    String votedFor = term.getVotedFor();
    return RaftRecordCodec.MODEL_FACTORY
        .createRaftTermPersistentStateBuilder()
        .setTerm(term.getTerm())
        .setVotedFor(votedFor.isEmpty() ? null : VoterId.parse(votedFor))
        .build();
  }
}
