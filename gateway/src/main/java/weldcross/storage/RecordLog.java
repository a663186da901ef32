package weldcross.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Records that survive the loss of the process and of power, in the order in which they were added.
 * What is added is sure once {@link #commit} returned, many records by one write and one force. A
 * snapshot stands for all records up to one of them, after which those are deleted. Used by one
 * thread at a time, and a slow disk makes it wait: callers that must not wait use it on a thread of
 * its own.
 *
 * <p>Files are segments of frames. A frame is what one commit wrote, under one checksum and a
 * number that grows by one; a frame is begun only once the one before it is forced. So a frame that
 * cannot be read is the torn end of the log, never acknowledged, unless one of a higher number can
 * be read behind it: then it was forced and is damaged, which is told and never passed over.
 */
public final class RecordLog implements Closeable {

  /** What can be done with it. */
  public enum State {
    OPEN,
    /** A force failed: what is on disk is not known, and only opening it anew tells. */
    FAILED,
    CLOSED
  }

  /** What was found when it was opened. */
  public record Found(long snapshotUpTo, long last, long tornBytes) {}

  /**
   * Takes what is kept, in order, when a log is opened: at most one snapshot, then the records
   * behind it.
   */
  public interface Reader {

    /**
     * @param upTo the record up to which it stands for all
     */
    void snapshot(long upTo, ByteBuffer content);

    void record(long number, ByteBuffer content);
  }

  /** Something that was sure once cannot be read, or is missing. */
  public static final class Damaged extends IOException {
    private static final long serialVersionUID = 1;

    Damaged(String file, long at, String what) {
      super(file + " at byte " + at + ": " + what);
    }
  }

  /**
   * The batch was not taken, as the disk would not have it; nothing of it is kept, and the next may
   * be.
   */
  public static final class NotTaken extends IOException {
    private static final long serialVersionUID = 1;

    NotTaken(IOException why) {
      super("not written: " + why.getMessage(), why);
    }
  }

  /** A record may be no longer than this, nor a snapshot; a length beyond it is damage. */
  public static final int LONGEST = 16 << 20;

  private static final int SEGMENT_MAGIC = 0x57584C47;
  private static final int SNAPSHOT_MAGIC = 0x5758534E;
  private static final int VERSION = 1;

  /** Magic, version, first record. */
  private static final int SEGMENT_HEAD = 16;

  /** Length, checksum; then, under the checksum: frame, first record, count. */
  private static final int FRAME_HEAD = 8 + 20;

  private static final String SEGMENT = "log-";
  private static final String SNAPSHOT = "snapshot-";
  private static final String HALF = ".half";

  private final StorageDirectory disk;
  private final long segmentBytes;

  /** First records of the segments, the last of which is written to. */
  private final TreeMap<Long, String> segments = new TreeMap<>();

  private final List<ByteBuffer> pending = new ArrayList<>();
  private int pendingBytes;
  private State state = State.OPEN;
  private StorageDirectory.File file;
  private long fileBytes, frame, last, snapshotUpTo;
  private Found found;

  private RecordLog(StorageDirectory disk, long segmentBytes) {
    this.disk = disk;
    this.segmentBytes = segmentBytes;
  }

  /**
   * Reads all that is kept and cuts a torn end; what is kept afterwards is forced anew, as what a
   * failed force left in memory may look kept and not be.
   *
   * @param segmentBytes a segment is closed once it is longer
   * @throws Damaged where what was sure cannot be read; nothing is changed then
   */
  public static RecordLog open(StorageDirectory disk, long segmentBytes, Reader reader)
      throws IOException {
    RecordLog log = new RecordLog(disk, segmentBytes);
    log.recover(reader);
    return log;
  }

  public State state() {
    return state;
  }

  public Found found() {
    return found;
  }

  /** The number of the last record that is sure; zero where there is none. */
  public long last() {
    return last;
  }

  /** Bytes in segments, for the decision when a snapshot pays. */
  public long lastSegmentBytes() {
    return fileBytes;
  }

  // ---- Writing

  /**
   * Adds a record to the next commit, copying it.
   *
   * @return the number that it has if that commit succeeds
   */
  public long add(ByteBuffer content) {
    if (content.remaining() > LONGEST) {
      throw new IllegalArgumentException("a record of " + content.remaining() + " bytes");
    }
    ByteBuffer copy = ByteBuffer.allocate(content.remaining()).put(content.duplicate()).flip();
    pending.add(copy);
    pendingBytes += Integer.BYTES + copy.remaining();
    return last + pending.size();
  }

  /**
   * Returns once all that was added is sure.
   *
   * @throws NotTaken where nothing of it was, as on a full disk; what was added is gone, the log
   *     goes on
   * @throws IOException where it is not known: the log is failed, and only opening it anew tells
   */
  public void commit() throws IOException {
    mustBeOpen();
    if (pending.isEmpty()) {
      return;
    }
    ByteBuffer bytes = frame(frame + 1, last + 1, pending, pendingBytes);
    int count = pending.size();
    pending.clear();
    pendingBytes = 0;
    if (fileBytes > segmentBytes) {
      try {
        begin(last + 1);
      } catch (IOException e) {
        throw new NotTaken(e);
      }
    }
    write(bytes);
    force(file);
    fileBytes += bytes.limit();
    frame++;
    last += count;
  }

  private void write(ByteBuffer bytes) throws IOException {
    try {
      file.write(fileBytes, bytes);
    } catch (IOException e) {
      try {
        file.truncate(fileBytes);
      } catch (IOException worse) {
        state = State.FAILED;
        throw worse;
      }
      throw new NotTaken(e);
    }
  }

  private void force(StorageDirectory.File what) throws IOException {
    try {
      what.force();
    } catch (IOException e) {
      state = State.FAILED;
      throw e;
    }
  }

  /** A new segment; the one before it is whole and forced by then. */
  private void begin(long first) throws IOException {
    String name = name(SEGMENT, first);
    StorageDirectory.File next = disk.open(name);
    try {
      next.truncate(0);
      next.write(0, segmentHead(first));
      next.force();
      disk.forceNames();
    } catch (IOException e) {
      next.close();
      disk.delete(name);
      throw e;
    }
    if (file != null) {
      file.close();
    }
    file = next;
    fileBytes = SEGMENT_HEAD;
    segments.put(first, name);
  }

  /**
   * Keeps a snapshot in place of all records up to one that is sure; returns once it is sure and
   * they are gone.
   *
   * @param upTo between the last snapshot's and {@link #last()}
   */
  public void snapshot(long upTo, ByteBuffer content) throws IOException {
    mustBeOpen();
    if (upTo < snapshotUpTo || upTo > last || content.remaining() > LONGEST) {
      throw new IllegalArgumentException("a snapshot up to " + upTo + " of " + last);
    }
    ByteBuffer body =
        ByteBuffer.allocate(16 + content.remaining())
            .putInt(SNAPSHOT_MAGIC)
            .putInt(VERSION)
            .putLong(upTo)
            .put(content.duplicate())
            .flip();
    String before = name(SNAPSHOT, snapshotUpTo);
    String name = name(SNAPSHOT, upTo);
    try (StorageDirectory.File half = disk.open(name + HALF)) {
      half.truncate(0);
      half.write(0, ByteBuffer.allocate(4).putInt(crc(body)).flip());
      half.write(4, body);
      half.force();
    }
    disk.rename(name + HALF, name);
    disk.forceNames();
    if (snapshotUpTo > 0 && snapshotUpTo < upTo) {
      disk.delete(before);
    }
    snapshotUpTo = upTo;
    // A segment goes once the next begins no later than the first record that is still wanted.
    while (segments.size() > 1 && segments.higherKey(segments.firstKey()) <= upTo + 1) {
      disk.delete(segments.pollFirstEntry().getValue());
    }
  }

  private void mustBeOpen() throws IOException {
    if (state != State.OPEN) {
      throw new IOException("the log is " + state);
    }
  }

  /** What was added and not committed is gone. */
  @Override
  public void close() throws IOException {
    state = State.CLOSED;
    if (file != null) {
      file.close();
    }
  }

  // ---- Reading

  private void recover(Reader reader) throws IOException {
    SortedSet<String> names = disk.names();
    for (String name : names) {
      if (name.endsWith(HALF)) {
        disk.delete(name);
      } else if (name.startsWith(SNAPSHOT)) {
        snapshotUpTo = Math.max(snapshotUpTo, number(SNAPSHOT, name));
      } else if (name.startsWith(SEGMENT)) {
        segments.put(number(SEGMENT, name), name);
      }
    }
    if (snapshotUpTo > 0) {
      reader.snapshot(snapshotUpTo, readSnapshot(name(SNAPSHOT, snapshotUpTo)));
    }
    last = segments.isEmpty() ? snapshotUpTo : segments.firstKey() - 1;
    if (last > snapshotUpTo) {
      throw new Damaged(
          segments.firstEntry().getValue(),
          0,
          "records from " + (snapshotUpTo + 1) + " on are missing");
    }
    long torn = 0;
    for (long first : List.copyOf(segments.keySet())) {
      torn = readSegment(first, first == segments.lastKey(), reader);
    }
    if (last < snapshotUpTo) {
      throw new Damaged(
          name(SNAPSHOT, snapshotUpTo), 0, "records up to it are missing from the log");
    }
    found = new Found(snapshotUpTo, last, torn);
    if (segments.isEmpty()) {
      begin(last + 1);
    }
  }

  private ByteBuffer readSnapshot(String name) throws IOException {
    ByteBuffer all = readAll(name);
    if (all.remaining() < 20) {
      throw new Damaged(name, 0, "cut short");
    }
    int crc = all.getInt();
    if (crc != crc(all)
        || all.getInt() != SNAPSHOT_MAGIC
        || all.getInt() != VERSION
        || all.getLong() != snapshotUpTo) {
      throw new Damaged(name, 0, "not what was written");
    }
    return all;
  }

  /** Returns how many bytes of its end were torn. */
  private long readSegment(long first, boolean isLast, Reader reader) throws IOException {
    String name = segments.get(first);
    ByteBuffer all = readAll(name);
    int size = all.limit();
    int at = 0;
    if (size < SEGMENT_HEAD || !all.slice(0, SEGMENT_HEAD).equals(segmentHead(first))) {
      tornOrDamaged(name, all, 0, isLast, frame + 1);
    } else if (first != last + 1) {
      throw new Damaged(name, 0, "records from " + (last + 1) + " on are missing");
    } else {
      at = SEGMENT_HEAD;
      for (int next = frameAt(all, at, reader); next > 0; next = frameAt(all, at, reader)) {
        at = next;
      }
      if (at < size) {
        tornOrDamaged(name, all, at, isLast, frame + 2);
      }
    }
    if (at < size && !readAll(name).equals(all.slice(0, size))) {
      throw new Damaged(name, at, "reads differently each time");
    }
    if (isLast) {
      rewrite(first, all.slice(0, at));
    }
    return (long) size - at;
  }

  /**
   * Reads one whole frame that follows on what was read; returns where it ends, or zero where there
   * is none.
   */
  private int frameAt(ByteBuffer all, int at, Reader reader) {
    int end = wholeFrame(all, at);
    if (end == 0) {
      return 0;
    }
    ByteBuffer in = all.slice(at + 8, end - at - 8);
    long number = in.getLong();
    long first = in.getLong();
    if ((frame != 0 && number != frame + 1) || first != last + 1) {
      return 0;
    }
    frame = number;
    for (int count = in.getInt(); count > 0; count--) {
      int length = in.getInt();
      last++;
      if (last > snapshotUpTo) {
        reader.record(last, in.slice(in.position(), length).asReadOnlyBuffer());
      }
      in.position(in.position() + length);
    }
    return end;
  }

  /** Where the frame that begins there ends; zero where none does whose checksum holds. */
  private static int wholeFrame(ByteBuffer all, int at) {
    if (at + FRAME_HEAD > all.limit()) {
      return 0;
    }
    int length = all.getInt(at);
    if (length < FRAME_HEAD - 8 || length > all.limit() - at - 8) {
      return 0;
    }
    return crc(all.slice(at + 8, length)) == all.getInt(at + 4) ? at + 8 + length : 0;
  }

  /**
   * A torn end is cut; but where a later frame can be read, or a later segment was begun, this
   * place was sure.
   *
   * @param later the least number of a frame that was begun only once this place was forced
   */
  private void tornOrDamaged(String name, ByteBuffer all, int at, boolean isLast, long later)
      throws IOException {
    if (!isLast) {
      throw new Damaged(name, at, "cannot be read, though a later segment was begun");
    }
    for (int p = at + 1; p + FRAME_HEAD <= all.limit(); p++) {
      long number = all.getLong(p + 8);
      if (number >= later && number - later < all.limit() && wholeFrame(all, p) > 0) {
        throw new Damaged(name, at, "cannot be read, though a later frame can at byte " + p);
      }
    }
  }

  /** The last segment is written and forced anew before anything is added to it. */
  private void rewrite(long first, ByteBuffer whole) throws IOException {
    String name = name(SEGMENT, first);
    StorageDirectory.File half = disk.open(name + HALF);
    half.truncate(0);
    half.write(0, whole.remaining() < SEGMENT_HEAD ? segmentHead(first) : whole);
    half.force();
    disk.rename(name + HALF, name);
    disk.forceNames();
    file = half;
    fileBytes = Math.max(SEGMENT_HEAD, whole.limit());
  }

  private ByteBuffer readAll(String name) throws IOException {
    try (StorageDirectory.File in = disk.open(name)) {
      if (in.size() > Integer.MAX_VALUE - 8) {
        throw new Damaged(name, 0, "longer than any that is written");
      }
      ByteBuffer all = ByteBuffer.allocate((int) in.size());
      in.read(0, all);
      return all.flip();
    }
  }

  // ---- Forms

  private static ByteBuffer frame(long number, long first, List<ByteBuffer> records, int bytes) {
    ByteBuffer out = ByteBuffer.allocate(FRAME_HEAD + bytes);
    out.putInt(FRAME_HEAD - 8 + bytes)
        .putInt(0)
        .putLong(number)
        .putLong(first)
        .putInt(records.size());
    for (ByteBuffer record : records) {
      out.putInt(record.remaining()).put(record.duplicate());
    }
    out.putInt(4, crc(out.slice(8, out.capacity() - 8)));
    return out.flip();
  }

  private static ByteBuffer segmentHead(long first) {
    return ByteBuffer.allocate(SEGMENT_HEAD)
        .putInt(SEGMENT_MAGIC)
        .putInt(VERSION)
        .putLong(first)
        .flip();
  }

  private static int crc(ByteBuffer of) {
    CRC32C crc = new CRC32C();
    crc.update(of.duplicate());
    return (int) crc.getValue();
  }

  private static String name(String kind, long number) {
    return kind + String.format("%016x", number);
  }

  private static long number(String kind, String name) throws IOException {
    try {
      return Long.parseUnsignedLong(name.substring(kind.length()), 16);
    } catch (NumberFormatException e) {
      throw new Damaged(name, 0, "a name that is none of this log's");
    }
  }
}
