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

  private final LinkedBlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
  private final List<String> events = new ArrayList<>();
  @TempDir private Path folder;

  private final AsyncRecordLog.OpenListener opened =
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

  private AsyncRecordLog.WriteListener listener(String what) {
    return new AsyncRecordLog.WriteListener() {
      @Override
      public void durable(long number) {
        events.add(what + " durable " + number);
      }

      @Override
      public void failed(IOException reason) {
        events.add(what + " failed");
      }
    };
  }

  private void await(int count) throws InterruptedException {
    while (events.size() < count) {
      Runnable next = posted.poll(20, TimeUnit.SECONDS);
      assertTrue(next != null, "nothing came after " + events);
      next.run();
    }
  }

  private static ByteBuffer one(int value) {
    return ByteBuffer.wrap(new byte[] {(byte) value});
  }

  @Test
  void durableRecordsAreReadOnceTheLogIsOpenedAgain() throws Exception {
    AsyncRecordLog log = new AsyncRecordLog(folder.resolve("a"), 100, 50, posted::add);
    log.open(opened);
    for (int k = 1; k <= 3; k++) {
      assertTrue(log.append(one(k), listener("r" + k)));
    }
    await(4);
    log.snapshot(2, one(9), listener("s"));
    await(5);
    assertEquals(
        List.of("opened 0", "r1 durable 1", "r2 durable 2", "r3 durable 3", "s durable 2"), events);
    assertEquals(0, log.queued());
    events.clear();
    AsyncRecordLog second = new AsyncRecordLog(folder.resolve("a"), 100, 50, posted::add);
    second.open(opened);
    await(1);
    assertEquals(List.of("failed DirectoryInUseException"), events);
    log.open(opened);
    await(4);
    assertEquals(
        List.of("failed DirectoryInUseException", "snapshot 2", "record 3 3", "opened 3"), events);
    log.close();
    second.close();
  }

  /** The event loop never waits, and learns at once of a write that is not queued. */
  @Test
  void writesFailWithoutAnOpenLogAndAreRejectedBeyondTheQueue() throws Exception {
    AsyncRecordLog log = new AsyncRecordLog(folder.resolve("b"), 100, 2, posted::add);
    assertTrue(log.append(one(1), listener("early")));
    await(1);
    assertEquals(List.of("early failed"), events);
    AsyncRecordLog held =
        new AsyncRecordLog(
            folder.resolve("c"),
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
              posted.add(event);
            });
    held.open(opened);
    assertTrue(held.append(one(1), listener("x")));
    assertTrue(held.append(one(2), listener("y")));
    assertFalse(held.append(one(3), listener("z")), "two wait already");
    events.add("go on");
    await(5);
    assertInstanceOf(String.class, events.get(4));
    assertEquals(
        List.of("early failed", "go on", "opened 0", "x durable 1", "y durable 2"), events);
    held.close();
    log.close();
  }
}
