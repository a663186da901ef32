package weldcross.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.AccessDeniedException;
import java.util.Arrays;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A storage directory in memory that tells durable content from content that a loss of power may
 * take, and injects the faults of real storage.
 */
public class FaultyStorageDirectory implements StorageDirectory {

  private static final int SECTOR = 64;

  /** A file's content as the process sees it, and as it was last forced. */
  private static final class Content {
    byte[] visible = new byte[0];
    byte[] durable = new byte[0];
  }

  private final SplittableRandom random;
  private TreeMap<String, Content> visible = new TreeMap<>();
  private TreeMap<String, Content> durable = new TreeMap<>();

  /** Free space: writes fail once they have written this many bytes altogether. */
  public long remainingBytes = Long.MAX_VALUE;

  /** Whether each force throws. */
  public boolean forceFails;

  /** Whether each force returns and makes nothing durable. */
  public boolean forceLies;

  /** Whether each read has one bit flipped. */
  public boolean readFlips;

  /** Whether files can neither be created nor written. */
  public boolean readOnly;

  /** Number of further steps that write, after which each throws. */
  public int failsAfter = Integer.MAX_VALUE;

  /**
   * Creates an empty directory.
   *
   * @param seed of what a loss of power takes and which bits are flipped
   */
  public FaultyStorageDirectory(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Loses power: names are as last forced, and any sectors of what was not forced may be lost. */
  public void loseBuffers() {
    TreeMap<String, Content> left = new TreeMap<>();
    durable.forEach(
        (name, content) -> {
          byte[] bytes =
              Arrays.copyOf(
                  content.durable,
                  Math.max(
                      content.durable.length,
                      random.nextBoolean() ? content.visible.length : content.durable.length));
          for (int at = 0; at < bytes.length; at += SECTOR) {
            int end = Math.min(at + SECTOR, Math.min(bytes.length, content.visible.length));
            if (end > at && random.nextBoolean()) {
              System.arraycopy(content.visible, at, bytes, at, end - at);
            }
          }
          Content after = new Content();
          after.visible = bytes;
          after.durable = bytes.clone();
          left.put(name, after);
        });
    visible = left;
    durable = new TreeMap<>(left);
  }

  /** The content of a file as the process sees it. */
  public byte[] bytes(String name) {
    return visible.get(name).visible;
  }

  /** Replaces a file by durable content. */
  public void set(String name, byte[] bytes) {
    Content content = new Content();
    content.visible = bytes.clone();
    content.durable = bytes.clone();
    visible.put(name, content);
    durable.put(name, content);
  }

  /** Replaces the storage by an empty one. */
  public void wipe() {
    visible = new TreeMap<>();
    durable = new TreeMap<>();
  }

  FaultyStorageDirectory copy() {
    FaultyStorageDirectory copy = new FaultyStorageDirectory(1);
    visible.forEach((name, content) -> copy.set(name, content.visible));
    return copy;
  }

  @Override
  public SortedSet<String> names() {
    return new TreeSet<>(visible.keySet());
  }

  /** Counts a call that writes, and throws where it is to fail. */
  private void step() throws IOException {
    if (--failsAfter < 0) {
      throw new IOException("failed");
    }
  }

  @Override
  public File open(String name) throws IOException {
    if (readOnly && !visible.containsKey(name)) {
      throw new AccessDeniedException(name);
    }
    Content content = visible.computeIfAbsent(name, n -> new Content());
    return new FaultyFile(name, content);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    step();
    visible.put(to, visible.remove(from));
  }

  @Override
  public void delete(String name) throws IOException {
    step();
    visible.remove(name);
  }

  @Override
  public void forceNames() throws IOException {
    step();
    if (!forceLies) {
      durable = new TreeMap<>(visible);
    }
  }

  @Override
  public void close() {}

  /** One open file. */
  private final class FaultyFile implements File {
    private final String name;
    private final Content content;

    FaultyFile(String name, Content content) {
      this.name = name;
      this.content = content;
    }

    @Override
    public long size() {
      return content.visible.length;
    }

    @Override
    public void read(long position, ByteBuffer into) {
      int count = Math.min(into.remaining(), content.visible.length - (int) position);
      int from = into.position();
      into.put(content.visible, (int) position, count);
      if (readFlips && count > 0) {
        int where = from + random.nextInt(count);
        into.put(where, (byte) (into.get(where) ^ 1 << random.nextInt(8)));
      }
    }

    @Override
    public void write(long position, ByteBuffer from) throws IOException {
      if (readOnly) {
        throw new AccessDeniedException(name);
      }
      step();
      int count = (int) Math.min(from.remaining(), remainingBytes);
      remainingBytes -= count;
      byte[] grown =
          Arrays.copyOf(content.visible, Math.max(content.visible.length, (int) position + count));
      from.get(grown, (int) position, count);
      content.visible = grown;
      if (from.hasRemaining()) {
        throw new IOException("full");
      }
    }

    @Override
    public void truncate(long size) {
      content.visible =
          Arrays.copyOf(content.visible, (int) Math.min(size, content.visible.length));
    }

    @Override
    public void force() throws IOException {
      step();
      if (forceFails) {
        throw new IOException("force failed");
      }
      if (!forceLies) {
        content.durable = content.visible.clone();
      }
    }

    @Override
    public void close() {}
  }
}
