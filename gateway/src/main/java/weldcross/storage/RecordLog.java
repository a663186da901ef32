package weldcross.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;

/**
 * A log of records that survives the loss of the process and of power, in the order in which they
 * were appended.
 *
 * <p>{@link #append} takes a record, {@link #commit} makes all that were appended durable by one
 * write and one force. A {@link #snapshot} replaces all records up to one of them, which are then
 * deleted. Records are numbered from one, without gaps. Used by one thread at a time, which waits
 * for storage; {@link AsyncRecordLog} is for callers that must not wait. {@link LogFormat}
 * describes the files.
 */
public final class RecordLog implements Closeable {

  /** The states of a log. */
  public enum State {
    /** Records and snapshots are taken. */
    OPEN,
    /** A force failed, so what is durable is unknown until the log is opened again. */
    FAILED,
    /** The log has been closed. */
    CLOSED
  }

  /**
   * What was found when the log was opened.
   *
   * @param snapshotUpTo number of the last record that the snapshot replaces; zero where there is
   *     no snapshot
   * @param lastRecord number of the last record; zero where there is none
   * @param tornBytes length of an unfinished write that was cut from the end
   */
  public record Recovered(long snapshotUpTo, long lastRecord, long tornBytes) {}

  /** Takes what a log holds when it is opened: at most one snapshot, then the records behind it. */
  public interface Reader {

    /**
     * Takes the snapshot.
     *
     * @param upTo number of the last record that it replaces
     * @throws IOException which {@link RecordLog#open} throws in turn
     */
    void snapshot(long upTo, ByteBuffer content) throws IOException;

    /**
     * Takes the next record.
     *
     * @param content read-only
     * @throws IOException which {@link RecordLog#open} throws in turn
     */
    void record(long number, ByteBuffer content) throws IOException;
  }

  /** Maximum length of a record and of a snapshot, in bytes. */
  public static final int MAX_RECORD_BYTES = 16 << 20;

  private final StorageDirectory directory;
  private final long segmentBytes;
  private final Recovered recovered;

  /** Names of the segments by their first records. */
  private final NavigableMap<Long, String> segments;

  private final List<ByteBuffer> pending = new ArrayList<>();
  private State state = State.OPEN;

  /** The last segment, which is written to. */
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
   * Opens a log, passes what it holds to a reader and cuts a torn end.
   *
   * @param directory used by this log alone, and not closed with it
   * @param segmentBytes length in bytes beyond which a segment is followed by another
   * @throws CorruptLogException where something durable cannot be read; nothing is changed then
   * @throws IOException where the directory cannot be read or written, or the reader throws
   */
  public static RecordLog open(StorageDirectory directory, long segmentBytes, Reader reader)
      throws IOException {
    return new RecordLog(directory, segmentBytes, RecordLogRecovery.run(directory, reader));
  }

  /** The state of the log. */
  public State state() {
    return state;
  }

  /** What was found when the log was opened. */
  public Recovered recovered() {
    return recovered;
  }

  /** Number of the last durable record; zero where there is none. */
  public long lastRecord() {
    return lastRecord;
  }

  /**
   * Appends a copy of a record to the next commit.
   *
   * @param content at most {@link #MAX_RECORD_BYTES}
   * @return the number that the record has if the commit succeeds
   * @throws IllegalArgumentException where the content is too long
   */
  public long append(ByteBuffer content) {
    if (content.remaining() > MAX_RECORD_BYTES) {
      throw new IllegalArgumentException(
          "a record of " + content.remaining() + " bytes, more than " + MAX_RECORD_BYTES);
    }
    pending.add(ByteBuffer.allocate(content.remaining()).put(content.duplicate()).flip());
    return lastRecord + pending.size();
  }

  /**
   * Returns once all appended records are durable.
   *
   * @throws WriteRejectedException where none of them is, as on full storage; they are dropped and
   *     the log stays open
   * @throws IOException where that is unknown; the log has failed, and only opening it again tells
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

  /** Begins the next segment; the one before it is whole and durable by then. */
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
   * Replaces all records up to one by a snapshot; returns once the snapshot is durable and records
   * that are no longer needed are deleted.
   *
   * @param upTo from the last snapshot's number to {@link #lastRecord()}
   * @param content at most {@link #MAX_RECORD_BYTES}
   * @throws IllegalArgumentException where the number or the content is out of range
   * @throws IOException where it fails; the snapshot before it, or this one, is in force
   */
  public void snapshot(long upTo, ByteBuffer content) throws IOException {
    ensureOpen();
    if (upTo < snapshotUpTo || upTo > lastRecord || content.remaining() > MAX_RECORD_BYTES) {
      throw new IllegalArgumentException(
          "a snapshot up to "
              + upTo
              + ", not from "
              + snapshotUpTo
              + " to "
              + lastRecord
              + ", or "
              + content.remaining()
              + " bytes, more than "
              + MAX_RECORD_BYTES);
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
    directory.forceNames();
  }

  /** Deletes each segment whose successor begins no later than the first record still needed. */
  private void deleteReplacedSegments() throws IOException {
    long firstNeeded = snapshotUpTo + 1;
    while (segments.size() > 1 && segments.higherKey(segments.firstKey()) <= firstNeeded) {
      directory.delete(segments.pollFirstEntry().getValue());
    }
  }

  private void ensureOpen() throws IOException {
    if (state != State.OPEN) {
      throw new IOException("the log is " + state);
    }
  }

  /** Closes the log; records that were appended and not committed are dropped. */
  @Override
  public void close() throws IOException {
    state = State.CLOSED;
    if (segment != null) {
      segment.close();
    }
  }
}
