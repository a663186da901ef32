package weldcross.consensus.raft;

import java.io.IOException;
import weldcross.consensus.VoterRecovery;
import weldcross.storage.CorruptLogException;
import weldcross.storage.StorageDirectory;

/** A voter's directory and the store in it, from being opened to being closed. */
final class VoterStorage {

  private StorageDirectory directory;
  private PersistentRaftStore store;

  /**
   * Opens the store of a directory, which is closed with it.
   *
   * @throws CorruptLogException where a durable record cannot be read; {@link #recreate} may follow
   * @throws IOException where the directory cannot be read or written
   */
  PersistentRaftStore open(StorageDirectory opened) throws IOException {
    directory = opened;
    store = PersistentRaftStore.open(opened);
    return store;
  }

  /** Replaces what is stored in the open directory by an empty store. */
  PersistentRaftStore recreate() throws IOException {
    store = PersistentRaftStore.recreate(directory);
    return store;
  }

  /** The open store; null where it was never opened, or has been closed. */
  PersistentRaftStore store() {
    return store;
  }

  /** Summary of the stored log; {@link VoterRecovery.LogSummary#NONE} where no store is open. */
  VoterRecovery.LogSummary summary() {
    return store == null ? VoterRecovery.LogSummary.NONE : store.summary();
  }

  /** Closes whatever is open. */
  void close() {
    if (store != null) {
      store.close();
    } else if (directory != null) {
      try {
        directory.close();
      } catch (IOException e) {
        // Nothing was written since it was opened.
      }
    }
    store = null;
    directory = null;
  }
}
