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
import java.util.concurrent.locks.LockSupport;
import weldcross.storage.FileStorageDirectory;
import weldcross.storage.StorageDirectory;

/**
 * A storage directory with the faults that a file names at the moment of each call. It holds what
 * is not forced in the memory of the gateway's process, so that a kill loses it. The faults:
 *
 * <pre>
 * lie        a force reports success and does nothing
 * fail       a force fails
 * full       a write fails
 * slow=MS    a force takes so long
 * stuck      a force waits until the fault is gone
 * flip       a read has one wrong bit
 * torn       a force writes half of what it should, reports nothing and waits for ever
 * misdirect  a force writes what it should some bytes behind its place
 * </pre>
 */
public final class LyingStorageDirectory implements StorageDirectory {

  /** The system property with the path of the file of faults; without it there are none. */
  public static final String FAULTS_FILE = "weldcross.chaos.disk";

  /** How far a misdirected write is off. */
  private static final int MISDIRECTION_BYTES = 16;

  /** A higher priority than that of the default factory. */
  private static final int PRIORITY = 10;

  private static final long POLL_INTERVAL_NANOS = 5_000_000;

  /** Takes the place of the default factory. */
  public static final class Factory implements StorageDirectory.Factory {

    @Override
    public int priority() {
      return PRIORITY;
    }

    @Override
    public StorageDirectory open(Path directory) throws IOException {
      return new LyingStorageDirectory(
          new FileStorageDirectory.DefaultFactory().open(directory),
          System.getProperty(FAULTS_FILE));
    }
  }

  private final StorageDirectory real;
  private final Path faultsFile;
  private final SplittableRandom random = new SplittableRandom(7);

  /** Names as this process sees them, each with the file that holds it. */
  private final Map<String, StoredFile> files = new HashMap<>();

  /** Names that the real disk has under another or that are gone here, until names are forced. */
  private final Set<String> unforced = new HashSet<>();

  LyingStorageDirectory(StorageDirectory real, String faultsFile) throws IOException {
    this.real = real;
    this.faultsFile = faultsFile == null ? null : Path.of(faultsFile);
    for (String name : real.fileNames()) {
      files.put(name, new StoredFile(name));
    }
  }

  private Set<String> faults() {
    try {
      return faultsFile == null || !Files.exists(faultsFile)
          ? Set.of()
          : Set.copyOf(Arrays.asList(Files.readString(faultsFile).strip().split("\\s+")));
    } catch (IOException e) {
      return Set.of();
    }
  }

  private void applyDelays(Set<String> faults) throws IOException {
    for (String fault : faults) {
      if (fault.startsWith("slow=")) {
        LockSupport.parkNanos(Long.parseLong(fault.substring(5)) * 1_000_000);
      }
    }
    while (faults().contains("stuck")) {
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
    if (faults.contains("fail")) {
      throw new IOException("told to fail");
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
      unforced.add(name);
    }
    file.load();
    return new Handle(file);
  }

  @Override
  public void rename(String from, String to) {
    StoredFile file = files.remove(from);
    file.name = to;
    files.put(to, file);
    unforced.add(from);
    unforced.add(to);
  }

  @Override
  public void delete(String name) {
    files.remove(name);
    unforced.add(name);
  }

  /**
   * Names and what is durable of their files reach the real disk together, or not at all where it
   * lies.
   */
  @Override
  public void forceDirectory() throws IOException {
    Set<String> faults = faults();
    applyDelays(faults);
    if (faults.contains("lie")) {
      return;
    }
    for (String name : unforced) {
      StoredFile file = files.get(name);
      if (file != null) {
        file.place(name, faults);
      } else if (real.fileNames().contains(name)) {
        real.delete(name);
      }
    }
    unforced.clear();
    real.forceDirectory();
  }

  @Override
  public void close() throws IOException {
    real.close();
  }

  /** One file: as the process sees it, and as it was when last forced. */
  private final class StoredFile {
    String name;
    byte[] current;
    byte[] durable;

    StoredFile(String name) {
      this.name = name;
    }

    void load() throws IOException {
      if (current == null) {
        current = new byte[0];
        if (real.fileNames().contains(name)) {
          try (File file = real.open(name)) {
            ByteBuffer all = ByteBuffer.allocate((int) file.size());
            file.read(0, all);
            current = all.array();
          }
        }
        durable = current.clone();
      }
    }

    void force() throws IOException {
      Set<String> faults = faults();
      applyDelays(faults);
      if (faults.contains("lie")) {
        return;
      }
      durable = current.clone();
      if (!unforced.contains(name)) {
        place(name, faults);
      }
    }

    void place(String where, Set<String> faults) throws IOException {
      if (durable == null) {
        return;
      }
      try (File file = real.open(where)) {
        boolean torn = faults.contains("torn");
        int from = faults.contains("misdirect") ? Math.min(MISDIRECTION_BYTES, durable.length) : 0;
        int count = torn ? (durable.length + before(file)) / 2 : durable.length - from;
        file.truncate(durable.length);
        file.write(from, ByteBuffer.wrap(durable, 0, Math.min(count, durable.length)).slice());
        file.force();
        while (torn) {
          LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
      }
    }

    private int before(File file) throws IOException {
      return (int) Math.min(file.size(), durable.length);
    }
  }

  private final class Handle implements File {
    private final StoredFile file;

    Handle(StoredFile file) {
      this.file = file;
    }

    @Override
    public long size() {
      return file.current.length;
    }

    @Override
    public void read(long at, ByteBuffer into) {
      int count = Math.max(0, Math.min(into.remaining(), file.current.length - (int) at));
      int from = into.position();
      into.put(file.current, (int) at, count);
      if (count > 0 && faults().contains("flip")) {
        int where = from + random.nextInt(count);
        into.put(where, (byte) (into.get(where) ^ 1 << random.nextInt(8)));
      }
    }

    @Override
    public void write(long at, ByteBuffer from) throws IOException {
      if (faults().contains("full")) {
        throw new IOException("told to be full");
      }
      int count = from.remaining();
      byte[] grown = Arrays.copyOf(file.current, Math.max(file.current.length, (int) at + count));
      from.get(grown, (int) at, count);
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
