package weldcross.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.SortedSet;

/**
 * The file operations that a log needs, within one directory that has a single user at a time.
 *
 * <p>Implementations are discovered by {@link java.util.ServiceLoader} through {@link Factory}, so
 * that tests can add one to the class path that injects faults; the gateway itself contains only
 * {@link FileStorageDirectory}. Not thread-safe.
 */
public interface StorageDirectory extends Closeable {

  /** Opens storage directories; registered as a service provider. */
  interface Factory {

    /** Returns the priority; the factory with the highest one is used, the default has zero. */
    int priority();

    /**
     * Opens a directory.
     *
     * @param directory path of the directory, which is created with its parents if absent
     * @throws DirectoryInUseException if it is already open, in this process or another
     * @throws IOException if it cannot be created, read or written
     */
    StorageDirectory open(Path directory) throws IOException;
  }

  /** Returns the names of all files in natural order. */
  SortedSet<String> fileNames() throws IOException;

  /**
   * Opens a file, which is created if absent.
   *
   * @param name file name without a path
   */
  File open(String name) throws IOException;

  /** Renames a file atomically, replacing any existing file with the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes an existing file. */
  void delete(String name) throws IOException;

  /** Makes the creation, renaming and deletion of files durable. */
  void forceDirectory() throws IOException;

  /** An open file. */
  interface File extends Closeable {

    /** Returns the length of the file in bytes. */
    long size() throws IOException;

    /**
     * Reads into the buffer until it is full or the end of the file is reached.
     *
     * @param position byte offset in the file
     */
    void read(long position, ByteBuffer into) throws IOException;

    /**
     * Writes all remaining bytes of the buffer. If it throws, any part of them may have been
     * written.
     *
     * @param position byte offset in the file
     */
    void write(long position, ByteBuffer from) throws IOException;

    /** Truncates the file to a length in bytes; a shorter file is not changed. */
    void truncate(long size) throws IOException;

    /** Makes all written data durable; if it throws, it is unknown which data is durable. */
    void force() throws IOException;
  }
}
