package weldcross.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.SortedSet;

/**
 * All that is asked of files, in one directory that nobody else uses while this is open. Found by
 * {@link java.util.ServiceLoader} through {@link Factory}, so that a disk that lies can be put on
 * the class path; the product holds {@link FileStorageDirectory} alone. Used by one thread at a
 * time.
 */
public interface StorageDirectory extends Closeable {

  /** Opens disks for directories. */
  interface Factory {

    /** Which of several is taken: the highest; the plain one has zero. */
    int rank();

    /**
     * @param directory made if absent, with all above it
     * @throws DirectoryInUse where another process or this one has it open
     * @throws IOException where it cannot be made, read or written
     */
    StorageDirectory open(java.nio.file.Path directory) throws IOException;
  }

  /** Names of all files, in their order. */
  SortedSet<String> names() throws IOException;

  /** Opens the file, which is made if absent; the name is one that {@link #names} could give. */
  File open(String name) throws IOException;

  /** The new name may be in use: it then means this file from one moment to the next. */
  void rename(String from, String to) throws IOException;

  void delete(String name) throws IOException;

  /**
   * Returns once names that were made, changed or deleted will be found so after a loss of power.
   */
  void forceNames() throws IOException;

  /** One open file. */
  interface File extends Closeable {

    long size() throws IOException;

    /** Reads up to the buffer's remaining bytes; fewer only where the file ends. */
    void read(long at, ByteBuffer into) throws IOException;

    /**
     * Writes all that remains in the buffer, or throws; then any part of it may have been written.
     */
    void write(long at, ByteBuffer from) throws IOException;

    void truncate(long size) throws IOException;

    /**
     * Returns once all that was written will be found after a loss of power; where it throws,
     * nothing is sure.
     */
    void force() throws IOException;
  }

  /** The directory is in use. */
  final class DirectoryInUse extends IOException {
    private static final long serialVersionUID = 1;

    public DirectoryInUse(String directory) {
      super("in use by another process: " + directory);
    }
  }
}
