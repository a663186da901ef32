package weldcross.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** The segment to which a log writes. */
final class SegmentFile implements Closeable {

  private final StorageDirectory.File file;
  private long size;

  private SegmentFile(StorageDirectory.File file, long size) {
    this.file = file;
    this.size = size;
  }

  /**
   * Creates a durable segment without frames.
   *
   * @throws IOException if that fails; the segment does not exist in that case
   */
  static SegmentFile create(StorageDirectory directory, long firstRecord) throws IOException {
    String name = LogFormat.segmentName(firstRecord);
    StorageDirectory.File file = directory.open(name);
    try {
      file.truncate(0);
      file.write(0, LogFormat.segmentHeader(firstRecord));
      file.force();
      directory.forceDirectory();
    } catch (IOException e) {
      file.close();
      directory.delete(name);
      throw e;
    }
    return new SegmentFile(file, LogFormat.SEGMENT_HEADER_BYTES);
  }

  /**
   * Replaces a segment by its intact part, which is written to a new file and forced. Data that a
   * failed force left in the page cache can be read, but may not be durable.
   *
   * @param intact header and all intact frames; shorter than a header if the header is torn
   */
  static SegmentFile rewrite(StorageDirectory directory, long firstRecord, ByteBuffer intact)
      throws IOException {
    String name = LogFormat.segmentName(firstRecord);
    final long size = Math.max(LogFormat.SEGMENT_HEADER_BYTES, intact.limit());
    StorageDirectory.File file = directory.open(name + LogFormat.TEMPORARY_SUFFIX);
    file.truncate(0);
    file.write(
        0,
        intact.remaining() < LogFormat.SEGMENT_HEADER_BYTES
            ? LogFormat.segmentHeader(firstRecord)
            : intact);
    file.force();
    directory.rename(name + LogFormat.TEMPORARY_SUFFIX, name);
    directory.forceDirectory();
    return new SegmentFile(file, size);
  }

  /** Returns the length in bytes of the header and all committed frames. */
  long size() {
    return size;
  }

  /** Writes a frame after the committed frames. */
  void write(ByteBuffer frame) throws IOException {
    file.write(size, frame);
  }

  /** Truncates data that was written but not committed. */
  void rollBack() throws IOException {
    file.truncate(size);
  }

  /** Makes the written frame durable and marks it as committed. */
  void commit(int frameBytes) throws IOException {
    file.force();
    size += frameBytes;
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
