package weldcross.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Reads a record log when it is opened, cuts its torn end, and distinguishes that from corruption.
 *
 * <p>A frame is begun only once the one before it is durable. So a place that cannot be read is the
 * torn end, which was never reported as durable, unless an intact frame of a higher number follows
 * it, or a later segment exists: then it was durable, and is corrupt.
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
   * Reads the log, and passes the snapshot and the records behind it to the reader.
   *
   * @throws CorruptLogException where something durable cannot be read
   */
  static RecordLogRecovery run(StorageDirectory directory, RecordLog.Reader reader)
      throws IOException {
    RecordLogRecovery recovery = new RecordLogRecovery(directory, reader);
    recovery.listFiles();
    recovery.readSnapshot();
    recovery.readSegments();
    return recovery;
  }

  /** Names of the segments by their first records. */
  NavigableMap<Long, String> segments() {
    return segments;
  }

  /** What was found. */
  RecordLog.Recovered recovered() {
    return new RecordLog.Recovered(snapshotUpTo, lastRecord, tornBytes);
  }

  /** Number of the last frame; zero where there is none. */
  long lastFrame() {
    return lastFrame;
  }

  /** The last segment, opened for writing; empty where there is no segment. */
  Optional<SegmentFile> lastSegment() {
    return Optional.ofNullable(lastSegment);
  }

  private void listFiles() throws IOException {
    for (String name : directory.names()) {
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
          LogFormat.snapshotName(snapshotUpTo), 0, "records up to it are missing from the log");
    }
  }

  private static CorruptLogException missingRecords(String file, long from) {
    return new CorruptLogException(file, 0, "records from " + from + " on are missing");
  }

  private void readSegment(long firstRecord, boolean isLast) throws IOException {
    String name = segments.get(firstRecord);
    ByteBuffer segment = readFile(name);
    int size = segment.limit();
    int intactBytes = 0;
    if (!LogFormat.hasSegmentHeader(segment, firstRecord)) {
      checkTorn(name, segment, 0, isLast, lastFrame + 1);
    } else if (firstRecord != lastRecord + 1) {
      throw missingRecords(name, lastRecord + 1);
    } else {
      intactBytes = readFrames(segment);
      if (intactBytes < size) {
        checkTorn(name, segment, intactBytes, isLast, lastFrame + 2);
      }
    }
    if (intactBytes < size && !readFile(name).equals(segment.slice(0, size))) {
      throw new CorruptLogException(name, intactBytes, "reads differently each time");
    }
    if (isLast) {
      lastSegment = SegmentFile.rewrite(directory, firstRecord, segment.slice(0, intactBytes));
    }
    tornBytes = (long) size - intactBytes;
  }

  /** Reads all frames that follow on what was read, and returns where the last of them ends. */
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
   * Checks that a place which cannot be read is a torn end.
   *
   * @param laterFrame the lowest number of a frame that was begun only once this place was durable
   * @throws CorruptLogException where it is not
   */
  private static void checkTorn(
      String name, ByteBuffer segment, int position, boolean isLast, long laterFrame)
      throws CorruptLogException {
    if (!isLast) {
      throw new CorruptLogException(
          name, position, "cannot be read, though a later segment was begun");
    }
    // Each frame takes more than a byte, which bounds the numbers that this segment can hold.
    long maxFrame = laterFrame + segment.limit() - 1;
    for (int at = position + 1; LogFormat.canHoldFrame(segment, at); at++) {
      if (LogFormat.hasFrame(segment, at, laterFrame, maxFrame)) {
        throw new CorruptLogException(
            name, position, "cannot be read, though a later frame can at byte " + at);
      }
    }
  }

  private ByteBuffer readFile(String name) throws IOException {
    try (StorageDirectory.File file = directory.open(name)) {
      if (file.size() > Integer.MAX_VALUE - 8) {
        throw new CorruptLogException(name, 0, "longer than any that is written");
      }
      ByteBuffer content = ByteBuffer.allocate((int) file.size());
      file.read(0, content);
      return content.flip();
    }
  }
}
