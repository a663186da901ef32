package weldcross.consensus.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import weldcross.consensus.VoterRecovery;
import weldcross.consensus.wire.StoredEndpoint;
import weldcross.consensus.wire.StoredRecord;
import weldcross.consensus.wire.StoredTerm;
import weldcross.consensus.wire.VoterGroup;
import weldcross.storage.CorruptLogException;
import weldcross.storage.RecordLog;
import weldcross.storage.StorageDirectory;

/**
 * Stores a voter's Raft state as records of a {@link RecordLog}. Used on the voter's thread and
 * blocks on storage: the Raft library acknowledges only what these methods have made durable.
 */
final class PersistentRaftStore implements RaftStore {

  private static final long SEGMENT_BYTES = 1 << 20;

  private final StorageDirectory directory;
  private final StoredRaftState state = new StoredRaftState();
  private final RecordLog log;

  private PersistentRaftStore(StorageDirectory directory) throws IOException {
    this.directory = directory;
    this.log = RecordLog.open(directory, SEGMENT_BYTES, new Replay());
  }

  /** Rebuilds the state from the log. */
  private final class Replay implements RecordLog.Reader {

    @Override
    public void snapshot(long upTo, ByteBuffer content) throws IOException {
      state.apply(parse("snapshot " + upTo, content));
    }

    @Override
    public void record(long number, ByteBuffer content) throws IOException {
      state.apply(parse("record " + number, content));
    }
  }

  private static StoredRecord parse(String record, ByteBuffer content)
      throws InvalidStoredRecordException {
    try {
      return StoredRecord.parseFrom(content);
    } catch (InvalidProtocolBufferException e) {
      throw new InvalidStoredRecordException(record, e);
    }
  }

  /**
   * Opens the store and reads the stored state.
   *
   * @param directory directory of the log; closed with the store, but not if this method throws
   * @throws CorruptLogException if a durable record cannot be read
   * @throws IOException if the directory cannot be read or written
   */
  static PersistentRaftStore open(StorageDirectory directory) throws IOException {
    return new PersistentRaftStore(directory);
  }

  /** Deletes all stored data and opens an empty store. */
  static PersistentRaftStore recreate(StorageDirectory directory) throws IOException {
    for (String name : List.copyOf(directory.fileNames())) {
      directory.delete(name);
    }
    directory.forceDirectory();
    return open(directory);
  }

  /**
   * Returns the size of the incomplete write that was truncated from the log when it was opened.
   */
  long tornBytes() {
    return log.recovered().tornBytes();
  }

  /** Returns a summary to compare with the replies of other voters. */
  VoterRecovery.LogSummary summary() {
    return state.summary();
  }

  /** Returns the term of the entry at this index; zero if it is not stored. */
  int termAt(long index) {
    return state.termAt(index);
  }

  /** Returns the state from which a Raft node starts. */
  RestoredRaftState restore() {
    return state.restore();
  }

  /**
   * Stores the initial state of an identity.
   *
   * @param founders ids of the initial members of the group
   * @param voting whether the identity is a voting member from the start
   * @param votedTerm highest term in which it may have voted; zero if there is none
   */
  void initialize(VoterId self, List<String> founders, boolean voting, int votedTerm)
      throws IOException {
    append(
        StoredRecord.newBuilder()
            .setEndpoint(StoredEndpoint.newBuilder().setId(self.getId()).setVoting(voting)));
    append(
        StoredRecord.newBuilder()
            .setInitialGroup(
                VoterGroup.newBuilder().addAllMembers(founders).addAllVoting(founders)));
    if (votedTerm > 0) {
      append(termRecord(votedTerm, self));
    }
    flush();
  }

  /**
   * Stores a vote for itself, so that the voter casts no second vote in this or an earlier term.
   */
  void recordSelfVote(int term, VoterId self) throws IOException {
    if (term > state.term()) {
      appendAndFlush(termRecord(term, self));
    }
  }

  private static StoredRecord.Builder termRecord(int term, RaftEndpoint votedFor) {
    StoredTerm.Builder stored = StoredTerm.newBuilder().setTerm(term);
    if (votedFor != null) {
      stored.setVotedFor((String) votedFor.getId());
    }
    return StoredRecord.newBuilder().setTerm(stored);
  }

  private void append(StoredRecord.Builder builder) {
    StoredRecord stored = builder.build();
    state.apply(stored);
    log.append(ByteBuffer.wrap(stored.toByteArray()));
  }

  private void appendAndFlush(StoredRecord.Builder stored) throws IOException {
    append(stored);
    flush();
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState local) throws IOException {
    appendAndFlush(
        StoredRecord.newBuilder()
            .setEndpoint(
                StoredEndpoint.newBuilder()
                    .setId((String) local.getLocalEndpoint().getId())
                    .setVoting(local.isVoting())));
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    appendAndFlush(StoredRecord.newBuilder().setInitialGroup(RaftRecordCodec.encodeGroup(members)));
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
    appendAndFlush(termRecord(term.getTerm(), term.getVotedFor()));
  }

  @Override
  public void persistLogEntries(List<LogEntry> entries) {
    for (LogEntry entry : entries) {
      append(StoredRecord.newBuilder().setEntry(RaftRecordCodec.encodeEntry(entry)));
    }
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) {
    append(StoredRecord.newBuilder().setChunk(RaftRecordCodec.encodeChunk(chunk)));
  }

  @Override
  public void truncateLogEntriesFrom(long index) {
    append(StoredRecord.newBuilder().setTruncateFrom(index));
  }

  /** Also compacts the record log by replacing it with a snapshot of the state. */
  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    appendAndFlush(StoredRecord.newBuilder().setTruncateUntil(index));
    log.snapshot(log.lastRecord(), ByteBuffer.wrap(state.toRecord().toByteArray()));
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) {
    append(StoredRecord.newBuilder().setDeleteChunks(index));
  }

  @Override
  public void flush() throws IOException {
    log.commit();
  }

  /** Closes the log and its directory; unflushed records are lost. */
  void close() {
    try {
      log.close();
      directory.close();
    } catch (IOException e) {
      // Ignored: flushed records are durable, and nothing more is written.
    }
  }
}
