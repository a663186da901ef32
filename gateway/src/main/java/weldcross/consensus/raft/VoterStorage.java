package weldcross.consensus.raft;

import java.io.IOException;
import weldcross.consensus.VoterRecovery;
import weldcross.storage.CorruptLogException;
import weldcross.storage.StorageDirectory;

/** Manages the life cycle of a voter's storage directory and the store in it. */
final class VoterStorage {

  private StorageDirectory directory;
  private PersistentRaftStore store;

  /**
   * Opens the store in a directory, which is closed together with the store.
   *
   * @throws CorruptLogException if a durable record cannot be read; the store may then be recreated
   *     with {@link #recreate}
   * @throws IOException if the directory cannot be read or written
   */
  PersistentRaftStore open(StorageDirectory storageDirectory) throws IOException {
    directory = storageDirectory;
    store = PersistentRaftStore.open(storageDirectory);
    return store;
  }

  /** Replaces the store in the open directory with an empty one. */
  PersistentRaftStore recreate() throws IOException {
    store = PersistentRaftStore.recreate(directory);
    return store;
  }

  /** Returns the open store; null if none is open. */
  PersistentRaftStore store() {
    return store;
  }

  /** Returns a summary of the log; {@link VoterRecovery.LogSummary#NONE} if no store is open. */
  VoterRecovery.LogSummary summary() {
    return store == null ? VoterRecovery.LogSummary.NONE : store.summary();
  }

  /** Closes the store and the directory, if open. */
  void close() {
    if (store != null) {
      store.close();
    } else if (directory != null) {
      try {
        directory.close();
      } catch (IOException e) {
        // Ignored: nothing was written since the directory was opened.
      }
    }
    store = null;
    directory = null;
  }
}
