package weldcross.chaos.agent;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import weldcross.storage.FileStorageDirectory;
import weldcross.storage.StorageDirectory;

/**
 * A storage directory that injects faults into the directory it wraps. The active faults are read
 * from a file on each call. Data that has not been forced is held only in the memory of the gateway
 * process, so that killing the process loses it. The faults:
 *
 * <pre>
 * lie        force reports success without writing anything
 * fail       force throws an exception
 * full       write throws an exception
 * slow=MS    force takes MS milliseconds longer
 * stuck      force blocks until the fault is removed
 * flip       read returns data with one flipped bit
 * torn       force writes half of the new data and then never returns
 * misdirect  force writes the data at an offset some bytes too high
 * </pre>
 */
public final class FaultInjectingStorageDirectory implements StorageDirectory {

  /** The system property with the path of the faults file; if unset, no faults are injected. */
  public static final String FAULTS_FILE_PROPERTY = "weldcross.chaos.disk";

  private static final String LYING_FORCE = "lie";
  private static final String FAILED_FORCE = "fail";
  private static final String DISK_FULL = "full";
  private static final String SLOW_FORCE_PREFIX = "slow=";
  private static final String STUCK_FORCE = "stuck";
  private static final String FLIPPED_BIT = "flip";
  private static final String TORN_WRITE = "torn";
  private static final String MISDIRECTED_WRITE = "misdirect";

  /** The offset error of a misdirected write. */
  private static final int MISDIRECTION_BYTES = 16;

  /** Above the rank of the default factory, which this one replaces. */
  private static final int FACTORY_RANK = 10;

  private static final long RANDOM_SEED = 7;

  private static final long POLL_INTERVAL_NANOS = 5_000_000;

  /** Wraps the default storage directory; preferred over the default factory. */
  public static final class Factory implements StorageDirectory.Factory {

    @Override
    public int priority() {
      return FACTORY_RANK;
    }

    @Override
    public StorageDirectory open(Path directory) throws IOException {
      return new FaultInjectingStorageDirectory(
          new FileStorageDirectory.DefaultFactory().open(directory),
          System.getProperty(FAULTS_FILE_PROPERTY));
    }
  }

  private final StorageDirectory delegate;
  private final Path faultsFile;
  private final SplittableRandom random = new SplittableRandom(RANDOM_SEED);

  /** The files as this process sees them, by name. */
  private final Map<String, StoredFile> files = new HashMap<>();

  /** Names created, renamed or deleted since {@link #forceDirectory} last took effect. */
  private final Set<String> unforcedNames = new HashSet<>();

  FaultInjectingStorageDirectory(StorageDirectory delegate, String faultsFile) throws IOException {
    this.delegate = delegate;
    this.faultsFile = faultsFile == null ? null : Path.of(faultsFile);
    for (String name : delegate.fileNames()) {
      files.put(name, new StoredFile(name));
    }
  }

  private Set<String> readFaults() {
    try {
      return faultsFile == null || !Files.exists(faultsFile)
          ? Set.of()
          : Set.copyOf(Arrays.asList(Files.readString(faultsFile).strip().split("\\s+")));
    } catch (IOException e) {
      return Set.of();
    }
  }

