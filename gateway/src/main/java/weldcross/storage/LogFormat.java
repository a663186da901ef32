package weldcross.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.zip.CRC32C;

/**
 * The file format of a record log. Existing log directories depend on it. Numbers are big-endian.
 *
 * <ul>
 *   <li>Segment {@code log-N}, where N is the number of its first record in 16 hexadecimal digits:
 *       magic (4 bytes), version (4), first record (8), then frames.
 *   <li>Frame, written by one commit: length of the body (4), CRC32C of the body (4), and the body:
 *       frame number (8), first record (8), record count (4), and the records, each preceded by its
 *       length (4).
 *   <li>Snapshot {@code snapshot-N}, where N is the number of the last record that it replaces:
 *       CRC32C of the rest (4), magic (4), version (4), last record (8), content.
 * </ul>
 *
 * <p>A file whose name ends with {@link #TEMPORARY_SUFFIX} is still being written.
 */
final class LogFormat {

  static final String SEGMENT_PREFIX = "log-";
  static final String SNAPSHOT_PREFIX = "snapshot-";
  static final String TEMPORARY_SUFFIX = ".half";

  /** Length of a segment header in bytes. */
  static final int SEGMENT_HEADER_BYTES = 16;

  /** Length of a frame before its first record, in bytes: length, checksum and body header. */
  static final int FRAME_HEADER_BYTES = 28;

  private static final int FRAME_CHECKSUM_OFFSET = 4;

  /** Offset of the frame body, which the checksum covers. */
  private static final int FRAME_BODY_OFFSET = 8;

  /** Length in bytes of the checksum at the start of a snapshot. */
  static final int SNAPSHOT_CHECKSUM_BYTES = 4;

  /** Length in bytes of the snapshot header that follows the checksum. */
  private static final int SNAPSHOT_HEADER_BYTES = 16;

  private static final int SEGMENT_MAGIC = 0x57584C47;
  private static final int SNAPSHOT_MAGIC = 0x5758534E;
  private static final int VERSION = 1;

  /**
   * A decoded frame.
   *
   * @param number frame number
   * @param firstRecord number of the first record
   * @param records contents of the records, read-only
   * @param end position of the first byte after the frame
   */
  record Frame(long number, long firstRecord, List<ByteBuffer> records, int end) {}

  private LogFormat() {}

  static String segmentName(long firstRecord) {
    return fileName(SEGMENT_PREFIX, firstRecord);
  }

  static String snapshotName(long lastRecord) {
    return fileName(SNAPSHOT_PREFIX, lastRecord);
  }

  private static String fileName(String prefix, long number) {
    return prefix + String.format("%016x", number);
  }

  /**
   * Parses the number in a file name.
   *
   * @throws CorruptLogException if the name contains no number
   */
  static long parseNumber(String prefix, String name) throws CorruptLogException {
    try {
      return Long.parseUnsignedLong(name.substring(prefix.length()), 16);
    } catch (NumberFormatException e) {
      throw new CorruptLogException(name, 0, "file name contains no valid record number");
    }
  }

  static ByteBuffer segmentHeader(long firstRecord) {
    return ByteBuffer.allocate(SEGMENT_HEADER_BYTES)
        .putInt(SEGMENT_MAGIC)
        .putInt(VERSION)
        .putLong(firstRecord)
        .flip();
  }

  static boolean hasSegmentHeader(ByteBuffer segment, long firstRecord) {
    return segment.limit() >= SEGMENT_HEADER_BYTES
        && segment.slice(0, SEGMENT_HEADER_BYTES).equals(segmentHeader(firstRecord));
  }

  /** Encodes records as a frame; the positions of their buffers do not change. */
  static ByteBuffer encodeFrame(long number, long firstRecord, List<ByteBuffer> records) {
    int recordBytes = 0;
    for (ByteBuffer record : records) {
      recordBytes += Integer.BYTES + record.remaining();
    }
    ByteBuffer frame = ByteBuffer.allocate(FRAME_HEADER_BYTES + recordBytes);
    int bodyBytes = frame.capacity() - FRAME_BODY_OFFSET;
    frame.putInt(bodyBytes).putInt(0).putLong(number).putLong(firstRecord).putInt(records.size());
    for (ByteBuffer record : records) {
      frame.putInt(record.remaining()).put(record.duplicate());
    }
    frame.putInt(FRAME_CHECKSUM_OFFSET, checksum(frame.slice(FRAME_BODY_OFFSET, bodyBytes)));
    return frame.flip();
  }

