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
import java.util.ServiceLoader;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Stream;

/** A directory of the file system as it is. */
public final class FileStorageDirectory implements StorageDirectory {

  private static final String LOCK = "lock";

  private final Path directory;
  private final FileChannel lockFile;
  private final FileLock lock;

  private FileStorageDirectory(Path directory) throws IOException {
    this.directory = directory;
    Files.createDirectories(directory);
    lockFile =
        FileChannel.open(
            directory.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    lock = lock(lockFile);
    if (lock == null) {
      lockFile.close();
      throw new DirectoryInUse(directory.toString());
    }
  }

  private static FileLock lock(FileChannel file) throws IOException {
    try {
      return file.tryLock();
    } catch (OverlappingFileLockException e) {
      return null;
    }
  }

  /** The disk for a directory: the one of the highest rank that the class path has. */
  public static StorageDirectory at(Path directory) throws IOException {
    return ServiceLoader.load(Factory.class).stream()
        .map(ServiceLoader.Provider::get)
        .max(Comparator.comparingInt(Factory::rank))
        .orElseGet(Plain::new)
        .open(directory);
  }

  /** Opens directories as they are. */
  public static final class Plain implements Factory {

    @Override
    public int rank() {
      return 0;
    }

    @Override
    public StorageDirectory open(Path directory) throws IOException {
      return new FileStorageDirectory(directory);
    }
  }

  @Override
  public SortedSet<String> names() throws IOException {
    try (Stream<Path> all = Files.list(directory)) {
      SortedSet<String> names = new TreeSet<>();
      all.map(p -> p.getFileName().toString()).filter(n -> !n.equals(LOCK)).forEach(names::add);
      return names;
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
    return new PlainFile(channel);
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
  public void forceNames() throws IOException {
    try (FileChannel names = FileChannel.open(directory, StandardOpenOption.READ)) {
      names.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    lock.release();
    lockFile.close();
  }

  private record PlainFile(FileChannel channel) implements File {

    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public void read(long at, ByteBuffer into) throws IOException {
      for (long from = at; into.hasRemaining(); ) {
        int read = channel.read(into, from);
        if (read < 0) {
          return;
        }
        from += read;
      }
    }

    @Override
    public void write(long at, ByteBuffer from) throws IOException {
      for (long to = at; from.hasRemaining(); ) {
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
