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
 * Within a gateway of a trial: a disk that keeps what is not forced in the process's memory, so
 * that a kill loses it, and that does wrong what a file of words tells at the moment of each call:
 *
 * <pre>
 * lie        a force says yes and does nothing
 * fail       a force fails
 * full       a write fails
 * slow=MS    a force takes so long
 * stuck      a force waits until the word is gone
 * flip       a read has one wrong bit
 * torn       a force writes half of what it should, says nothing and waits for ever
 * misdirect  a force writes what it should some bytes behind its place
 * </pre>
 */
public final class LyingStorageDirectory implements StorageDirectory {

  /** The path of the file of words; without it the disk is honest. */
  public static final String FAULTS_FILE = "weldcross.chaos.disk";

  private static final int ASIDE = 16;

  /** Takes the place of the plain disk. */
  public static final class Factory implements StorageDirectory.Factory {

    @Override
    public int rank() {
      return 10;
    }

    @Override
    public StorageDirectory open(Path directory) throws IOException {
      return new LyingStorageDirectory(
          new FileStorageDirectory.Plain().open(directory), System.getProperty(FAULTS_FILE));
    }
  }

  private final StorageDirectory real;
  private final Path words;
  private final SplittableRandom random = new SplittableRandom(7);

  /** Names as this process sees them, each with the file that holds it. */
  private final Map<String, Kept> seen = new HashMap<>();

  /** Names that the real disk has under another or that are gone here, until names are forced. */
  private final Set<String> unforced = new HashSet<>();

  LyingStorageDirectory(StorageDirectory real, String words) throws IOException {
    this.real = real;
    this.words = words == null ? null : Path.of(words);
    for (String name : real.names()) {
      seen.put(name, new Kept(name));
    }
  }

  private Set<String> told() {
    try {
      return words == null || !Files.exists(words)
          ? Set.of()
          : Set.copyOf(Arrays.asList(Files.readString(words).strip().split("\\s+")));
    } catch (IOException e) {
      return Set.of();
    }
  }

  private void obey(Set<String> told) throws IOException {
    for (String word : told) {
      if (word.startsWith("slow=")) {
        LockSupport.parkNanos(Long.parseLong(word.substring(5)) * 1_000_000);
      }
    }
    while (told().contains("stuck")) {
      LockSupport.parkNanos(5_000_000);
    }
    if (told.contains("fail")) {
      throw new IOException("told to fail");
    }
  }

  @Override
  public SortedSet<String> names() {
    return new TreeSet<>(seen.keySet());
  }

  @Override
  public File open(String name) throws IOException {
    Kept kept = seen.get(name);
    if (kept == null) {
      kept = new Kept(name);
      seen.put(name, kept);
      unforced.add(name);
    }
    kept.load();
    return new Handle(kept);
  }

  @Override
  public void rename(String from, String to) {
    Kept kept = seen.remove(from);
    kept.name = to;
    seen.put(to, kept);
    unforced.add(from);
    unforced.add(to);
  }

  @Override
  public void delete(String name) {
    seen.remove(name);
    unforced.add(name);
  }

  /**
   * Names and what is sure of their files reach the real disk together, or not at all where it
   * lies.
   */
  @Override
  public void forceNames() throws IOException {
    Set<String> told = told();
    obey(told);
    if (told.contains("lie")) {
      return;
    }
    for (String name : unforced) {
      Kept kept = seen.get(name);
      if (kept != null) {
        kept.place(name, told);
      } else if (real.names().contains(name)) {
        real.delete(name);
      }
    }
    unforced.clear();
    real.forceNames();
  }

  @Override
  public void close() throws IOException {
    real.close();
  }

  /** One file: as the process sees it, and as it was when last forced. */
  private final class Kept {
    String name;
    byte[] now;
    byte[] sure;

    Kept(String name) {
      this.name = name;
    }

    void load() throws IOException {
      if (now == null) {
        now = new byte[0];
        if (real.names().contains(name)) {
          try (File file = real.open(name)) {
            ByteBuffer all = ByteBuffer.allocate((int) file.size());
            file.read(0, all);
            now = all.array();
          }
        }
        sure = now.clone();
      }
    }

    void force() throws IOException {
      Set<String> told = told();
      obey(told);
      if (told.contains("lie")) {
        return;
      }
      sure = now.clone();
      if (!unforced.contains(name)) {
        place(name, told);
      }
    }

    void place(String where, Set<String> told) throws IOException {
      if (sure == null) {
        return;
      }
      try (File file = real.open(where)) {
        boolean torn = told.contains("torn");
        int from = told.contains("misdirect") ? Math.min(ASIDE, sure.length) : 0;
        int count = torn ? (sure.length + before(file)) / 2 : sure.length - from;
        file.truncate(sure.length);
        file.write(from, ByteBuffer.wrap(sure, 0, Math.min(count, sure.length)).slice());
        file.force();
        while (torn) {
          LockSupport.parkNanos(5_000_000);
        }
      }
    }

    private int before(File file) throws IOException {
      return (int) Math.min(file.size(), sure.length);
    }
  }

  private final class Handle implements File {
    private final Kept kept;

    Handle(Kept kept) {
      this.kept = kept;
    }

    @Override
    public long size() {
      return kept.now.length;
    }

    @Override
    public void read(long at, ByteBuffer into) {
      int count = Math.max(0, Math.min(into.remaining(), kept.now.length - (int) at));
      int from = into.position();
      into.put(kept.now, (int) at, count);
      if (count > 0 && told().contains("flip")) {
        int where = from + random.nextInt(count);
        into.put(where, (byte) (into.get(where) ^ 1 << random.nextInt(8)));
      }
    }

    @Override
    public void write(long at, ByteBuffer from) throws IOException {
      if (told().contains("full")) {
        throw new IOException("told to be full");
      }
      int count = from.remaining();
      byte[] grown = Arrays.copyOf(kept.now, Math.max(kept.now.length, (int) at + count));
      from.get(grown, (int) at, count);
      kept.now = grown;
    }

    @Override
    public void truncate(long size) {
      kept.now = Arrays.copyOf(kept.now, (int) Math.min(size, kept.now.length));
    }

    @Override
    public void force() throws IOException {
      kept.force();
    }

    @Override
    public void close() {}
  }
}
