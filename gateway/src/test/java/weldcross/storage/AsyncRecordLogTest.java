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
  private final List<String> told = new ArrayList<>();
  @TempDir private Path folder;

  private final AsyncRecordLog.Opened opened =
      new AsyncRecordLog.Opened() {
        @Override
        public void snapshot(long upTo, ByteBuffer content) {
          told.add("snapshot " + upTo);
        }

        @Override
        public void record(long number, ByteBuffer content) {
          told.add("record " + number + " " + content.get());
        }

        @Override
        public void opened(RecordLog.Found found) {
          told.add("opened " + found.last());
        }

        @Override
        public void failed(IOException why) {
          told.add("failed " + why.getClass().getSimpleName());
        }
      };

  private AsyncRecordLog.Told note(String what) {
    return new AsyncRecordLog.Told() {
      @Override
      public void sure(long number) {
        told.add(what + " sure " + number);
      }

      @Override
      public void lost(IOException why) {
        told.add(what + " lost");
      }
    };
  }

  private void await(int count) throws InterruptedException {
    while (told.size() < count) {
      Runnable next = posted.poll(20, TimeUnit.SECONDS);
      assertTrue(next != null, "nothing came after " + told);
      next.run();
    }
  }

  private static ByteBuffer one(int value) {
    return ByteBuffer.wrap(new byte[] {(byte) value});
  }

  @Test
  void whatIsToldAsSureIsThereInTheNextLife() throws Exception {
    AsyncRecordLog keeper = new AsyncRecordLog(folder.resolve("a"), 100, 50, posted::add);
    keeper.open(opened);
    for (int k = 1; k <= 3; k++) {
      assertTrue(keeper.append(one(k), note("r" + k)));
    }
    await(4);
    keeper.snapshot(2, one(9), note("s"));
    await(5);
    assertEquals(List.of("opened 0", "r1 sure 1", "r2 sure 2", "r3 sure 3", "s sure 2"), told);
    assertEquals(0, keeper.waiting());
    told.clear();
    AsyncRecordLog second = new AsyncRecordLog(folder.resolve("a"), 100, 50, posted::add);
    second.open(opened);
    await(1);
    assertEquals(List.of("failed DirectoryInUse"), told);
    keeper.open(opened);
    await(4);
    assertEquals(List.of("failed DirectoryInUse", "snapshot 2", "record 3 3", "opened 3"), told);
    keeper.close();
    second.close();
  }

  /** The thread that asks never waits, and what cannot be taken is told at once. */
  @Test
  void withoutALogRecordsAreLostAndWithTooManyNotTaken() throws Exception {
    AsyncRecordLog keeper = new AsyncRecordLog(folder.resolve("b"), 100, 2, posted::add);
    assertTrue(keeper.append(one(1), note("early")));
    await(1);
    assertEquals(List.of("early lost"), told);
    AsyncRecordLog held =
        new AsyncRecordLog(
            folder.resolve("c"),
            100,
            2,
            event -> {
              try {
                synchronized (folder) {
                  while (told.size() < 2) {
                    folder.wait(10);
                  }
                }
              } catch (InterruptedException e) {
                throw new IllegalStateException(e);
              }
              posted.add(event);
            });
    held.open(opened);
    assertTrue(held.append(one(1), note("x")));
    assertTrue(held.append(one(2), note("y")));
    assertFalse(held.append(one(3), note("z")), "two wait already");
    told.add("go on");
    await(5);
    assertInstanceOf(String.class, told.get(4));
    assertEquals(List.of("early lost", "go on", "opened 0", "x sure 1", "y sure 2"), told);
    held.close();
    keeper.close();
  }
}
