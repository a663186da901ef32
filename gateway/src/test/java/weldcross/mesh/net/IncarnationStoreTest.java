package weldcross.mesh.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import weldcross.extension.StandaloneEventLoop;

@Timeout(30)
class IncarnationStoreTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  @TempDir private Path directory;
  private final StandaloneEventLoop loop = StandaloneEventLoop.start("gateway");
  private final BlockingQueue<Long> stored = new LinkedBlockingQueue<>();

  @AfterEach
  void stopLoop() {
    loop.stop();
  }

  private IncarnationStore open(Path storeDirectory) {
    IncarnationStore store = new IncarnationStore(storeDirectory, loop, stored::add);
    loop.post(store::open);
    return store;
  }

  /**
   * Closes the store once its last snapshot, which its disk thread writes asynchronously, is
   * written.
   */
  private void close(IncarnationStore store) throws InterruptedException {
    CountDownLatch snapshotBegun = new CountDownLatch(1);
    loop.post(snapshotBegun::countDown);
    assertTrue(
        snapshotBegun.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS),
        "event loop did not run within the timeout");
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (store.pendingWrites() > 0) {
      assertTrue(System.nanoTime() < deadline, "pending writes did not finish within the timeout");
      Thread.onSpinWait();
    }
    store.close();
  }

  private long nextStored() throws InterruptedException {
    return Optional.ofNullable(stored.poll(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)).orElse(-1L);
  }

  @Test
  void eachStartIncrementsTheNumber() throws InterruptedException {
    for (long expected = 1; expected <= 3; expected++) {
      IncarnationStore store = open(directory);
      assertEquals(expected, nextStored());
      close(store);
    }
  }

  @Test
  void numberAboveAKnownOneIsStoredAndIncrementedByTheNextStart() throws InterruptedException {
    IncarnationStore store = open(directory);
    assertEquals(1, nextStored());
    loop.post(() -> store.storeAbove(6));
    assertEquals(7, nextStored());
    close(store);
    IncarnationStore next = open(directory);
    assertEquals(8, nextStored());
    close(next);
  }

  @Test
  void storeRetriesUntilTheDiskWorks() throws Exception {
    Path blocked = directory.resolve("blocked");
    Files.writeString(blocked, "a file where the directory should be");
    final IncarnationStore store = open(blocked);
    assertNull(stored.poll(300, TimeUnit.MILLISECONDS), "number stored while the disk fails");
    Files.delete(blocked);
    assertEquals(1, nextStored());
    assertEquals(Optional.empty(), store.failure());
    close(store);
  }
}
