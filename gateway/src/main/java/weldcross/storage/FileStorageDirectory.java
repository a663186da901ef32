package weldcross.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A directory of the file system. A lock file gives one process exclusive access; it is not part of
 * the stored data and is not listed among the file names.
 */
public final class FileStorageDirectory implements StorageDirectory {

  private static final String LOCK_FILE = "lock";

  private final Path directory;
  private final FileChannel lockFile;
  private final FileLock lock;

  private FileStorageDirectory(Path directory) throws IOException {
    this.directory = directory;
    Files.createDirectories(directory);
    lockFile =
        FileChannel.open(
            directory.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    Optional<FileLock> acquired = tryLock(lockFile);
    if (acquired.isEmpty()) {
      lockFile.close();
      throw new DirectoryInUseException(directory.toString());
    }
    lock = acquired.get();
  }

  private static Optional<FileLock> tryLock(FileChannel file) throws IOException {
    try {
      return Optional.ofNullable(file.tryLock());
    } catch (OverlappingFileLockException e) {
      return Optional.empty();
    }
  }

  /**
   * Opens a directory with the registered factory of the highest priority.
   *
   * @param directory path of the directory, which is created with its parents if absent
   * @throws DirectoryInUseException if it is already open, in this process or another
   * @throws IOException if it cannot be created, read or written
   */
  public static StorageDirectory openDirectory(Path directory) throws IOException {
    return ServiceLoader.load(Factory.class).stream()
        .map(ServiceLoader.Provider::get)
        .max(Comparator.comparingInt(Factory::priority))
        .orElseGet(DefaultFactory::new)
        .open(directory);
  }

  /** The default factory, of priority zero. */
  public static final class DefaultFactory implements Factory {

    @Override
    public int priority() {
      return 0;
    }

    @Override
    public StorageDirectory open(Path directory) throws IOException {
      return new FileStorageDirectory(directory);
    }
  }

  @Override
  public SortedSet<String> fileNames() throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files
          .map(path -> path.getFileName().toString())
          .filter(name -> !name.equals(LOCK_FILE))
          .collect(Collectors.toCollection(TreeSet::new));
    }
  }

  @Override
  public File open(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            directory.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE);
    return new ChannelFile(channel);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.delete(directory.resolve(name));
  }

  @Override
  public void forceDirectory() throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    lock.release();
    lockFile.close();
  }

  private record ChannelFile(FileChannel channel) implements File {

    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public void read(long position, ByteBuffer into) throws IOException {
      for (long from = position; into.hasRemaining(); ) {
        int read = channel.read(into, from);
        if (read < 0) {
          return;
        }
        from += read;
      }
    }

    @Override
    public void write(long position, ByteBuffer from) throws IOException {
      for (long to = position; from.hasRemaining(); ) {
        to += channel.write(from, to);
      }
    }

    @Override
    public void truncate(long size) throws IOException {
      channel.truncate(size);
    }

    @Override
    public void force() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
