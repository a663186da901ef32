package weldcross.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RecordLogTest {

  private static final int SEGMENT_BYTES = 400;

  /**
   * Checks the contents that a log returns when it is opened. The content of a record is its
   * number, repeated a number of times that depends on it.
   */
  private static final class Contents implements RecordLog.Reader {
    long first = 1;
    long last;

    @Override
    public void snapshot(long upTo, ByteBuffer content) {
      assertEquals(upTo, content.getLong());
      first = upTo + 1;
      last = upTo;
    }

    @Override
    public void record(long number, ByteBuffer content) {
      assertEquals(++last, number, "records are in order, without gaps");
      assertEquals(content(number), content);
    }
  }

  private static ByteBuffer content(long number) {
    ByteBuffer bytes = ByteBuffer.allocate(8 * (int) (1 + number % 9));
    while (bytes.hasRemaining()) {
      bytes.putLong(number);
    }
    return bytes.flip();
  }

  /** Appends and commits the given number of records as one frame. */
  private static void commit(RecordLog log, int records) throws IOException {
    for (int k = 1; k <= records; k++) {
      log.append(content(log.lastRecord() + k));
    }
    log.commit();
  }

  private static RecordLog open(StorageDirectory directory, Contents contents) throws IOException {
    return RecordLog.open(directory, SEGMENT_BYTES, contents);
  }

  /**
   * After a crash, all durable records are read, followed by any number of the records that were
   * appended but not confirmed, and nothing else.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void durableRecordsSurviveRandomCrashes(long seed) throws IOException {
    CrashingLog crashing = new CrashingLog(seed);
    for (int step = 0; step < 1500; step++) {
      crashing.step();
    }
    assertTrue(crashing.crashes > 50 && crashing.durable > 500);
  }

  /** A log with random writes, snapshots, faults and power failures. */
  private static final class CrashingLog {
    private final SplittableRandom random;
    private final FaultyStorageDirectory directory;
    private RecordLog log;

    /** Number of the last record that was reported as durable. */
    private long durable;

    /** Number of the last record that was ever appended. */
    private long appended;

    private int crashes;

    CrashingLog(long seed) throws IOException {
      random = new SplittableRandom(seed);
      directory = new FaultyStorageDirectory(seed);
      log = open(directory, new Contents());
    }

    void step() throws IOException {
      int action = random.nextInt(100);
      if (action < 70) {
        commitRecords(action == 0, action == 1);
      } else if (action < 80 && log.state() == RecordLog.State.OPEN && log.lastRecord() > 0) {
        takeSnapshot();
      }
      if (log.state() == RecordLog.State.FAILED || action >= 92) {
        if (action % 2 == 0) {
          appendWithoutForce();
        }
        crash();
      }
    }

    private void commitRecords(boolean failForce, boolean isAlmostFull) throws IOException {
      int records = 1 + random.nextInt(6);
      appended = Math.max(appended, log.lastRecord() + records);
      directory.failForce = failForce;
      directory.remainingBytes = isAlmostFull ? random.nextInt(200) : Long.MAX_VALUE;
      try {
        commit(log, records);
        durable = log.lastRecord();
      } catch (WriteRejectedException e) {
        assertEquals(RecordLog.State.OPEN, log.state());
        assertEquals(durable, log.lastRecord());
      } catch (IOException e) {
        assertEquals(RecordLog.State.FAILED, log.state());
      }
      directory.failForce = false;
      directory.remainingBytes = Long.MAX_VALUE;
    }

    private void takeSnapshot() throws IOException {
      long upTo = Math.max(log.recovered().snapshotUpTo(), log.lastRecord() - random.nextInt(20));
      try {
        log.snapshot(upTo, ByteBuffer.allocate(8).putLong(upTo).flip());
      } catch (IllegalArgumentException e) {
        assertTrue(
            e.getMessage().contains("invalid snapshot up to record"), "a later snapshot exists");
      }
    }

    /** Appends records that may be written but are not forced. */
    private void appendWithoutForce() {
      directory.failForce = true;
      appended = Math.max(appended, log.lastRecord() + 3);
      if (log.state() == RecordLog.State.OPEN) {
        assertThrows(IOException.class, () -> commit(log, 3));
      }
      directory.failForce = false;
    }

    private void crash() throws IOException {
      crashes++;
      directory.simulatePowerLoss();
      Contents contents = new Contents();
      log = open(directory, contents);
      assertTrue(
          contents.last >= durable,
          "durable records lost: expected at least " + durable + ", read up to " + contents.last);
      assertTrue(contents.last <= appended, "records were read that were never appended");
      assertEquals(contents.last, log.lastRecord());
      durable = log.lastRecord();
    }
  }

  /** The process may end after any byte of its last write. */
  @Test
  void logTruncatedAtAnyByteIsReadUpToItsLastCompleteFrame() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = RecordLog.open(directory, 10 * SEGMENT_BYTES, new Contents());
    List<Integer> ends = new ArrayList<>(List.of(lastFileBytes(directory).length));
    for (int k = 0; k < 4; k++) {
      commit(log, 3);
      ends.add(lastFileBytes(directory).length);
    }
    byte[] whole = lastFileBytes(directory);
    for (int length = 0; length <= whole.length; length++) {
      FaultyStorageDirectory truncated = directory.copy();
      truncated.putDurable(truncated.fileNames().last(), Arrays.copyOf(whole, length));
      Contents contents = new Contents();
      int upTo = length;
      long frames = ends.stream().skip(1).filter(e -> e <= upTo).count();
      RecordLog reopenedLog = open(truncated, contents);
      assertEquals(3 * frames, contents.last, "truncated to " + length + " bytes");
      commit(reopenedLog, 2);
      assertEquals(contents.last + 2, reopened(truncated).last);
    }
  }

  /**
   * With a bit flipped in any stored byte, either the log is reported as corrupt or the last frame
   * is truncated; altered content is never read.
   */
  @Test
  void flippedBitIsCorruptOrTornAndNeverReadAsARecord() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = open(directory, new Contents());
    List<Integer> ends = new ArrayList<>();
    for (int k = 0; k < 3; k++) {
      commit(log, 2);
      ends.add(lastFileBytes(directory).length);
    }
    byte[] whole = lastFileBytes(directory);
    int corrupt = 0;
    for (int at = 0; at < whole.length; at++) {
      FaultyStorageDirectory altered = directory.copy();
      byte[] bytes = whole.clone();
      bytes[at] ^= 0x10;
      altered.putDurable(altered.fileNames().last(), bytes);
      Contents contents = new Contents();
      try {
        open(altered, contents);
        assertTrue(
            at >= ends.get(1), "byte " + at + " belongs to a durable frame, which was skipped");
        assertEquals(4, contents.last);
      } catch (CorruptLogException e) {
        corrupt++;
        assertEquals(
            whole.length,
            altered.visibleBytes(altered.fileNames().last()).length,
            "the file is not modified");
      }
    }
    assertEquals(ends.get(1), corrupt, "every byte before the last frame");
  }

  @Test
  void missingOrTruncatedSegmentIsCorrupt() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = open(directory, new Contents());
    for (int k = 0; k < 30; k++) {
      commit(log, 2);
    }
    List<String> names = List.copyOf(directory.fileNames());
    assertTrue(names.size() > 4);
    for (String name : names.subList(0, names.size() - 1)) {
      FaultyStorageDirectory missing = directory.copy();
      missing.delete(name);
      assertThrows(CorruptLogException.class, () -> open(missing, new Contents()), name);
      FaultyStorageDirectory truncated = directory.copy();
      truncated.putDurable(
          name,
          Arrays.copyOf(directory.visibleBytes(name), directory.visibleBytes(name).length - 1));
      assertThrows(CorruptLogException.class, () -> open(truncated, new Contents()), name);
    }
  }

  /** Storage may lose data that it reported as durable; a gap in the log is always reported. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void ignoredForceLosesTheEndOrIsCorrupt(long seed) throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(seed);
    RecordLog log = open(directory, new Contents());
    for (int k = 0; k < 20; k++) {
      commit(log, 2);
    }
    directory.ignoreForce = true;
    for (int k = 0; k < 20; k++) {
      commit(log, 2);
    }
    directory.ignoreForce = false;
    directory.simulatePowerLoss();
    Contents contents = new Contents();
    try {
      long last = open(directory, contents).lastRecord();
      assertEquals(contents.last, last);
      assertTrue(last < log.lastRecord(), "the records whose force was ignored are lost");
    } catch (CorruptLogException e) {
      assertTrue(
          contents.last < log.lastRecord(), "corruption is reported before the first lost record");
    }
  }

  /**
   * A bit that is flipped only during a read is reported, and the faulty content is not written
   * back.
   */
  @Test
  void bitFlippedDuringReadIsCorruptAndChangesNothing() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(5);
    RecordLog log = open(directory, new Contents());
    commit(log, 5);
    final byte[] before = lastFileBytes(directory);
    directory.flipBitsOnRead = true;
    for (int k = 0; k < 40; k++) {
      assertThrows(CorruptLogException.class, () -> open(directory, new Contents()));
    }
    directory.flipBitsOnRead = false;
    assertTrue(Arrays.equals(before, lastFileBytes(directory)));
    assertEquals(5, reopened(directory).last);
  }

  @Test
  void failedForceRejectsWritesUntilReopened() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = open(directory, new Contents());
    commit(log, 2);
    directory.failForce = true;
    assertThrows(IOException.class, () -> commit(log, 1));
    directory.failForce = false;
    assertThrows(IOException.class, () -> commit(log, 1));
    assertThrows(
        IOException.class, () -> log.snapshot(2, ByteBuffer.allocate(8).putLong(2).flip()));
    assertEquals(2, log.lastRecord(), "number of durable records is unchanged");
    assertTrue(reopened(directory).last >= 2);
  }

  @Test
  void fullStorageRejectsCommitsUntilSpaceIsAvailable() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = open(directory, new Contents());
    commit(log, 2);
    directory.remainingBytes = 10;
    assertThrows(WriteRejectedException.class, () -> commit(log, 2));
    directory.remainingBytes = Long.MAX_VALUE;
    commit(log, 3);
    assertEquals(5, reopened(directory).last);
  }

  @Test
  void snapshotReplacesRecordsUpToItsNumber() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = open(directory, new Contents());
    for (int k = 0; k < 30; k++) {
      commit(log, 2);
    }
    final int filesBefore = directory.fileNames().size();
    log.snapshot(50, ByteBuffer.allocate(8).putLong(50).flip());
    assertTrue(directory.fileNames().size() < filesBefore);
    directory.simulatePowerLoss();
    Contents contents = reopened(directory);
    assertEquals(51, contents.first);
    assertEquals(60, contents.last);
  }

  /**
   * The records that a snapshot replaces are deleted, so an unreadable snapshot must not be
   * skipped.
   */
  @Test
  void alteredOrTruncatedSnapshotIsCorrupt() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = open(directory, new Contents());
    commit(log, 3);
    log.snapshot(2, ByteBuffer.allocate(8).putLong(2).flip());
    String name = directory.fileNames().last();
    byte[] whole = directory.visibleBytes(name);
    for (int at = 0; at < whole.length; at++) {
      byte[] bytes = whole.clone();
      bytes[at] ^= 0x10;
      FaultyStorageDirectory altered = directory.copy();
      altered.putDurable(name, bytes);
      assertThrows(CorruptLogException.class, () -> open(altered, new Contents()));
      FaultyStorageDirectory truncated = directory.copy();
      truncated.putDurable(name, Arrays.copyOf(whole, at));
      assertThrows(CorruptLogException.class, () -> open(truncated, new Contents()));
    }
    assertEquals(3, reopened(directory).last);
  }

  /**
   * Whichever operation of a snapshot fails, all durable records remain available through either
   * the old snapshot or the new one.
   */
  @Test
  void failureAtAnyOperationOfSnapshotLosesNothing() throws IOException {
    int operations = 0;
    for (boolean failed = true; failed; operations++) {
      FaultyStorageDirectory directory = new FaultyStorageDirectory(operations);
      RecordLog log = open(directory, new Contents());
      for (int k = 0; k < 30; k++) {
        commit(log, 2);
      }
      log.snapshot(20, ByteBuffer.allocate(8).putLong(20).flip());
      directory.operationsBeforeFailure = operations;
      try {
        log.snapshot(50, ByteBuffer.allocate(8).putLong(50).flip());
        failed = false;
      } catch (IOException e) {
        // Either snapshot may be in effect.
      }
      directory.operationsBeforeFailure = Integer.MAX_VALUE;
      directory.simulatePowerLoss();
      Contents contents = reopened(directory);
      assertTrue(
          contents.first == 21 || contents.first == 51,
          "first record after failure at operation " + operations + ": " + contents.first);
      assertEquals(60, contents.last, "failure at operation " + operations);
    }
    assertTrue(operations > 5, "operations of a snapshot: " + operations);
  }

  @Test
  void readOnlyDirectoryRejectsWritesAndKeepsRecords() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = open(directory, new Contents());
    commit(log, 4);
    directory.readOnly = true;
    assertThrows(WriteRejectedException.class, () -> commit(log, 1));
    assertThrows(
        IOException.class, () -> log.snapshot(4, ByteBuffer.allocate(8).putLong(4).flip()));
    assertThrows(
        IOException.class,
        () ->
            open(
                new FaultyStorageDirectory(2) {
                  {
                    readOnly = true;
                  }
                },
                new Contents()));
    directory.readOnly = false;
    assertEquals(4, reopened(directory).last);
  }

  @Test
  void directoryInUseCannotBeOpened(@TempDir Path parent) throws IOException {
    Path path = parent.resolve("a").resolve("b");
    try (StorageDirectory directory = FileStorageDirectory.openDirectory(path)) {
      assertThrows(DirectoryInUseException.class, () -> FileStorageDirectory.openDirectory(path));
      try (RecordLog log = open(directory, new Contents())) {
        for (int k = 0; k < 40; k++) {
          commit(log, 3);
        }
        log.snapshot(100, ByteBuffer.allocate(8).putLong(100).flip());
      }
    }
    try (StorageDirectory directory = FileStorageDirectory.openDirectory(path)) {
      assertEquals(120, reopened(directory).last);
    }
  }

  private static byte[] lastFileBytes(FaultyStorageDirectory directory) {
    return directory.visibleBytes(directory.fileNames().last());
  }

  private static Contents reopened(StorageDirectory directory) throws IOException {
    Contents contents = new Contents();
    open(directory, contents).close();
    return contents;
  }
}
