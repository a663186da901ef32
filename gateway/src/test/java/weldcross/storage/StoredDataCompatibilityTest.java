package weldcross.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that a record log written by commit e72908e can still be read. */
class StoredDataCompatibilityTest {

  private static final int SEGMENT_BYTES = 64;

  /** Collects the contents that a log returns when it is opened. */
  private static final class Contents implements RecordLog.Reader {
    final SortedMap<Long, ByteBuffer> snapshots = new TreeMap<>();
    final SortedMap<Long, ByteBuffer> records = new TreeMap<>();

    @Override
    public void snapshot(long upTo, ByteBuffer content) {
      snapshots.put(upTo, content);
    }

    @Override
    public void record(long number, ByteBuffer content) {
      records.put(number, content);
    }
  }

  @Test
  void logOfEarlierBuildYieldsSnapshotAndAllLaterRecords(@TempDir Path scratch) throws IOException {
    Path directory =
        StoredDataFixture.copy("/weldcross/storage/record-log", scratch.resolve("record-log"));
    for (int opened = 0; opened < 2; opened++) {
      assertContents(directory);
    }
  }

  private static void assertContents(Path directory) throws IOException {
    Contents contents = new Contents();
    try (StorageDirectory storage = FileStorageDirectory.openDirectory(directory);
        RecordLog log = RecordLog.open(storage, SEGMENT_BYTES, contents)) {
      assertEquals(new RecordLog.Recovered(2, 8, 0), log.recovered());
      assertEquals(8, log.lastRecord());
      assertEquals(
          List.of(
              "log-0000000000000001",
              "log-0000000000000004",
              "log-0000000000000005",
              "log-0000000000000007",
              "log-0000000000000008",
              "snapshot-0000000000000002"),
          List.copyOf(storage.fileNames()));
    }
    SortedMap<Long, ByteBuffer> snapshots = new TreeMap<>();
    snapshots.put(2L, text("stands for first and second"));
    assertEquals(snapshots, contents.snapshots);
    SortedMap<Long, ByteBuffer> records = new TreeMap<>();
    records.put(3L, text(""));
    records.put(4L, text("fourth, which makes the segment longer than 64 bytes"));
    records.put(5L, text("fifth"));
    records.put(6L, text("sixth: \u00e4\u20ac"));
    records.put(7L, everyByteValue());
    records.put(8L, text("eighth"));
    assertEquals(records, contents.records);
  }

  private static ByteBuffer text(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }

  private static ByteBuffer everyByteValue() {
    ByteBuffer bytes = ByteBuffer.allocate(256);
    for (int value = 0; value < 256; value++) {
      bytes.put((byte) value);
    }
    return bytes.flip();
  }
}
