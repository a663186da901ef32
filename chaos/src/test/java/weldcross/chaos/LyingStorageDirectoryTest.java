package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import weldcross.chaos.agent.LyingStorageDirectory;
import weldcross.chaos.process.Await;
import weldcross.storage.CorruptLogException;
import weldcross.storage.FileStorageDirectory;
import weldcross.storage.RecordLog;
import weldcross.storage.StorageDirectory;
import weldcross.storage.WriteRejectedException;

/**
 * Each lie of the disk really acts on a log, which says what it can know of it; a process's end is
 * a forgetting.
 */
@Timeout(60)
class LyingStorageDirectoryTest {

  @TempDir private Path folder;
  private final List<String> read = new ArrayList<>();

  @BeforeEach
  void enableFaults() throws IOException {
    System.setProperty(LyingStorageDirectory.FAULTS_FILE, folder.resolve("words").toString());
    setFaults("");
  }

  @AfterEach
  void disableFaults() {
    System.clearProperty(LyingStorageDirectory.FAULTS_FILE);
  }

  private void setFaults(String faults) throws IOException {
    Files.writeString(folder.resolve("words"), faults);
  }

  private final class ProcessRun {
    final StorageDirectory disk = FileStorageDirectory.openDirectory(folder.resolve("log"));
    final RecordLog log;

    ProcessRun() throws IOException {
      read.clear();
      try {
        log =
            RecordLog.open(
                disk,
                200,
                new RecordLog.Reader() {
                  @Override
                  public void snapshot(long upTo, ByteBuffer content) {
                    read.add("snapshot " + upTo);
                  }

                  @Override
                  public void record(long number, ByteBuffer content) {
                    read.add(number + " " + content.get());
                  }
                });
      } catch (IOException e) {
        disk.close();
        throw e;
      }
    }

    void add(int value) throws IOException {
      log.append(ByteBuffer.wrap(new byte[] {(byte) value}));
      log.commit();
    }

    /** The process is gone: the lock with it, and all that was only in its memory. */
    void killed() throws IOException {
      disk.close();
    }
  }

  @Test
  void directoryIsFoundOnTheClassPathAndHonestWithoutFaults() throws IOException {
    ProcessRun run = new ProcessRun();
    assertTrue(run.disk instanceof LyingStorageDirectory);
    for (int k = 1; k <= 40; k++) {
      run.add(k);
    }
    run.log.snapshot(20, ByteBuffer.wrap(new byte[] {1}));
    run.killed();
    new ProcessRun().killed();
    assertEquals("snapshot 20", read.get(0));
    assertEquals("40 40", read.get(read.size() - 1));
    assertEquals(21, read.size());
  }

  @Test
  void lyingForceLosesDurableRecords() throws IOException {
    ProcessRun run = new ProcessRun();
    run.add(1);
    setFaults("lie");
    run.add(2);
    run.add(3);
    run.killed();
    setFaults("");
    new ProcessRun().killed();
    assertEquals(List.of("1 1"), read);
  }

  @Test
  void failedForceEndsTheLogUntilReopened() throws IOException {
    ProcessRun run = new ProcessRun();
    run.add(1);
    setFaults("fail");
    assertThrows(IOException.class, () -> run.add(2));
    setFaults("");
    assertEquals(RecordLog.State.FAILED, run.log.state());
    assertThrows(IOException.class, () -> run.add(3));
    run.killed();
    new ProcessRun().killed();
    assertEquals(List.of("1 1"), read);
  }

  @Test
  void fullDiskRejectsWrites() throws IOException {
    ProcessRun run = new ProcessRun();
    setFaults("full");
    assertThrows(WriteRejectedException.class, () -> run.add(1));
    setFaults("");
    run.add(2);
    run.killed();
    new ProcessRun().killed();
    assertEquals(List.of("1 2"), read);
  }

  @Test
  void slowAndStuckForceDelayCommits() throws Exception {
    ProcessRun run = new ProcessRun();
    setFaults("slow=150");
    long began = System.nanoTime();
    run.add(1);
    assertTrue(System.nanoTime() - began >= 149_000_000);
    setFaults("stuck");
    CompletableFuture<Void> second =
        CompletableFuture.runAsync(
            () -> {
              try {
                run.add(2);
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    assertThrows(
        java.util.concurrent.TimeoutException.class,
        () -> second.get(200, java.util.concurrent.TimeUnit.MILLISECONDS));
    setFaults("");
    second.get(10, java.util.concurrent.TimeUnit.SECONDS);
    run.killed();
  }

  /**
   * Half of a frame reached the disk when the process died: never told as sure, so cut, and told as
   * cut.
   */
  @Test
  void tornWriteIsTruncatedAndReported() throws Exception {
    ProcessRun run = new ProcessRun();
    run.add(1);
    setFaults("torn");
    CompletableFuture<Void> unused =
        CompletableFuture.runAsync(
            () -> {
              try {
                run.add(2);
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    Path log = folder.resolve("log").resolve("log-0000000000000001");
    long whole = 16 + 33;
    Await.until("half is written", Duration.ofSeconds(10), () -> log.toFile().length() > whole);
    run.killed();
    setFaults("");
    ProcessRun after = new ProcessRun();
    assertEquals(List.of("1 1"), read);
    assertTrue(after.log.recovered().tornBytes() > 0);
    after.killed();
  }

  @Test
  void flippedBitAndMisdirectedWriteAreReportedAsCorruption() throws IOException {
    ProcessRun run = new ProcessRun();
    for (int k = 1; k <= 5; k++) {
      run.add(k);
    }
    run.killed();
    setFaults("flip");
    assertThrows(CorruptLogException.class, ProcessRun::new);
    setFaults("");
    ProcessRun second = new ProcessRun();
    assertEquals(5, read.size());
    setFaults("misdirect");
    second.add(6);
    setFaults("");
    second.killed();
    assertThrows(
        CorruptLogException.class,
        () -> {
          ProcessRun third = new ProcessRun();
          // What is misdirected from the head on is no log any more; it must not read as an empty
          // one.
          assertEquals(6, read.size(), "read as if nothing were: " + read);
          third.killed();
        });
  }
}
