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

  private static final int SEGMENT = 400;

  /**
   * What a log gave when it was opened; a record's content is its number, that many times repeated
   * modulo 40.
   */
  private static final class Kept implements RecordLog.Reader {
    long first = 1, last;

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
      log.add(content(log.last() + k));
    }
    log.commit();
  }

  private static RecordLog open(StorageDirectory disk, Kept kept) throws IOException {
    return RecordLog.open(disk, SEGMENT, kept);
  }

  /**
   * Rule of the log: what was sure is kept, whatever else may be, and nothing that was never added.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void whatWasSureIsKeptThroughRandomLives(long seed) throws IOException {
    SplittableRandom random = new SplittableRandom(seed);
    FaultyStorageDirectory disk = new FaultyStorageDirectory(seed);
    long sure = 0;
    long added = 0;
    int crashes = 0;
    RecordLog log = open(disk, new Kept());
    for (int step = 0; step < 1500; step++) {
      int kind = random.nextInt(100);
      if (kind < 70) {
        int records = 1 + random.nextInt(6);
        added = Math.max(added, log.last() + records);
        disk.forceFails = kind == 0;
        disk.room = kind == 1 ? random.nextInt(200) : Long.MAX_VALUE;
        try {
          commit(log, records);
          sure = log.last();
        } catch (RecordLog.NotTaken e) {
          assertEquals(RecordLog.State.OPEN, log.state());
          assertEquals(sure, log.last());
        } catch (IOException e) {
          assertEquals(RecordLog.State.FAILED, log.state());
        }
        disk.forceFails = false;
        disk.room = Long.MAX_VALUE;
      } else if (kind < 80 && log.state() == RecordLog.State.OPEN && log.last() > 0) {
        long upTo = Math.max(log.found().snapshotUpTo(), log.last() - random.nextInt(20));
        try {
          log.snapshot(upTo, ByteBuffer.allocate(8).putLong(upTo).flip());
        } catch (IllegalArgumentException e) {
          assertTrue(e.getMessage().contains("a snapshot up to"), "one was taken further on");
        }
      }
      if (log.state() == RecordLog.State.FAILED || kind >= 92) {
        if (kind % 2 == 0) {
          // Added and perhaps written, not forced.
          disk.forceFails = true;
          added = Math.max(added, log.last() + 3);
          if (log.state() == RecordLog.State.OPEN) {
            RecordLog dying = log;
            assertThrows(IOException.class, () -> commit(dying, 3));
          }
          disk.forceFails = false;
        }
        crashes++;
        disk.loseBuffers();
        Kept kept = new Kept();
        log = open(disk, kept);
        assertTrue(kept.last >= sure, "lost: sure up to " + sure + ", kept up to " + kept.last);
        assertTrue(kept.last <= added, "more than was added");
        assertEquals(kept.last, log.last());
        sure = log.last();
      }
    }
    assertTrue(crashes > 50 && sure > 500);
  }

  /** A process that ends at any byte of its last write. */
  @Test
  void logThatEndsAtAnyByteIsReadUpToItsLastWholeFrame() throws IOException {
    FaultyStorageDirectory disk = new FaultyStorageDirectory(1);
    RecordLog log = RecordLog.open(disk, 10 * SEGMENT, new Kept());
    List<Integer> ends = new ArrayList<>(List.of(bytesOf(disk).length));
    for (int k = 0; k < 4; k++) {
      commit(log, 3);
      ends.add(bytesOf(disk).length);
    }
    byte[] whole = bytesOf(disk);
    for (int length = 0; length <= whole.length; length++) {
      FaultyStorageDirectory cut = disk.copy();
      cut.set(cut.names().last(), Arrays.copyOf(whole, length));
      Kept kept = new Kept();
      int upTo = length;
      long frames = ends.stream().skip(1).filter(e -> e <= upTo).count();
      RecordLog again = open(cut, kept);
      assertEquals(3 * frames, kept.last, "cut at " + length);
      commit(again, 2);
      assertEquals(kept.last + 2, reopened(cut).last);
    }
  }

  /**
   * Any byte of what is kept may turn out wrong: what is read is told as damaged or cut, never
   * another content.
   */
  @Test
  void wrongByteIsToldOrWasTheEndAndIsNeverReadAsARecord() throws IOException {
    FaultyStorageDirectory disk = new FaultyStorageDirectory(1);
    RecordLog log = open(disk, new Kept());
    List<Integer> ends = new ArrayList<>();
    for (int k = 0; k < 3; k++) {
      commit(log, 2);
      ends.add(bytesOf(disk).length);
    }
    byte[] whole = bytesOf(disk);
    int told = 0;
    for (int at = 0; at < whole.length; at++) {
      FaultyStorageDirectory wrong = disk.copy();
      byte[] bytes = whole.clone();
      bytes[at] ^= 0x10;
      wrong.set(wrong.names().last(), bytes);
      Kept kept = new Kept();
      try {
        open(wrong, kept);
        assertTrue(at >= ends.get(1), "byte " + at + " was sure, and passed over");
        assertEquals(4, kept.last);
      } catch (RecordLog.Damaged e) {
        told++;
        assertEquals(whole.length, wrong.bytes(wrong.names().last()).length, "nothing is changed");
      }
    }
    assertEquals(ends.get(1), told, "all that lies before the last frame");
  }

  @Test
  void segmentThatIsMissingOrCutIsDamage() throws IOException {
    FaultyStorageDirectory disk = new FaultyStorageDirectory(1);
    RecordLog log = open(disk, new Kept());
    for (int k = 0; k < 30; k++) {
      commit(log, 2);
    }
    List<String> names = List.copyOf(disk.names());
    assertTrue(names.size() > 4);
    for (String name : names.subList(0, names.size() - 1)) {
      FaultyStorageDirectory missing = disk.copy();
      missing.delete(name);
      assertThrows(RecordLog.Damaged.class, () -> open(missing, new Kept()), name);
      FaultyStorageDirectory cut = disk.copy();
      cut.set(name, Arrays.copyOf(disk.bytes(name), disk.bytes(name).length - 1));
      assertThrows(RecordLog.Damaged.class, () -> open(cut, new Kept()), name);
    }
  }

  /** A disk that says yes and loses it: a hole in what is kept is told, whatever is lost. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void forceThatLiesLosesTheEndOrIsTold(long seed) throws IOException {
    FaultyStorageDirectory disk = new FaultyStorageDirectory(seed);
    RecordLog log = open(disk, new Kept());
    for (int k = 0; k < 20; k++) {
      commit(log, 2);
    }
    disk.forceLies = true;
    for (int k = 0; k < 20; k++) {
      commit(log, 2);
    }
    disk.forceLies = false;
    disk.loseBuffers();
    Kept kept = new Kept();
    try {
      long last = open(disk, kept).last();
      assertEquals(kept.last, last);
      assertTrue(last < log.last(), "the lie acted, and the end is gone");
    } catch (RecordLog.Damaged e) {
      assertTrue(kept.last < log.last(), "told, and what was read up to there is right");
    }
  }

  /**
   * A bit that is wrong only while it is read: told, and nothing is written by what was read so.
   */
  @Test
  void readThatFlipsABitIsToldAndChangesNothing() throws IOException {
    FaultyStorageDirectory disk = new FaultyStorageDirectory(5);
    RecordLog log = open(disk, new Kept());
    commit(log, 5);
    byte[] before = bytesOf(disk);
    disk.readFlips = true;
    for (int k = 0; k < 40; k++) {
      assertThrows(RecordLog.Damaged.class, () -> open(disk, new Kept()));
    }
    disk.readFlips = false;
    assertTrue(Arrays.equals(before, bytesOf(disk)));
    assertEquals(5, reopened(disk).last);
  }

  @Test
  void afterAFailedForceNothingMoreIsTaken() throws IOException {
    FaultyStorageDirectory disk = new FaultyStorageDirectory(1);
    RecordLog log = open(disk, new Kept());
    commit(log, 2);
    disk.forceFails = true;
    assertThrows(IOException.class, () -> commit(log, 1));
    disk.forceFails = false;
    assertThrows(IOException.class, () -> commit(log, 1));
    assertThrows(
        IOException.class, () -> log.snapshot(2, ByteBuffer.allocate(8).putLong(2).flip()));
    assertEquals(2, log.last(), "what was sure is");
    assertTrue(reopened(disk).last >= 2);
  }

  @Test
  void fullDiskTakesNothingAndGoesOnOnceThereIsRoom() throws IOException {
    FaultyStorageDirectory disk = new FaultyStorageDirectory(1);
    RecordLog log = open(disk, new Kept());
    commit(log, 2);
    disk.room = 10;
    assertThrows(RecordLog.NotTaken.class, () -> commit(log, 2));
    disk.room = Long.MAX_VALUE;
    commit(log, 3);
    assertEquals(5, reopened(disk).last);
  }

  @Test
  void snapshotStandsForWhatItTook() throws IOException {
    FaultyStorageDirectory disk = new FaultyStorageDirectory(1);
    RecordLog log = open(disk, new Kept());
    for (int k = 0; k < 30; k++) {
      commit(log, 2);
    }
    int before = disk.names().size();
    log.snapshot(50, ByteBuffer.allocate(8).putLong(50).flip());
    assertTrue(disk.names().size() < before);
    disk.loseBuffers();
    Kept kept = reopened(disk);
    assertEquals(51, kept.first);
    assertEquals(60, kept.last);
  }

  /**
   * The records it stands for are gone, so a snapshot that cannot be read may not be passed over.
   */
  @Test
  void wrongByteInASnapshotIsDamage() throws IOException {
    FaultyStorageDirectory disk = new FaultyStorageDirectory(1);
    RecordLog log = open(disk, new Kept());
    commit(log, 3);
    log.snapshot(2, ByteBuffer.allocate(8).putLong(2).flip());
    String name = disk.names().last();
    byte[] whole = disk.bytes(name);
    for (int at = 0; at < whole.length; at++) {
      byte[] bytes = whole.clone();
      bytes[at] ^= 0x10;
      FaultyStorageDirectory wrong = disk.copy();
      wrong.set(name, bytes);
      assertThrows(RecordLog.Damaged.class, () -> open(wrong, new Kept()));
      FaultyStorageDirectory cut = disk.copy();
      cut.set(name, Arrays.copyOf(whole, at));
      assertThrows(RecordLog.Damaged.class, () -> open(cut, new Kept()));
    }
    assertEquals(3, reopened(disk).last);
  }

  /**
   * A disk that fails at any step of a snapshot: all that was sure is there, by the old one or the
   * new.
   */
  @Test
  void diskThatFailsInTheMidstOfASnapshotLosesNothing() throws IOException {
    int steps = 0;
    for (boolean failed = true; failed; steps++) {
      FaultyStorageDirectory disk = new FaultyStorageDirectory(steps);
      RecordLog log = open(disk, new Kept());
      for (int k = 0; k < 30; k++) {
        commit(log, 2);
      }
      log.snapshot(20, ByteBuffer.allocate(8).putLong(20).flip());
      disk.failsAfter = steps;
      try {
        log.snapshot(50, ByteBuffer.allocate(8).putLong(50).flip());
        failed = false;
      } catch (IOException e) {
        // Which of the two stands is the disk's affair.
      }
      disk.failsAfter = Integer.MAX_VALUE;
      disk.loseBuffers();
      Kept kept = reopened(disk);
      assertTrue(kept.first == 21 || kept.first == 51, "step " + steps + ": from " + kept.first);
      assertEquals(60, kept.last, "step " + steps);
    }
    assertTrue(steps > 5, "it has steps: " + steps);
  }

  /** Nothing is taken, and what is there stays as it is. */
  @Test
  void directoryThatMayOnlyBeReadIsTold() throws IOException {
    FaultyStorageDirectory disk = new FaultyStorageDirectory(1);
    RecordLog log = open(disk, new Kept());
    commit(log, 4);
    disk.readOnly = true;
    assertThrows(RecordLog.NotTaken.class, () -> commit(log, 1));
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
                new Kept()));
    disk.readOnly = false;
    assertEquals(4, reopened(disk).last);
  }

  @Test
  void directoryBelongsToOneAtATime(@TempDir Path directory) throws IOException {
    try (StorageDirectory disk = FileStorageDirectory.at(directory.resolve("a").resolve("b"))) {
      assertThrows(
          StorageDirectory.DirectoryInUse.class,
          () -> FileStorageDirectory.at(directory.resolve("a").resolve("b")));
      try (RecordLog log = open(disk, new Kept())) {
        for (int k = 0; k < 40; k++) {
          commit(log, 3);
        }
        log.snapshot(100, ByteBuffer.allocate(8).putLong(100).flip());
      }
    }
    try (StorageDirectory disk = FileStorageDirectory.at(directory.resolve("a").resolve("b"))) {
      assertEquals(120, reopened(disk).last);
    }
  }

  private static byte[] bytesOf(FaultyStorageDirectory disk) {
    return disk.bytes(disk.names().last());
  }

  private static Kept reopened(StorageDirectory disk) throws IOException {
    Kept kept = new Kept();
    open(disk, kept).close();
    return kept;
  }
}
