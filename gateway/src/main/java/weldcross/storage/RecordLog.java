package weldcross.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;

/**
 * A durable, append-only log of records that survives process crashes and power failures.
 *
 * <p>{@link #append} adds a record to the next commit, and {@link #commit} makes all appended
 * records durable with one write and one force. A {@link #snapshot} replaces all records up to a
 * given number, which are then deleted. Records are numbered from one, without gaps.
 *
 * <p>Not thread-safe. Methods block on storage; {@link AsyncRecordLog} is for callers that must not
 * block. {@link LogFormat} describes the files.
 */
public final class RecordLog implements Closeable {

  /** The states of a log. */
  public enum State {
    /** Records and snapshots are accepted. */
    OPEN,
    /** A force failed, so it is unknown what is durable until the log is reopened. */
    FAILED,
    /** The log has been closed. */
    CLOSED
  }

  /**
   * The state that was recovered when the log was opened.
   *
   * @param snapshotUpTo number of the last record that the snapshot replaces; zero if there is no
   *     snapshot
   * @param lastRecord number of the last record; zero if there is none
   * @param tornBytes length in bytes of an incomplete write that was truncated from the end
   */
  public record Recovered(long snapshotUpTo, long lastRecord, long tornBytes) {}

  /**
   * Receives the contents of a log when it is opened: at most one snapshot, then the records that
   * follow it.
   */
  public interface Reader {

    /**
     * Receives the snapshot.
     *
     * @param upTo number of the last record that it replaces
     * @throws IOException if the snapshot cannot be used; propagated by {@link RecordLog#open}
     */
    void snapshot(long upTo, ByteBuffer content) throws IOException;

    /**
     * Receives the next record.
     *
     * @param content content of the record, read-only
     * @throws IOException if the record cannot be used; propagated by {@link RecordLog#open}
     */
    void record(long number, ByteBuffer content) throws IOException;
  }

  /** Maximum length in bytes of a record or a snapshot. */
  public static final int MAX_RECORD_BYTES = 16 << 20;

  private final StorageDirectory directory;
  private final long segmentBytes;
  private final Recovered recovered;

  /** File names of the segments by the numbers of their first records. */
  private final NavigableMap<Long, String> segments;

  private final List<ByteBuffer> pending = new ArrayList<>();
  private State state = State.OPEN;

  /** The last segment, to which commits are written. */
  private SegmentFile segment;

  private long lastFrame;
  private long lastRecord;
  private long snapshotUpTo;

  private RecordLog(StorageDirectory directory, long segmentBytes, RecordLogRecovery recovery)
      throws IOException {
    this.directory = directory;
    this.segmentBytes = segmentBytes;
    this.recovered = recovery.recovered();
    this.segments = recovery.segments();
    this.lastFrame = recovery.lastFrame();
    this.lastRecord = recovered.lastRecord();
    this.snapshotUpTo = recovered.snapshotUpTo();
    this.segment = recovery.lastSegment().orElse(null);
    if (segment == null) {
      startSegment();
    }
  }

  /**
   * Opens a log, passes its contents to a reader and truncates a torn write at its end.
   *
   * @param directory the log's directory, which nothing else may use; the log does not close it
   * @param segmentBytes segment size in bytes beyond which a new segment is started
   * @throws CorruptLogException if durable data is unreadable; nothing is changed in that case
   * @throws IOException if the directory cannot be read or written, or the reader throws
   */
  public static RecordLog open(StorageDirectory directory, long segmentBytes, Reader reader)
      throws IOException {
    return new RecordLog(directory, segmentBytes, RecordLogRecovery.run(directory, reader));
  }

  /** Returns the state of the log. */
  public State state() {
    return state;
  }

  /** Returns the state that was recovered when the log was opened. */
  public Recovered recovered() {
    return recovered;
  }

  /** Returns the number of the last durable record; zero if there is none. */
  public long lastRecord() {
    return lastRecord;
  }

  /**
   * Appends a copy of a record to the next commit.
   *
   * @param content at most {@link #MAX_RECORD_BYTES} bytes
   * @return the number that the record will have if the commit succeeds
   * @throws IllegalArgumentException if the content is too long
   */
  public long append(ByteBuffer content) {
    if (content.remaining() > MAX_RECORD_BYTES) {
      throw new IllegalArgumentException(
          "record of " + content.remaining() + " bytes exceeds the maximum of " + MAX_RECORD_BYTES);
    }
    pending.add(ByteBuffer.allocate(content.remaining()).put(content.duplicate()).flip());
    return lastRecord + pending.size();
  }