  private void applyForceFaults(Set<String> faults) throws IOException {
    for (String fault : faults) {
      if (fault.startsWith(SLOW_FORCE_PREFIX)) {
        long millis = Long.parseLong(fault.substring(SLOW_FORCE_PREFIX.length()));
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
      }
    }
    while (readFaults().contains(STUCK_FORCE)) {
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
    if (faults.contains(FAILED_FORCE)) {
      throw new IOException("injected fault: force failed");
    }
  }

  @Override
  public SortedSet<String> fileNames() {
    return new TreeSet<>(files.keySet());
  }

  @Override
  public File open(String name) throws IOException {
    StoredFile file = files.get(name);
    if (file == null) {
      file = new StoredFile(name);
      files.put(name, file);
      unforcedNames.add(name);
    }
    file.load();
    return new StoredFileHandle(file);
  }

  @Override
  public void rename(String from, String to) {
    StoredFile file = files.remove(from);
    file.name = to;
    files.put(to, file);
    unforcedNames.add(from);
    unforcedNames.add(to);
  }

  @Override
  public void delete(String name) {
    files.remove(name);
    unforcedNames.add(name);
  }

  /**
   * Applies the changes of names and the forced content of the files concerned to the wrapped
   * directory, or none of them while the {@code lie} fault is active.
   */
  @Override
  public void forceDirectory() throws IOException {
    Set<String> faults = readFaults();
    applyForceFaults(faults);
    if (faults.contains(LYING_FORCE)) {
      return;
    }
    for (String name : unforcedNames) {
      StoredFile file = files.get(name);
      if (file != null) {
        file.writeThrough(name, faults);
      } else if (delegate.fileNames().contains(name)) {
        delegate.delete(name);
      }
    }
    unforcedNames.clear();
    delegate.forceDirectory();
  }

  @Override
  public void close() throws IOException {
    delegate.close();
  }

  /** One file: its current content, and its content when it was last forced. */
  private final class StoredFile {
    String name;
    byte[] current;
    byte[] forced;

    StoredFile(String name) {
      this.name = name;
    }

    void load() throws IOException {
      if (current == null) {
        current = new byte[0];
        if (delegate.fileNames().contains(name)) {
          try (File file = delegate.open(name)) {
            ByteBuffer all = ByteBuffer.allocate((int) file.size());
            file.read(0, all);
            current = all.array();
          }
        }
        forced = current.clone();
      }
    }

    void force() throws IOException {
      Set<String> faults = readFaults();
      applyForceFaults(faults);
      if (faults.contains(LYING_FORCE)) {
        return;
      }
      forced = current.clone();
      if (!unforcedNames.contains(name)) {
        writeThrough(name, faults);
      }
    }

    void writeThrough(String target, Set<String> faults) throws IOException {
      if (forced == null) {
        return;
      }
      try (File file = delegate.open(target)) {
        boolean torn = faults.contains(TORN_WRITE);
        int offset =
            faults.contains(MISDIRECTED_WRITE) ? Math.min(MISDIRECTION_BYTES, forced.length) : 0;
        int count = torn ? (forced.length + previousLength(file)) / 2 : forced.length - offset;
        file.truncate(forced.length);
        file.write(offset, ByteBuffer.wrap(forced, 0, Math.min(count, forced.length)).slice());
        file.force();
        while (torn) {
          LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
      }
    }

    private int previousLength(File file) throws IOException {
      return (int) Math.min(file.size(), forced.length);
    }
  }

  private final class StoredFileHandle implements File {
    private final StoredFile file;

    StoredFileHandle(StoredFile file) {
      this.file = file;
    }

    @Override
    public long size() {
      return file.current.length;
    }

    @Override
    public void read(long offset, ByteBuffer into) {
      int count = Math.max(0, Math.min(into.remaining(), file.current.length - (int) offset));
      int start = into.position();
      into.put(file.current, (int) offset, count);
      if (count > 0 && readFaults().contains(FLIPPED_BIT)) {
        int index = start + random.nextInt(count);
        into.put(index, (byte) (into.get(index) ^ 1 << random.nextInt(Byte.SIZE)));
      }
    }

    @Override
    public void write(long offset, ByteBuffer from) throws IOException {
      if (readFaults().contains(DISK_FULL)) {
        throw new IOException("injected fault: disk full");
      }
      int count = from.remaining();
      byte[] grown =
          Arrays.copyOf(file.current, Math.max(file.current.length, (int) offset + count));
      from.get(grown, (int) offset, count);
      file.current = grown;
    }

    @Override
    public void truncate(long size) {
      file.current = Arrays.copyOf(file.current, (int) Math.min(size, file.current.length));
    }

    @Override
    public void force() throws IOException {
      file.force();
    }

    @Override
    public void close() {}
  }
}
