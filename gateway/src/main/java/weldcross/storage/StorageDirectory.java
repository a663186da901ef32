package weldcross.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.SortedSet;

/**
 * The operations on files that a log needs, in one directory that has one user at a time.
 *
 * <p>Implementations are found by {@link java.util.ServiceLoader} through {@link Factory}, so that
 * one that injects faults can be put on the class path; the gateway itself has {@link
 * FileStorageDirectory} alone. Used by one thread at a time.
 */
public interface StorageDirectory extends Closeable {

  /** Opens storage directories; registered as a service. */
  interface Factory {

    /** Of several factories the one of the highest rank is used; the default one has zero. */
    int rank();

    /**
     * Opens a directory.
     *
     * @param directory created if absent, with its parents
     * @throws DirectoryInUseException where it is already open, in this process or another
     * @throws IOException where it cannot be created, read or written
     */
    StorageDirectory open(Path directory) throws IOException;
  }

  /** The names of all files, in their natural order. */
  SortedSet<String> names() throws IOException;

  /**
   * Opens a file, which is created if absent.
   *
   * @param name without path
   */
  File open(String name) throws IOException;

  /** Renames a file in one step, replacing one that has the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file, which must exist. */
  void delete(String name) throws IOException;

  /** Returns once created, renamed and deleted names are durable. */
  void forceNames() throws IOException;

  /** An open file. */
  interface File extends Closeable {

    /** The file's length in bytes. */
    long size() throws IOException;

    /**
     * Fills the buffer from a position on; it has bytes remaining only where the file ends.
     *
     * @param position in bytes from the file's start
     */
    void read(long position, ByteBuffer into) throws IOException;

    /**
     * Writes all remaining bytes of the buffer. Where it throws, any part may have been written.
     *
     * @param position in bytes from the file's start
     */
    void write(long position, ByteBuffer from) throws IOException;

    /** Cuts the file at a length in bytes; a shorter file stays as it is. */
    void truncate(long size) throws IOException;

    /** Returns once everything written is durable; where it throws, nothing is known of it. */
    void force() throws IOException;
  }
}