  /**
   * Makes all appended records durable.
   *
   * @throws WriteRejectedException if none of them was stored, for example because storage is full;
   *     the records are dropped and the log stays open
   * @throws IOException if it is unknown whether they are durable; the log is then in state {@link
   *     State#FAILED} and must be reopened
   */
  public void commit() throws IOException {
    ensureOpen();
    if (pending.isEmpty()) {
      return;
    }
    List<ByteBuffer> records = List.copyOf(pending);
    pending.clear();
    ByteBuffer frame = LogFormat.encodeFrame(lastFrame + 1, lastRecord + 1, records);
    if (segment.size() > segmentBytes) {
      try {
        startSegment();
      } catch (IOException e) {
        throw new WriteRejectedException(e);
      }
    }
    write(frame);
    lastFrame++;
    lastRecord += records.size();
  }

  private void write(ByteBuffer frame) throws IOException {
    try {
      segment.write(frame);
    } catch (IOException e) {
      rollBack();
      throw new WriteRejectedException(e);
    }
    try {
      segment.commit(frame.limit());
    } catch (IOException e) {
      state = State.FAILED;
      throw e;
    }
  }

  private void rollBack() throws IOException {
    try {
      segment.rollBack();
    } catch (IOException e) {
      state = State.FAILED;
      throw e;
    }
  }

  /** Starts the next segment; the previous one must be complete and durable. */
  private void startSegment() throws IOException {
    long firstRecord = lastRecord + 1;
    SegmentFile next = SegmentFile.create(directory, firstRecord);
    if (segment != null) {
      segment.close();
    }
    segment = next;
    segments.put(firstRecord, LogFormat.segmentName(firstRecord));
  }

  /**
   * Replaces all records up to a given number by a snapshot. Returns when the snapshot is durable
   * and segments that are no longer needed have been deleted.
   *
   * @param upTo number of the last record that the snapshot replaces, at least that of the previous
   *     snapshot and at most {@link #lastRecord()}
   * @param content at most {@link #MAX_RECORD_BYTES} bytes
   * @throws IllegalArgumentException if the number or the length of the content is out of range
   * @throws IOException if the snapshot fails; either it or the previous one is then in effect
   */
  public void snapshot(long upTo, ByteBuffer content) throws IOException {
    ensureOpen();
    if (upTo < snapshotUpTo || upTo > lastRecord || content.remaining() > MAX_RECORD_BYTES) {
      throw new IllegalArgumentException(
          "invalid snapshot up to record "
              + upTo
              + " (allowed: "
              + snapshotUpTo
              + " to "
              + lastRecord
              + ") of "
              + content.remaining()
              + " bytes (maximum: "
              + MAX_RECORD_BYTES
              + ")");
    }
    writeSnapshot(upTo, content);
    if (snapshotUpTo > 0 && snapshotUpTo < upTo) {
      directory.delete(LogFormat.snapshotName(snapshotUpTo));
    }
    snapshotUpTo = upTo;
    deleteReplacedSegments();
  }

  private void writeSnapshot(long upTo, ByteBuffer content) throws IOException {
    String name = LogFormat.snapshotName(upTo);
    ByteBuffer body = LogFormat.encodeSnapshotBody(upTo, content);
    try (StorageDirectory.File file = directory.open(name + LogFormat.TEMPORARY_SUFFIX)) {
      file.truncate(0);
      file.write(0, LogFormat.encodeSnapshotChecksum(body));
      file.write(LogFormat.SNAPSHOT_CHECKSUM_BYTES, body);
      file.force();
    }
    directory.rename(name + LogFormat.TEMPORARY_SUFFIX, name);
    directory.forceDirectory();
  }

  /** Deletes the segments all of whose records the snapshot replaces. */
  private void deleteReplacedSegments() throws IOException {
    long firstNeeded = snapshotUpTo + 1;
    while (segments.size() > 1 && segments.higherKey(segments.firstKey()) <= firstNeeded) {
      directory.delete(segments.pollFirstEntry().getValue());
    }
  }

  private void ensureOpen() throws IOException {
    if (state != State.OPEN) {
      throw new IOException("record log is " + state);
    }
  }

  /** Closes the log; records that were appended but not committed are dropped. */
  @Override
  public void close() throws IOException {
    state = State.CLOSED;
    if (segment != null) {
      segment.close();
    }
  }
}
