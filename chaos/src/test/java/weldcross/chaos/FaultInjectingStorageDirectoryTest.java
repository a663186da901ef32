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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import weldcross.chaos.agent.FaultInjectingStorageDirectory;
import weldcross.chaos.process.Await;
import weldcross.storage.CorruptLogException;
import weldcross.storage.FileStorageDirectory;
import weldcross.storage.RecordLog;
import weldcross.storage.StorageDirectory;
import weldcross.storage.WriteRejectedException;

/**
 * Each injected storage fault takes effect on a record log, and the log reports those it can
 * detect. Closing the directory models the end of the process, which loses data not yet forced.
 */
@Timeout(60)
class FaultInjectingStorageDirectoryTest {

  @TempDir private Path directory;
  private final List<String> recovered = new ArrayList<>();

  @BeforeEach
  void enableFaults() throws IOException {
    System.setProperty(
        FaultInjectingStorageDirectory.FAULTS_FILE_PROPERTY,
        directory.resolve("faults").toString());
    setFaults("");
  }

  @AfterEach
  void disableFaults() {
    System.clearProperty(FaultInjectingStorageDirectory.FAULTS_FILE_PROPERTY);
  }

  private void setFaults(String faults) throws IOException {
    Files.writeString(directory.resolve("faults"), faults);
  }

  private final class ProcessRun {
    final StorageDirectory storage = FileStorageDirectory.openDirectory(directory.resolve("log"));
    final RecordLog log;

    ProcessRun() throws IOException {
      recovered.clear();
      try {
        log =
            RecordLog.open(
                storage,
                200,
                new RecordLog.Reader() {
                  @Override
                  public void snapshot(long upTo, ByteBuffer content) {
                    recovered.add("snapshot " + upTo);
                  }

                  @Override
                  public void record(long number, ByteBuffer content) {
                    recovered.add(number + " " + content.get());
                  }
                });
      } catch (IOException e) {
        storage.close();
        throw e;
      }
    }

    void add(int value) throws IOException {
      log.append(ByteBuffer.wrap(new byte[] {(byte) value}));
      log.commit();
    }

    /** Ends the process: releases the lock and loses all data held only in its memory. */
    void kill() throws IOException {
      storage.close();
    }
  }

  @Test
  void directoryIsLoadedFromTheClassPathAndKeepsDataWithoutFaults() throws IOException {
    ProcessRun run = new ProcessRun();
    assertTrue(run.storage instanceof FaultInjectingStorageDirectory);
    for (int value = 1; value <= 40; value++) {
      run.add(value);
    }
    run.log.snapshot(20, ByteBuffer.wrap(new byte[] {1}));
    run.kill();
    new ProcessRun().kill();
    assertEquals("snapshot 20", recovered.get(0));
    assertEquals("40 40", recovered.get(recovered.size() - 1));
    assertEquals(21, recovered.size());
  }

  @Test
  void lyingForceLosesDurableRecords() throws IOException {
    ProcessRun run = new ProcessRun();
    run.add(1);
    setFaults("lie");
    run.add(2);
    run.add(3);
    run.kill();
    setFaults("");
    new ProcessRun().kill();
    assertEquals(List.of("1 1"), recovered);
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
    run.kill();
    new ProcessRun().kill();
    assertEquals(List.of("1 1"), recovered);
  }

  @Test
  void fullDiskRejectsWrites() throws IOException {
    ProcessRun run = new ProcessRun();
    setFaults("full");
    assertThrows(WriteRejectedException.class, () -> run.add(1));
    setFaults("");
    run.add(2);
    run.kill();
    new ProcessRun().kill();
    assertEquals(List.of("1 2"), recovered);
  }

  @Test
  void slowAndStuckForceDelayCommits() throws Exception {
    ProcessRun run = new ProcessRun();
    setFaults("slow=150");
    long startNanos = System.nanoTime();
    run.add(1);
    assertTrue(System.nanoTime() - startNanos >= 149_000_000);
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
    assertThrows(TimeoutException.class, () -> second.get(200, TimeUnit.MILLISECONDS));
    setFaults("");
    second.get(10, TimeUnit.SECONDS);
    run.kill();
  }

  /**
   * Half of a frame is on disk when the process is killed. Its commit was never acknowledged, so
   * recovery truncates the frame and reports the truncated bytes.
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
    Path log = directory.resolve("log").resolve("log-0000000000000001");
    long bytesBeforeTornWrite = 16 + 33;
    Await.until(
        "half of the frame is written",
        Duration.ofSeconds(10),
        () -> log.toFile().length() > bytesBeforeTornWrite);
    run.kill();
    setFaults("");
    ProcessRun restarted = new ProcessRun();
    assertEquals(List.of("1 1"), recovered);
    assertTrue(restarted.log.recovered().tornBytes() > 0);
    restarted.kill();
  }

  @Test
  void flippedBitAndMisdirectedWriteAreReportedAsCorruption() throws IOException {
    ProcessRun run = new ProcessRun();
    for (int value = 1; value <= 5; value++) {
      run.add(value);
    }
    run.kill();
    setFaults("flip");
    assertThrows(CorruptLogException.class, ProcessRun::new);
    setFaults("");
    ProcessRun second = new ProcessRun();
    assertEquals(5, recovered.size());
    setFaults("misdirect");
    second.add(6);
    setFaults("");
    second.kill();
    assertThrows(
        CorruptLogException.class,
        () -> {
          ProcessRun third = new ProcessRun();
          // A file whose header was overwritten by the misdirected write must not be opened as an
          // empty log.
          assertEquals(6, recovered.size(), "corrupt log opened without an error: " + recovered);
          third.kill();
        });
  }
}
