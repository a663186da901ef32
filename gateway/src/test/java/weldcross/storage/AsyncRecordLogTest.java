package weldcross.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class AsyncRecordLogTest {

  private final LinkedBlockingQueue<Runnable> eventLoopTasks = new LinkedBlockingQueue<>();
  private final List<String> events = new ArrayList<>();
  @TempDir private Path directory;

  private final AsyncRecordLog.OpenListener openListener =
      new AsyncRecordLog.OpenListener() {
        @Override
        public void snapshot(long upTo, ByteBuffer content) {
          events.add("snapshot " + upTo);
        }

        @Override
        public void record(long number, ByteBuffer content) {
          events.add("record " + number + " " + content.get());
        }

        @Override
        public void opened(RecordLog.Recovered recovered) {
          events.add("opened " + recovered.lastRecord());
        }

        @Override
        public void failed(IOException reason) {
          events.add("failed " + reason.getClass().getSimpleName());
        }
      };

  private AsyncRecordLog.WriteListener listener(String write) {
    return new AsyncRecordLog.WriteListener() {
      @Override
      public void durable(long number) {
        events.add(write + " durable " + number);
      }

      @Override
      public void failed(IOException reason) {
        events.add(write + " failed");
      }
    };
  }

  private void awaitEvents(int count) throws InterruptedException {
    while (events.size() < count) {
      Runnable task = eventLoopTasks.poll(20, TimeUnit.SECONDS);
      assertTrue(task != null, "no event within 20 s after " + events);
      task.run();
    }
  }

  private static ByteBuffer oneByte(int value) {
    return ByteBuffer.wrap(new byte[] {(byte) value});
  }

  @Test
  void durableRecordsAreReadAfterReopening() throws Exception {
    AsyncRecordLog log = new AsyncRecordLog(directory.resolve("a"), 100, 50, eventLoopTasks::add);
    log.open(openListener);
    for (int k = 1; k <= 3; k++) {
      assertTrue(log.append(oneByte(k), listener("r" + k)));
    }
    awaitEvents(4);
    log.snapshot(2, oneByte(9), listener("s"));
    awaitEvents(5);
    assertEquals(
        List.of("opened 0", "r1 durable 1", "r2 durable 2", "r3 durable 3", "s durable 2"), events);
    assertEquals(0, log.queuedWrites());
    events.clear();
    AsyncRecordLog second =
        new AsyncRecordLog(directory.resolve("a"), 100, 50, eventLoopTasks::add);
    second.open(openListener);
    awaitEvents(1);
    assertEquals(List.of("failed DirectoryInUseException"), events);
    log.open(openListener);
    awaitEvents(4);
    assertEquals(
        List.of("failed DirectoryInUseException", "snapshot 2", "record 3 3", "opened 3"), events);
    log.close();
    second.close();
  }

  /** The event loop must never block; a write that exceeds the queue is rejected immediately. */
  @Test
  void writesFailWithoutOpenLogAndAreRejectedWhenQueueIsFull() throws Exception {
    AsyncRecordLog log = new AsyncRecordLog(directory.resolve("b"), 100, 2, eventLoopTasks::add);
    assertTrue(log.append(oneByte(1), listener("early")));
    awaitEvents(1);
    assertEquals(List.of("early failed"), events);
    AsyncRecordLog blockedLog =
        new AsyncRecordLog(
            directory.resolve("c"),
            100,
            2,
            event -> {
              try {
                while (events.size() < 2) {
                  TimeUnit.MILLISECONDS.sleep(10);
                }
              } catch (InterruptedException e) {
                throw new IllegalStateException(e);
              }
              eventLoopTasks.add(event);
            });
    blockedLog.open(openListener);
    assertTrue(blockedLog.append(oneByte(1), listener("x")));
    assertTrue(blockedLog.append(oneByte(2), listener("y")));
    assertFalse(blockedLog.append(oneByte(3), listener("z")), "queue limit of two reached");
    events.add("unblocked");
    awaitEvents(5);
    assertInstanceOf(String.class, events.get(4));
    assertEquals(
        List.of("early failed", "unblocked", "opened 0", "x durable 1", "y durable 2"), events);
    blockedLog.close();
    log.close();
  }
}
