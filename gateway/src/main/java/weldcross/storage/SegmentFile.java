package weldcross.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** The segment that a log writes to. */
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
   * @throws IOException where that fails; there is no such segment then
   */
  static SegmentFile create(StorageDirectory directory, long firstRecord) throws IOException {
    String name = LogFormat.segmentName(firstRecord);
    StorageDirectory.File file = directory.open(name);
    try {
      file.truncate(0);
      file.write(0, LogFormat.segmentHeader(firstRecord));
      file.force();
      directory.forceNames();
    } catch (IOException e) {
      file.close();
      directory.delete(name);
      throw e;
    }
    return new SegmentFile(file, LogFormat.SEGMENT_HEADER_BYTES);
  }

  /**
   * Replaces a segment by its intact part, written and forced anew: what a failed force has left in
   * memory may read as written without being durable.
   *
   * @param intact the header and all intact frames; shorter than a header where not even that is
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
    directory.forceNames();
    return new SegmentFile(file, size);
  }

  /** Length in bytes of the header and all committed frames. */
  long size() {
    return size;
  }

  /** Writes a frame behind the committed ones. */
  void write(ByteBuffer frame) throws IOException {
    file.write(size, frame);
  }

  /** Removes what was written and not committed. */
  void rollBack() throws IOException {
    file.truncate(size);
  }

  /** Makes what was written durable, and counts it as committed. */
  void commit(int frameBytes) throws IOException {
    file.force();
    size += frameBytes;
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
