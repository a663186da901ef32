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
   * What a log yielded when it was opened; a record's content is its number, repeated a number of
   * times that depends on it.
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
      assertEquals(++last, number, "in order, without gaps");
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

  /** Adds and commits that many, as one frame. */
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
   * Everything durable is read again, other records that were appended may be, and nothing else is.
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

  /** A log that is written, loses power and is opened again, at random. */
  private static final class CrashingLog {
    private final SplittableRandom random;
    private final FaultyStorageDirectory directory;
    private RecordLog log;

    /** The last record that was reported as durable, and the last that was ever appended. */
    private long durable;

    private long appended;
    private int crashes;

    CrashingLog(long seed) throws IOException {
      random = new SplittableRandom(seed);
      directory = new FaultyStorageDirectory(seed);
      log = open(directory, new Contents());
    }

    void step() throws IOException {
      int kind = random.nextInt(100);
      if (kind < 70) {
        commitRecords(kind == 0, kind == 1);
      } else if (kind < 80 && log.state() == RecordLog.State.OPEN && log.lastRecord() > 0) {
        takeSnapshot();
      }
      if (log.state() == RecordLog.State.FAILED || kind >= 92) {
        if (kind % 2 == 0) {
          appendWithoutForce();
        }
        crash();
      }
    }

    private void commitRecords(boolean forceFails, boolean isAlmostFull) throws IOException {
      int records = 1 + random.nextInt(6);
      appended = Math.max(appended, log.lastRecord() + records);
      directory.forceFails = forceFails;
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
      directory.forceFails = false;
      directory.remainingBytes = Long.MAX_VALUE;
    }

    private void takeSnapshot() throws IOException {
      long upTo = Math.max(log.recovered().snapshotUpTo(), log.lastRecord() - random.nextInt(20));
      try {
        log.snapshot(upTo, ByteBuffer.allocate(8).putLong(upTo).flip());
      } catch (IllegalArgumentException e) {
        assertTrue(e.getMessage().contains("a snapshot up to"), "a later one was taken");
      }
    }

    /** Appends records that are perhaps written, and not forced. */
    private void appendWithoutForce() {
      directory.forceFails = true;
      appended = Math.max(appended, log.lastRecord() + 3);
      if (log.state() == RecordLog.State.OPEN) {
        assertThrows(IOException.class, () -> commit(log, 3));
      }
      directory.forceFails = false;
    }

    private void crash() throws IOException {
      crashes++;
      directory.loseBuffers();
      Contents contents = new Contents();
      log = open(directory, contents);
      assertTrue(
          contents.last >= durable,
          "lost: durable up to " + durable + ", read up to " + contents.last);
      assertTrue(contents.last <= appended, "more than was appended");
      assertEquals(contents.last, log.lastRecord());
      durable = log.lastRecord();
    }
  }

  /** The process ends at any byte of its last write. */
  @Test
  void logCutAtAnyByteIsReadUpToItsLastWholeFrame() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = RecordLog.open(directory, 10 * SEGMENT_BYTES, new Contents());
    List<Integer> ends = new ArrayList<>(List.of(bytesOf(directory).length));
    for (int k = 0; k < 4; k++) {
      commit(log, 3);
      ends.add(bytesOf(directory).length);
    }
    byte[] whole = bytesOf(directory);
    for (int length = 0; length <= whole.length; length++) {
      FaultyStorageDirectory cut = directory.copy();
      cut.set(cut.names().last(), Arrays.copyOf(whole, length));
      Contents contents = new Contents();
      int upTo = length;
      long frames = ends.stream().skip(1).filter(e -> e <= upTo).count();
      RecordLog again = open(cut, contents);
      assertEquals(3 * frames, contents.last, "cut at " + length);
      commit(again, 2);
      assertEquals(contents.last + 2, reopened(cut).last);
    }
  }

  /**
   * Any stored byte may be flipped: the log is reported as corrupt or its end is cut, and no other
   * content is ever read.
   */
  @Test
  void flippedByteIsCorruptOrTornAndNeverReadAsARecord() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = open(directory, new Contents());
    List<Integer> ends = new ArrayList<>();
    for (int k = 0; k < 3; k++) {
      commit(log, 2);
      ends.add(bytesOf(directory).length);
    }
    byte[] whole = bytesOf(directory);
    int corrupt = 0;
    for (int at = 0; at < whole.length; at++) {
      FaultyStorageDirectory wrong = directory.copy();
      byte[] bytes = whole.clone();
      bytes[at] ^= 0x10;
      wrong.set(wrong.names().last(), bytes);
      Contents contents = new Contents();
      try {
        open(wrong, contents);
        assertTrue(at >= ends.get(1), "byte " + at + " was durable, and skipped");
        assertEquals(4, contents.last);
      } catch (CorruptLogException e) {
        corrupt++;
        assertEquals(whole.length, wrong.bytes(wrong.names().last()).length, "nothing is written");
      }
    }
    assertEquals(ends.get(1), corrupt, "everything before the last frame");
  }

  @Test
  void missingOrCutSegmentIsCorrupt() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = open(directory, new Contents());
    for (int k = 0; k < 30; k++) {
      commit(log, 2);
    }
    List<String> names = List.copyOf(directory.names());
    assertTrue(names.size() > 4);
    for (String name : names.subList(0, names.size() - 1)) {
      FaultyStorageDirectory missing = directory.copy();
      missing.delete(name);
      assertThrows(CorruptLogException.class, () -> open(missing, new Contents()), name);
      FaultyStorageDirectory cut = directory.copy();
      cut.set(name, Arrays.copyOf(directory.bytes(name), directory.bytes(name).length - 1));
      assertThrows(CorruptLogException.class, () -> open(cut, new Contents()), name);
    }
  }

  /** Storage that loses what it reported as durable: a gap in the log is always reported. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void lyingForceLosesTheEndOrIsCorrupt(long seed) throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(seed);
    RecordLog log = open(directory, new Contents());
    for (int k = 0; k < 20; k++) {
      commit(log, 2);
    }
    directory.forceLies = true;
    for (int k = 0; k < 20; k++) {
      commit(log, 2);
    }
    directory.forceLies = false;
    directory.loseBuffers();
    Contents contents = new Contents();
    try {
      long last = open(directory, contents).lastRecord();
      assertEquals(contents.last, last);
      assertTrue(last < log.lastRecord(), "the lie took effect, and the end is lost");
    } catch (CorruptLogException e) {
      assertTrue(
          contents.last < log.lastRecord(), "reported, and what was read up to there is right");
    }
  }

  /**
   * A bit that is wrong only while it is read is reported, and nothing is written from that read.
   */
  @Test
  void bitFlippedWhileReadingIsCorruptAndChangesNothing() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(5);
    RecordLog log = open(directory, new Contents());
    commit(log, 5);
    final byte[] before = bytesOf(directory);
    directory.readFlips = true;
    for (int k = 0; k < 40; k++) {
      assertThrows(CorruptLogException.class, () -> open(directory, new Contents()));
    }
    directory.readFlips = false;
    assertTrue(Arrays.equals(before, bytesOf(directory)));
    assertEquals(5, reopened(directory).last);
  }

  @Test
  void failedForceRejectsWritesUntilReopened() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = open(directory, new Contents());
    commit(log, 2);
    directory.forceFails = true;
    assertThrows(IOException.class, () -> commit(log, 1));
    directory.forceFails = false;
    assertThrows(IOException.class, () -> commit(log, 1));
    assertThrows(
        IOException.class, () -> log.snapshot(2, ByteBuffer.allocate(8).putLong(2).flip()));
    assertEquals(2, log.lastRecord(), "durable records stay");
    assertTrue(reopened(directory).last >= 2);
  }

  @Test
  void fullStorageRejectsCommitAndTakesTheNextOnceThereIsRoom() throws IOException {
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
    final int filesBefore = directory.names().size();
    log.snapshot(50, ByteBuffer.allocate(8).putLong(50).flip());
    assertTrue(directory.names().size() < filesBefore);
    directory.loseBuffers();
    Contents contents = reopened(directory);
    assertEquals(51, contents.first);
    assertEquals(60, contents.last);
  }

  /**
   * The records that it replaced are deleted, so a snapshot that cannot be read may not be skipped.
   */
  @Test
  void flippedOrMissingByteInSnapshotIsCorrupt() throws IOException {
    FaultyStorageDirectory directory = new FaultyStorageDirectory(1);
    RecordLog log = open(directory, new Contents());
    commit(log, 3);
    log.snapshot(2, ByteBuffer.allocate(8).putLong(2).flip());
    String name = directory.names().last();
    byte[] whole = directory.bytes(name);
    for (int at = 0; at < whole.length; at++) {
      byte[] bytes = whole.clone();
      bytes[at] ^= 0x10;
      FaultyStorageDirectory wrong = directory.copy();
      wrong.set(name, bytes);
      assertThrows(CorruptLogException.class, () -> open(wrong, new Contents()));
      FaultyStorageDirectory cut = directory.copy();
      cut.set(name, Arrays.copyOf(whole, at));
      assertThrows(CorruptLogException.class, () -> open(cut, new Contents()));
    }
    assertEquals(3, reopened(directory).last);
  }

  /**
   * Storage fails at any step of a snapshot: all durable records are there, by the old snapshot or
   * the new one.
   */
  @Test
  void failureAtAnyStepOfASnapshotLosesNothing() throws IOException {
    int steps = 0;
    for (boolean failed = true; failed; steps++) {
      FaultyStorageDirectory directory = new FaultyStorageDirectory(steps);
      RecordLog log = open(directory, new Contents());
      for (int k = 0; k < 30; k++) {
        commit(log, 2);
      }
      log.snapshot(20, ByteBuffer.allocate(8).putLong(20).flip());
      directory.failsAfter = steps;
      try {
        log.snapshot(50, ByteBuffer.allocate(8).putLong(50).flip());
        failed = false;
      } catch (IOException e) {
        // Either snapshot may be in force.
      }
      directory.failsAfter = Integer.MAX_VALUE;
      directory.loseBuffers();
      Contents contents = reopened(directory);
      assertTrue(
          contents.first == 21 || contents.first == 51,
          "step " + steps + ": from " + contents.first);
      assertEquals(60, contents.last, "step " + steps);
    }
    assertTrue(steps > 5, "steps of a snapshot: " + steps);
  }

  /** Nothing is written, and stored records stay as they are. */
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
  void openDirectoryCannotBeOpenedAgain(@TempDir Path parent) throws IOException {
    Path path = parent.resolve("a").resolve("b");
    try (StorageDirectory directory = FileStorageDirectory.at(path)) {
      assertThrows(DirectoryInUseException.class, () -> FileStorageDirectory.at(path));
      try (RecordLog log = open(directory, new Contents())) {
        for (int k = 0; k < 40; k++) {
          commit(log, 3);
        }
        log.snapshot(100, ByteBuffer.allocate(8).putLong(100).flip());
      }
    }
    try (StorageDirectory directory = FileStorageDirectory.at(path)) {
      assertEquals(120, reopened(directory).last);
    }
  }

  private static byte[] bytesOf(FaultyStorageDirectory directory) {
    return directory.bytes(directory.names().last());
  }

  private static Contents reopened(StorageDirectory directory) throws IOException {
    Contents contents = new Contents();
    open(directory, contents).close();
    return contents;
  }
}