  /** Decodes the frame at a position; empty if there is none with a matching checksum. */
  static Optional<Frame> decodeFrame(ByteBuffer segment, int position) {
    OptionalInt end = frameEnd(segment, position);
    if (end.isEmpty()) {
      return Optional.empty();
    }
    int bodyStart = position + FRAME_BODY_OFFSET;
    ByteBuffer body = segment.slice(bodyStart, end.getAsInt() - bodyStart);
    long number = body.getLong();
    long firstRecord = body.getLong();
    List<ByteBuffer> records = new ArrayList<>();
    for (int count = body.getInt(); count > 0; count--) {
      int length = body.getInt();
      records.add(body.slice(body.position(), length).asReadOnlyBuffer());
      body.position(body.position() + length);
    }
    return Optional.of(new Frame(number, firstRecord, records, end.getAsInt()));
  }

  private static OptionalInt frameEnd(ByteBuffer segment, int position) {
    if (!canHoldFrame(segment, position)) {
      return OptionalInt.empty();
    }
    int bodyStart = position + FRAME_BODY_OFFSET;
    int bodyBytes = segment.getInt(position);
    if (bodyBytes < FRAME_HEADER_BYTES - FRAME_BODY_OFFSET
        || bodyBytes > segment.limit() - bodyStart) {
      return OptionalInt.empty();
    }
    int stored = segment.getInt(position + FRAME_CHECKSUM_OFFSET);
    return checksum(segment.slice(bodyStart, bodyBytes)) == stored
        ? OptionalInt.of(bodyStart + bodyBytes)
        : OptionalInt.empty();
  }

  /** Returns whether a frame header fits between a position and the end of the segment. */
  static boolean canHoldFrame(ByteBuffer segment, int position) {
    return position + FRAME_HEADER_BYTES <= segment.limit();
  }

  /**
   * Returns whether an intact frame with a number in the given range begins at a position. The
   * checksum is computed only if the number is in the range.
   */
  static boolean hasFrame(ByteBuffer segment, int position, long minNumber, long maxNumber) {
    long number = segment.getLong(position + FRAME_BODY_OFFSET);
    return number >= minNumber && number <= maxNumber && frameEnd(segment, position).isPresent();
  }

  /** Encodes the part of a snapshot that its checksum covers. */
  static ByteBuffer encodeSnapshotBody(long lastRecord, ByteBuffer content) {
    return ByteBuffer.allocate(SNAPSHOT_HEADER_BYTES + content.remaining())
        .putInt(SNAPSHOT_MAGIC)
        .putInt(VERSION)
        .putLong(lastRecord)
        .put(content.duplicate())
        .flip();
  }

  static ByteBuffer encodeSnapshotChecksum(ByteBuffer body) {
    return ByteBuffer.allocate(SNAPSHOT_CHECKSUM_BYTES).putInt(checksum(body)).flip();
  }

  /**
   * Decodes the content of a snapshot.
   *
   * @param name file name of the snapshot
   * @param file complete content of the file
   * @throws CorruptLogException if the file is truncated or its checksum or header does not match
   */
  static ByteBuffer decodeSnapshot(String name, ByteBuffer file, long lastRecord)
      throws CorruptLogException {
    if (file.remaining() < SNAPSHOT_CHECKSUM_BYTES + SNAPSHOT_HEADER_BYTES) {
      throw new CorruptLogException(name, 0, "snapshot is truncated");
    }
    int stored = file.getInt();
    if (stored != checksum(file)
        || file.getInt() != SNAPSHOT_MAGIC
        || file.getInt() != VERSION
        || file.getLong() != lastRecord) {
      throw new CorruptLogException(name, 0, "snapshot checksum or header does not match");
    }
    return file;
  }

  private static int checksum(ByteBuffer bytes) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes.duplicate());
    return (int) checksum.getValue();
  }
}
