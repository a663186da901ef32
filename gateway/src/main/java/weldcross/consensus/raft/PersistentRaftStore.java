package weldcross.consensus.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import weldcross.consensus.VoterRecovery;
import weldcross.consensus.wire.Group;
import weldcross.consensus.wire.Kept;
import weldcross.consensus.wire.KeptAll;
import weldcross.consensus.wire.KeptEndpoint;
import weldcross.consensus.wire.KeptTerm;
import weldcross.consensus.wire.LogEntrySaid;
import weldcross.storage.RecordLog;
import weldcross.storage.StorageDirectory;

/**
 * What a voter keeps, as records of a log; a copy in memory, which is small, says what they come
 * to. Used on the consensus's own thread, which waits for the disk: nothing is said that is not
 * sure.
 */
final class PersistentRaftStore implements RaftStore {

  private static final long SEGMENT = 1 << 20;

  private final StorageDirectory disk;
  private final RecordLog log;
  private KeptEndpoint endpoint;
  private Group initial;
  private KeptTerm term = KeptTerm.getDefaultInstance();
  private final TreeMap<Long, LogEntrySaid> entries = new TreeMap<>();
  private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

  private PersistentRaftStore(StorageDirectory disk, long[] torn) throws IOException {
    this.disk = disk;
    this.log =
        RecordLog.open(
            disk,
            SEGMENT,
            new RecordLog.Reader() {
              @Override
              public void snapshot(long upTo, ByteBuffer content) {
                replay(content);
              }

              @Override
              public void record(long number, ByteBuffer content) {
                replay(content);
              }
            });
    torn[0] = log.found().tornBytes();
  }

  /**
   * Reads all that is kept.
   *
   * @param torn gets how many bytes were cut from the end of the log
   * @throws RecordLog.Damaged where what was sure cannot be read
   */
  static PersistentRaftStore open(StorageDirectory disk, long[] torn) throws IOException {
    try {
      return new PersistentRaftStore(disk, torn);
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }

  /** An empty one: all that was kept is gone, under whose identity nothing is said any more. */
  static PersistentRaftStore anew(StorageDirectory disk) throws IOException {
    for (String name : List.copyOf(disk.names())) {
      disk.delete(name);
    }
    disk.forceNames();
    return open(disk, new long[1]);
  }

  private void replay(ByteBuffer content) {
    try {
      apply(Kept.parseFrom(content));
    } catch (InvalidProtocolBufferException e) {
      throw new UncheckedIOException("a record of a voter that is none", e);
    }
  }

  private void apply(Kept kept) {
    switch (kept.getKindCase()) {
      case ENDPOINT -> endpoint = kept.getEndpoint();
      case INITIAL -> initial = kept.getInitial();
      case TERM -> term = kept.getTerm();
      case ENTRY -> {
        entries.tailMap(kept.getEntry().getIndex(), true).clear();
        entries.put(kept.getEntry().getIndex(), kept.getEntry());
      }
      case CHUNK -> {
        SnapshotChunk chunk = RaftMessageCodec.chunk(kept.getChunk());
        chunks
            .computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>())
            .put(chunk.getSnapshotChunkIndex(), chunk);
      }
      case TRUNCATE_FROM -> entries.tailMap(kept.getTruncateFrom(), true).clear();
      case TRUNCATE_UNTIL -> entries.headMap(kept.getTruncateUntil(), true).clear();
      case DELETE_CHUNKS -> chunks.remove(kept.getDeleteChunks());
      case ALL -> kept.getAll().getPartsList().forEach(this::apply);
      default -> {
        // Of a later version, which this one does not need.
      }
    }
  }

  // ---- What it comes to

  /** What it has said, for the others to compare. */
  VoterRecovery.Kept inShort() {
    SnapshotEntry snapshot = snapshot();
    LogEntrySaid last = entries.isEmpty() ? null : entries.lastEntry().getValue();
    return endpoint == null || initial == null
        ? VoterRecovery.Kept.NOTHING
        : new VoterRecovery.Kept(
            endpoint.getId(),
            term.getTerm(),
            last != null ? last.getTerm() : snapshot == null ? 0 : snapshot.getTerm(),
            last != null ? last.getIndex() : snapshot == null ? 0 : snapshot.getIndex());
  }

  /** The term of the entry of this index; zero where it is not known any more, or not yet. */
  int termAt(long index) {
    LogEntrySaid entry = entries.get(index);
    if (entry != null) {
      return entry.getTerm();
    }
    SnapshotEntry snapshot = snapshot();
    return snapshot != null && snapshot.getIndex() == index ? snapshot.getTerm() : 0;
  }

