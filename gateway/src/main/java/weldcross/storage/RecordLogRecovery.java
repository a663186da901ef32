package weldcross.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Reads a record log when it is opened and truncates a torn write at its end, which it
 * distinguishes from corruption.
 *
 * <p>A frame is written only after the previous frame is durable. Unreadable data is therefore a
 * torn write that was never reported as durable, unless a later segment or an intact frame with a
 * higher number follows: in that case the data was durable and is corrupt.
 */
final class RecordLogRecovery {

  private final StorageDirectory directory;
  private final RecordLog.Reader reader;
  private final TreeMap<Long, String> segments = new TreeMap<>();
  private long snapshotUpTo;
  private long lastRecord;
  private long lastFrame;
  private long tornBytes;
  private SegmentFile lastSegment;

  private RecordLogRecovery(StorageDirectory directory, RecordLog.Reader reader) {
    this.directory = directory;
    this.reader = reader;
  }

  /**
   * Reads the log and passes the snapshot and the records that follow it to the reader.
   *
   * @throws CorruptLogException if durable data is unreadable
   */
  static RecordLogRecovery run(StorageDirectory directory, RecordLog.Reader reader)
      throws IOException {
    RecordLogRecovery recovery = new RecordLogRecovery(directory, reader);
    recovery.listFiles();
    recovery.readSnapshot();
    recovery.readSegments();
    return recovery;
  }

  /** Returns the file names of the segments by the numbers of their first records. */
  NavigableMap<Long, String> segments() {
    return segments;
  }

  /** Returns the state that was recovered. */
  RecordLog.Recovered recovered() {
    return new RecordLog.Recovered(snapshotUpTo, lastRecord, tornBytes);
  }

  /** Returns the number of the last frame; zero if there is none. */
  long lastFrame() {
    return lastFrame;
  }

  /** Returns the last segment, opened for writing; empty if there is no segment. */
  Optional<SegmentFile> lastSegment() {
    return Optional.ofNullable(lastSegment);
  }

  private void listFiles() throws IOException {
    for (String name : directory.fileNames()) {
      if (name.endsWith(LogFormat.TEMPORARY_SUFFIX)) {
        directory.delete(name);
      } else if (name.startsWith(LogFormat.SNAPSHOT_PREFIX)) {
        long upTo = LogFormat.parseNumber(LogFormat.SNAPSHOT_PREFIX, name);
        snapshotUpTo = Math.max(snapshotUpTo, upTo);
      } else if (name.startsWith(LogFormat.SEGMENT_PREFIX)) {
        segments.put(LogFormat.parseNumber(LogFormat.SEGMENT_PREFIX, name), name);
      }
    }
  }

  private void readSnapshot() throws IOException {
    if (snapshotUpTo > 0) {
      String name = LogFormat.snapshotName(snapshotUpTo);
      reader.snapshot(snapshotUpTo, LogFormat.decodeSnapshot(name, readFile(name), snapshotUpTo));
    }
  }

  private void readSegments() throws IOException {
    lastRecord = segments.isEmpty() ? snapshotUpTo : segments.firstKey() - 1;
    if (lastRecord > snapshotUpTo) {
      throw missingRecords(segments.firstEntry().getValue(), snapshotUpTo + 1);
    }
    for (long firstRecord : List.copyOf(segments.keySet())) {
      readSegment(firstRecord, firstRecord == segments.lastKey());
    }
    if (lastRecord < snapshotUpTo) {
      throw new CorruptLogException(
          LogFormat.snapshotName(snapshotUpTo),
          0,
          "records before the end of the snapshot are missing from the log");
    }
  }

  private static CorruptLogException missingRecords(String file, long from) {
    return new CorruptLogException(file, 0, "records are missing, starting with record " + from);
  }

  private void readSegment(long firstRecord, boolean isLast) throws IOException {
    String name = segments.get(firstRecord);
    ByteBuffer segment = readFile(name);
    int size = segment.limit();
    int intactBytes = 0;
    if (!LogFormat.hasSegmentHeader(segment, firstRecord)) {
      requireTornWrite(name, segment, 0, isLast, lastFrame + 1);
    } else if (firstRecord != lastRecord + 1) {
      throw missingRecords(name, lastRecord + 1);
    } else {
      intactBytes = readFrames(segment);
      if (intactBytes < size) {
        requireTornWrite(name, segment, intactBytes, isLast, lastFrame + 2);
      }
    }
    if (intactBytes < size && !readFile(name).equals(segment.slice(0, size))) {
      throw new CorruptLogException(
          name, intactBytes, "two reads of the segment returned different content");
    }
    if (isLast) {
      lastSegment = SegmentFile.rewrite(directory, firstRecord, segment.slice(0, intactBytes));
    }
    tornBytes = (long) size - intactBytes;
  }

  /** Reads all consecutive frames of a segment; returns the position after the last of them. */
  private int readFrames(ByteBuffer segment) throws IOException {
    int end = LogFormat.SEGMENT_HEADER_BYTES;
    Optional<LogFormat.Frame> next = nextFrame(segment, end);
    while (next.isPresent()) {
      readRecords(next.get());
      end = next.get().end();
      next = nextFrame(segment, end);
    }
    return end;
  }

  private Optional<LogFormat.Frame> nextFrame(ByteBuffer segment, int position) {
    return LogFormat.decodeFrame(segment, position)
        .filter(frame -> lastFrame == 0 || frame.number() == lastFrame + 1)
        .filter(frame -> frame.firstRecord() == lastRecord + 1);
  }

  private void readRecords(LogFormat.Frame frame) throws IOException {
    lastFrame = frame.number();
    for (ByteBuffer content : frame.records()) {
      lastRecord++;
      if (lastRecord > snapshotUpTo) {
        reader.record(lastRecord, content);
      }
    }
  }

  /**
   * Throws unless unreadable data at a position is a torn write.
   *
   * @param laterFrame lowest number of a frame that is written only after the data at the position
   *     is durable
   * @throws CorruptLogException if the data was durable
   */
  private static void requireTornWrite(
      String name, ByteBuffer segment, int position, boolean isLast, long laterFrame)
      throws CorruptLogException {
    if (!isLast) {
      throw new CorruptLogException(name, position, "unreadable, but a later segment exists");
    }
    // A frame is longer than one byte, which bounds the frame numbers in this segment.
    long maxFrame = laterFrame + segment.limit() - 1;
    for (int at = position + 1; LogFormat.canHoldFrame(segment, at); at++) {
      if (LogFormat.hasFrame(segment, at, laterFrame, maxFrame)) {
        throw new CorruptLogException(
            name, position, "unreadable, but a later frame at byte " + at + " is intact");
      }
    }
  }

  private ByteBuffer readFile(String name) throws IOException {
    try (StorageDirectory.File file = directory.open(name)) {
      if (file.size() > Integer.MAX_VALUE - 8) {
        throw new CorruptLogException(name, 0, "file is larger than any that the log writes");
      }
      ByteBuffer content = ByteBuffer.allocate((int) file.size());
      file.read(0, content);
      return content.flip();
    }
  }
}
