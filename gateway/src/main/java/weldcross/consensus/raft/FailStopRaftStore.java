package weldcross.consensus.raft;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/**
 * Forwards the writes of one Raft node until the first failure, which is reported; every later
 * write then fails immediately, because the stored state after a failed write is unknown until it
 * is read again.
 */
final class FailStopRaftStore implements RaftStore {

  private interface Write {
    void run() throws IOException;
  }

  private final RaftStore store;
  private final Consumer<IOException> onFailure;
  private boolean failed;
  private boolean detached;

  /**
   * Creates a guard for the writes to a store.
   *
   * @param onFailure called at most once, from within the failing write
   */
  FailStopRaftStore(RaftStore store, Consumer<IOException> onFailure) {
    this.store = store;
    this.onFailure = onFailure;
  }

  /** Discards all later writes; their node has been terminated and acknowledges nothing more. */
  void detach() {
    detached = true;
  }

  private void guard(Write write) throws IOException {
    if (detached) {
      return;
    }
    if (failed) {
      throw new IOException("write rejected, as an earlier write to the voter's store failed");
    }
    try {
      write.run();
    } catch (IOException e) {
      failed = true;
      onFailure.accept(e);
      throw e;
    }
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
    guard(() -> store.persistAndFlushLocalEndpoint(state));
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    guard(() -> store.persistAndFlushInitialGroupMembers(members));
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
    guard(() -> store.persistAndFlushTerm(state));
  }

  @Override
  public void persistLogEntries(List<LogEntry> entries) throws IOException {
    guard(() -> store.persistLogEntries(entries));
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    guard(() -> store.persistSnapshotChunk(chunk));
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    guard(() -> store.truncateLogEntriesFrom(index));
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    guard(() -> store.truncateLogEntriesUntil(index));
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) throws IOException {
    guard(() -> store.deleteSnapshotChunks(index, count));
  }

  @Override
  public void flush() throws IOException {
    guard(store::flush);
  }
}
