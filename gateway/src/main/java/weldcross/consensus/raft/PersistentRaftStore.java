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
 * Stores a voter's Raft state as records of a {@link RecordLog}. Used on the voter's thread, which
 * waits for storage: the library acknowledges only what these methods have made durable.
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

  /** Rebuilds the state from what the log holds. */
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
   * Reads everything that is stored.
   *
   * @param directory closed with the store, not where this method throws
   * @throws CorruptLogException where a durable record cannot be read
   * @throws IOException where the directory cannot be read or written
   */
  static PersistentRaftStore open(StorageDirectory directory) throws IOException {
    return new PersistentRaftStore(directory);
  }

  /** Deletes everything that is stored, and opens an empty store. */
  static PersistentRaftStore recreate(StorageDirectory directory) throws IOException {
    for (String name : List.copyOf(directory.fileNames())) {
      directory.delete(name);
    }
    directory.forceDirectory();
    return open(directory);
  }

  /** Number of bytes of an unfinished write that opening has cut from the end of the log. */
  long tornBytes() {
    return log.recovered().tornBytes();
  }

  /** Summary to compare with what other voters know. */
  VoterRecovery.LogSummary summary() {
    return state.summary();
  }

  /** The term of the entry of this index; zero where it is not stored, or not any more. */
  int termAt(long index) {
    return state.termAt(index);
  }

  /** The state from which a node of the Raft library starts. */
  RestoredRaftState restore() {
    return state.restore();
  }

  /**
   * Stores the first state of an identity.
   *
   * @param founders ids of the group's first members
   * @param voting whether the identity votes from its start on
   * @param usedTerm the highest term in which it may have voted; zero where there is none
   */
  void initialize(VoterId self, List<String> founders, boolean voting, int usedTerm)
      throws IOException {
    append(
        StoredRecord.newBuilder()
            .setEndpoint(StoredEndpoint.newBuilder().setId(self.getId()).setVoting(voting)));
    append(
        StoredRecord.newBuilder()
            .setInitialGroup(
                VoterGroup.newBuilder().addAllMembers(founders).addAllVoting(founders)));
    if (usedTerm > 0) {
      append(termRecord(usedTerm, self));
    }
    flush();
  }

  /** Marks a term and those before as voted in, so that the voter casts no second vote there. */
  void useUpTerm(int term, VoterId self) throws IOException {
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

  /** Also replaces the whole record log by a snapshot of the state, so that it stays short. */
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

  /** Closes the log and its directory; what was not flushed is lost. */
  void close() {
    try {
      log.close();
      directory.close();
    } catch (IOException e) {
      // Flushed records are durable, and nothing more is written.
    }
  }
}
