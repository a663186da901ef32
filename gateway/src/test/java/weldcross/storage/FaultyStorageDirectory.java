package weldcross.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A directory in memory that knows what is sure and what is not, and can fail or lie in each way
 * that disks do.
 */
public class FaultyStorageDirectory implements StorageDirectory {

  private static final int SECTOR = 64;

  /** One file: as the process sees it, and as it was when last forced. */
  private static final class Content {
    byte[] seen = new byte[0];
    byte[] sure = new byte[0];
  }

  private final SplittableRandom random;
  private TreeMap<String, Content> seen = new TreeMap<>();
  private TreeMap<String, Content> sure = new TreeMap<>();

  /**
   * Writes take no more than this altogether; a force fails, or says yes and does nothing; a read
   * flips a bit.
   */
  public long room = Long.MAX_VALUE;

  public boolean forceFails, forceLies, readFlips;

  /**
   * Names cannot be made, changed or deleted, as where a directory may only be read; the step that
   * fails next.
   */
  public boolean readOnly;

  public int failsAfter = Integer.MAX_VALUE;
  int forces;

  public FaultyStorageDirectory(long seed) {
    random = new SplittableRandom(seed);
  }

  /**
   * Power is lost: names are as last forced, and of what was not forced any sectors may be there.
   */
  public void loseBuffers() {
    TreeMap<String, Content> left = new TreeMap<>();
    sure.forEach(
        (name, content) -> {
          byte[] bytes =
              Arrays.copyOf(
                  content.sure,
                  Math.max(
                      content.sure.length,
                      random.nextBoolean() ? content.seen.length : content.sure.length));
          for (int at = 0; at < bytes.length; at += SECTOR) {
            int end = Math.min(at + SECTOR, Math.min(bytes.length, content.seen.length));
            if (end > at && random.nextBoolean()) {
              System.arraycopy(content.seen, at, bytes, at, end - at);
            }
          }
          Content after = new Content();
          after.seen = bytes;
          after.sure = bytes.clone();
          left.put(name, after);
        });
    seen = left;
    sure = new TreeMap<>(left);
  }

  public byte[] bytes(String name) {
    return seen.get(name).seen;
  }

  /** The file is this, and sure. */
  public void set(String name, byte[] bytes) {
    Content content = new Content();
    content.seen = bytes.clone();
    content.sure = bytes.clone();
    seen.put(name, content);
    sure.put(name, content);
  }

  /** Another disk in its place. */
  public void wipe() {
    seen = new TreeMap<>();
    sure = new TreeMap<>();
  }

  FaultyStorageDirectory copy() {
    FaultyStorageDirectory copy = new FaultyStorageDirectory(1);
    seen.forEach((name, content) -> copy.set(name, content.seen));
    return copy;
  }

  @Override
  public SortedSet<String> names() {
    return new TreeSet<>(seen.keySet());
  }

  /** One more call that writes. */
  private void step() throws IOException {
    if (--failsAfter < 0) {
      throw new IOException("failed");
    }
  }

  @Override
  public File open(String name) throws IOException {
    if (readOnly && !seen.containsKey(name)) {
      throw new java.nio.file.AccessDeniedException(name);
    }
    Content content = seen.computeIfAbsent(name, n -> new Content());
    return new File() {
      @Override
      public long size() {
        return content.seen.length;
      }

      @Override
      public void read(long at, ByteBuffer into) {
        int count = Math.min(into.remaining(), content.seen.length - (int) at);
        int from = into.position();
        into.put(content.seen, (int) at, count);
        if (readFlips && count > 0) {
          int where = from + random.nextInt(count);
          into.put(where, (byte) (into.get(where) ^ 1 << random.nextInt(8)));
        }
      }

      @Override
      public void write(long at, ByteBuffer from) throws IOException {
        if (readOnly) {
          throw new java.nio.file.AccessDeniedException(name);
        }
        step();
        int count = (int) Math.min(from.remaining(), room);
        room -= count;
        byte[] grown = Arrays.copyOf(content.seen, Math.max(content.seen.length, (int) at + count));
        from.get(grown, (int) at, count);
        content.seen = grown;
        if (from.hasRemaining()) {
          throw new IOException("full");
        }
      }

      @Override
      public void truncate(long size) {
        content.seen = Arrays.copyOf(content.seen, (int) Math.min(size, content.seen.length));
      }

      @Override
      public void force() throws IOException {
        step();
        forces++;
        if (forceFails) {
          throw new IOException("force failed");
        }
        if (!forceLies) {
          content.sure = content.seen.clone();
        }
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void rename(String from, String to) throws IOException {
    step();
    seen.put(to, seen.remove(from));
  }

  @Override
  public void delete(String name) throws IOException {
    step();
    seen.remove(name);
  }

  @Override
  public void forceNames() throws IOException {
    step();
    if (!forceLies) {
      sure = new TreeMap<>(seen);
    }
  }

  @Override
  public void close() {}
}
