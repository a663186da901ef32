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

/** The same store; tells of the first failure, after which nothing more is taken. */
final class FailStopRaftStore implements RaftStore {

  private interface Step {
    void run() throws IOException;
  }

  private final RaftStore store;
  private final Consumer<IOException> failed;
  private boolean over, ended;

  FailStopRaftStore(RaftStore store, Consumer<IOException> failed) {
    this.store = store;
    this.failed = failed;
  }

  /** The node that writes here is ended and says nothing more: what it still writes is dropped. */
  void end() {
    ended = true;
  }

  private void guard(Step step) throws IOException {
    if (ended) {
      return;
    }
    if (over) {
      throw new IOException("nothing more is taken");
    }
    try {
      step.run();
    } catch (IOException e) {
      over = true;
      failed.accept(e);
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