  /** The latest that is whole; null where there is none. */
  private SnapshotEntry snapshot() {
    for (Long index : chunks.descendingKeySet()) {
      List<SnapshotChunk> all = new ArrayList<>(chunks.get(index).values());
      if (all.size() == all.get(0).getSnapshotChunkCount()) {
        return RaftMessageCodec.MODELS
            .createSnapshotEntryBuilder()
            .setIndex(index)
            .setTerm(all.get(0).getTerm())
            .setSnapshotChunks(all)
            .setGroupMembersView(all.get(0).getGroupMembersView())
            .build();
      }
    }
    return null;
  }

  RestoredRaftState restored() {
    SnapshotEntry snapshot = snapshot();
    List<LogEntry> rest = new ArrayList<>();
    entries
        .tailMap(snapshot == null ? 0 : snapshot.getIndex(), false)
        .values()
        .forEach(e -> rest.add(RaftMessageCodec.entry(e)));
    return new RestoredRaftState(
        RaftMessageCodec.MODELS
            .createRaftEndpointPersistentStateBuilder()
            .setLocalEndpoint(VoterId.of(endpoint.getId()))
            .setVoting(endpoint.getVoting())
            .build(),
        RaftMessageCodec.group(initial),
        RaftMessageCodec.MODELS
            .createRaftTermPersistentStateBuilder()
            .setTerm(term.getTerm())
            .setVotedFor(term.getVotedFor().isEmpty() ? null : VoterId.of(term.getVotedFor()))
            .build(),
        snapshot,
        rest);
  }

  /**
   * In this term, and before, it may have voted: it does not vote in them again.
   *
   * @param next no lower than the term that is kept
   */
  void spend(int next, VoterId self) throws IOException {
    if (next > term.getTerm()) {
      keepAndFlush(
          Kept.newBuilder().setTerm(KeptTerm.newBuilder().setTerm(next).setVotedFor(self.getId())));
    }
  }

  /** The first thing that a voter of this identity keeps. */
  void begin(VoterId self, List<String> founders, boolean voting, int spent) throws IOException {
    keep(
        Kept.newBuilder()
            .setEndpoint(KeptEndpoint.newBuilder().setId(self.getId()).setVoting(voting)));
    keep(
        Kept.newBuilder()
            .setInitial(Group.newBuilder().addAllMembers(founders).addAllVoting(founders)));
    if (spent > 0) {
      keep(
          Kept.newBuilder()
              .setTerm(KeptTerm.newBuilder().setTerm(spent).setVotedFor(self.getId())));
    }
    flush();
  }

  // ---- Of the library

  private void keep(Kept.Builder builder) {
    Kept kept = builder.build();
    apply(kept);
    log.add(ByteBuffer.wrap(kept.toByteArray()));
  }

  private void keepAndFlush(Kept.Builder kept) throws IOException {
    keep(kept);
    flush();
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
    keepAndFlush(
        Kept.newBuilder()
            .setEndpoint(
                KeptEndpoint.newBuilder()
                    .setId((String) state.getLocalEndpoint().getId())
                    .setVoting(state.isVoting())));
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    keepAndFlush(Kept.newBuilder().setInitial(RaftMessageCodec.said(members)));
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
    keepAndFlush(
        Kept.newBuilder()
            .setTerm(
                KeptTerm.newBuilder()
                    .setTerm(state.getTerm())
                    .setVotedFor(
                        state.getVotedFor() == null ? "" : (String) state.getVotedFor().getId())));
  }

  @Override
  public void persistLogEntries(List<LogEntry> added) {
    added.forEach(e -> keep(Kept.newBuilder().setEntry(RaftMessageCodec.said(e))));
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) {
    keep(Kept.newBuilder().setChunk(RaftMessageCodec.said(chunk)));
  }

  @Override
  public void truncateLogEntriesFrom(long index) {
    keep(Kept.newBuilder().setTruncateFrom(index));
  }

  /** All that is in force as one snapshot of the log: what it stands for is not read again. */
  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    keepAndFlush(Kept.newBuilder().setTruncateUntil(index));
    KeptAll.Builder all =
        KeptAll.newBuilder()
            .addParts(Kept.newBuilder().setEndpoint(endpoint))
            .addParts(Kept.newBuilder().setInitial(initial))
            .addParts(Kept.newBuilder().setTerm(term));
    chunks
        .values()
        .forEach(
            each ->
                each.values()
                    .forEach(
                        c -> all.addParts(Kept.newBuilder().setChunk(RaftMessageCodec.said(c)))));
    entries.values().forEach(e -> all.addParts(Kept.newBuilder().setEntry(e)));
    log.snapshot(log.last(), ByteBuffer.wrap(Kept.newBuilder().setAll(all).build().toByteArray()));
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) {
    keep(Kept.newBuilder().setDeleteChunks(index));
  }

  @Override
  public void flush() throws IOException {
    log.commit();
  }

  void close() {
    try {
      log.close();
      disk.close();
    } catch (IOException e) {
      // What was sure is on the disk.
    }
  }
}
