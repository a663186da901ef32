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
 * An in-memory storage directory that distinguishes durable content from content that a power
 * failure may lose, and injects storage faults.
 */
public class FaultyStorageDirectory implements StorageDirectory {

  private static final int SECTOR_BYTES = 64;

  /** Content of a file as the process sees it, and as of the last force. */
  private static final class Content {
    byte[] visible = new byte[0];
    byte[] durable = new byte[0];
  }

  private final SplittableRandom random;
  private TreeMap<String, Content> visible = new TreeMap<>();
  private TreeMap<String, Content> durable = new TreeMap<>();

  /** Free space in bytes; a write that exceeds it is partial and fails. */
  public long remainingBytes = Long.MAX_VALUE;

  /** Whether each force of a file throws. */
  public boolean failForce;

  /** Whether each force succeeds without making anything durable. */
  public boolean ignoreForce;

  /** Whether one bit is flipped in each read. */
  public boolean flipBitsOnRead;

  /** Whether creating and writing files fails. */
  public boolean readOnly;

  /** Number of further modifying operations that succeed, after which each throws. */
  public int operationsBeforeFailure = Integer.MAX_VALUE;

  /**
   * Creates an empty directory.
   *
   * @param seed seed of the choice of lost sectors and flipped bits
   */
  public FaultyStorageDirectory(long seed) {
    random = new SplittableRandom(seed);
  }

  /**
   * Restores the file names as of the last force of the directory; of content that was not forced,
   * a random set of sectors is lost.
   */
  public void simulatePowerLoss() {
    TreeMap<String, Content> surviving = new TreeMap<>();
    durable.forEach(
        (name, content) -> {
          byte[] bytes =
              Arrays.copyOf(
                  content.durable,
                  Math.max(
                      content.durable.length,
                      random.nextBoolean() ? content.visible.length : content.durable.length));
          for (int at = 0; at < bytes.length; at += SECTOR_BYTES) {
            int end = Math.min(at + SECTOR_BYTES, Math.min(bytes.length, content.visible.length));
            if (end > at && random.nextBoolean()) {
              System.arraycopy(content.visible, at, bytes, at, end - at);
            }
          }
          Content after = new Content();
          after.visible = bytes;
          after.durable = bytes.clone();
          surviving.put(name, after);
        });
    visible = surviving;
    durable = new TreeMap<>(surviving);
  }

  /** Returns the content of a file as the process sees it. */
  public byte[] visibleBytes(String name) {
    return visible.get(name).visible;
  }

  /** Creates or replaces a file with durable content. */
  public void putDurable(String name, byte[] bytes) {
    Content content = new Content();
    content.visible = bytes.clone();
    content.durable = bytes.clone();
    visible.put(name, content);
    durable.put(name, content);
  }

  /** Removes all files durably. */
  public void clear() {
    visible = new TreeMap<>();
    durable = new TreeMap<>();
  }

  FaultyStorageDirectory copy() {
    FaultyStorageDirectory copy = new FaultyStorageDirectory(1);
    visible.forEach((name, content) -> copy.putDurable(name, content.visible));
    return copy;
  }

  @Override
  public SortedSet<String> fileNames() {
    return new TreeSet<>(visible.keySet());
  }

  /** Counts a modifying operation; throws if it is to fail. */
  private void countOperation() throws IOException {
    if (--operationsBeforeFailure < 0) {
      throw new IOException("injected failure");
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
    countOperation();
    visible.put(to, visible.remove(from));
  }

  @Override
  public void delete(String name) throws IOException {
    countOperation();
    visible.remove(name);
  }

  @Override
  public void forceDirectory() throws IOException {
    countOperation();
    if (!ignoreForce) {
      durable = new TreeMap<>(visible);
    }
  }

  @Override
  public void close() {}

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
      if (flipBitsOnRead && count > 0) {
        int index = from + random.nextInt(count);
        into.put(index, (byte) (into.get(index) ^ 1 << random.nextInt(8)));
      }
    }

    @Override
    public void write(long position, ByteBuffer from) throws IOException {
      if (readOnly) {
        throw new AccessDeniedException(name);
      }
      countOperation();
      int count = (int) Math.min(from.remaining(), remainingBytes);
      remainingBytes -= count;
      byte[] extended =
          Arrays.copyOf(content.visible, Math.max(content.visible.length, (int) position + count));
      from.get(extended, (int) position, count);
      content.visible = extended;
      if (from.hasRemaining()) {
        throw new IOException("injected: storage is full");
      }
    }

    @Override
    public void truncate(long size) {
      content.visible =
          Arrays.copyOf(content.visible, (int) Math.min(size, content.visible.length));
    }

    @Override
    public void force() throws IOException {
      countOperation();
      if (failForce) {
        throw new IOException("injected: force failed");
      }
      if (!ignoreForce) {
        content.durable = content.visible.clone();
      }
    }

    @Override
    public void close() {}
  }
}
