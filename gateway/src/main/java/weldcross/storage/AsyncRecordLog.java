package weldcross.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A {@link RecordLog} on a thread of its own, for a reducer that never waits: what is asked is
 * taken at once, and told by an event when it is sure or lost. What waits while the disk is at work
 * goes to it as one commit. A disk that is stuck holds up this log alone; {@link #waiting} tells
 * how much waits for it.
 */
public final class AsyncRecordLog implements AutoCloseable {

  /** What was kept, told once a log was opened, as one event. */
  public interface Opened {

    /** At most once, first. */
    void snapshot(long upTo, ByteBuffer content);

    void record(long number, ByteBuffer content);

    /** All of it was told; from now on records are taken. */
    void opened(RecordLog.Found found);

    /**
     * {@link RecordLog.Damaged} where what was sure cannot be read: opening again would not help.
     */
    void failed(IOException why);
  }

  /** What became of a record. */
  public interface Told {

    void sure(long number);

    /**
     * It is not kept, where {@link RecordLog.NotTaken}; else that is not known, and nothing more is
     * taken until the log is opened again.
     */
    void lost(IOException why);
  }

  private record Waiting(ByteBuffer content, long snapshotUpTo, Told told) {}

  private static final long NO_SNAPSHOT = -1;

  private final Path directory;
  private final long segmentBytes;
  private final int mostWaiting;
  private final Consumer<Runnable> post;
  private final LinkedBlockingQueue<Runnable> work = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<Waiting> asked = new LinkedBlockingQueue<>();
  private final AtomicInteger waiting = new AtomicInteger();
  private final Thread thread;
  private StorageDirectory disk;
  private RecordLog log;

  /**
   * @param mostWaiting records and snapshots that may wait; more are not taken
   * @param post hands what is to be told to the thread that asked
   */
  public AsyncRecordLog(
      Path directory, long segmentBytes, int mostWaiting, Consumer<Runnable> post) {
    this.directory = directory;
    this.segmentBytes = segmentBytes;
    this.mostWaiting = mostWaiting;
    this.post = post;
    thread = new Thread(this::work, "disk " + directory.getFileName());
    thread.setDaemon(true);
    thread.start();
  }

  /** Opens the log, or opens it again after it failed; all that was asked before is lost. */
  public void open(Opened opened) {
    work.add(
        () -> {
          List<Runnable> found = new ArrayList<>();
          try {
            end();
            disk = FileStorageDirectory.at(directory);
            log =
                RecordLog.open(
                    disk,
                    segmentBytes,
                    new RecordLog.Reader() {
                      @Override
                      public void snapshot(long upTo, ByteBuffer content) {
                        found.add(() -> opened.snapshot(upTo, content));
                      }

                      @Override
                      public void record(long number, ByteBuffer content) {
                        found.add(() -> opened.record(number, content));
                      }
                    });
            RecordLog.Found all = log.found();
            found.add(() -> opened.opened(all));
          } catch (IOException e) {
            found.clear();
            found.add(() -> opened.failed(e));
            endQuietly();
          }
          post.accept(() -> found.forEach(Runnable::run));
        });
  }

  /** False where too much waits already: the disk does not keep up, or is stuck. */
  public boolean append(ByteBuffer content, Told told) {
    return ask(new Waiting(content, NO_SNAPSHOT, told));
  }

  /**
   * A snapshot in place of all records up to one that is sure; told as sure under that record's
   * number. False where too much waits already.
   */
  public boolean snapshot(long upTo, ByteBuffer content, Told told) {
    return ask(new Waiting(content, upTo, told));
  }

  private boolean ask(Waiting one) {
    if (waiting.get() >= mostWaiting) {
      return false;
    }
    waiting.incrementAndGet();
    asked.add(one);
    work.add(this::takeAll);
    return true;
  }

  /** Records and snapshots asked for and not told of. */
  public int waiting() {
    return waiting.get();
  }

  /** Ends as soon as the disk lets it; what was not told as sure may be kept or not. */
  @Override
  public void close() {
    work.add(
        () -> {
          endQuietly();
          Thread.currentThread().interrupt();
        });
  }

  private void work() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        work.take().run();
      }
    } catch (InterruptedException e) {
      // Closed: nobody waits for anything more.
    }
  }

  /**
   * All records that wait, as one commit; a snapshot is kept by itself, between those around it.
   */
  private void takeAll() {
    List<Waiting> batch = new ArrayList<>();
    while (!asked.isEmpty() && asked.peek().snapshotUpTo() == NO_SNAPSHOT) {
      batch.add(asked.poll());
    }
    if (batch.isEmpty() && !asked.isEmpty()) {
      Waiting one = asked.poll();
      tell(
          List.of(one),
          () -> {
            log.snapshot(one.snapshotUpTo(), one.content());
            return one.snapshotUpTo();
          });
    } else if (!batch.isEmpty()) {
      tell(
          batch,
          () -> {
            long first = 0;
            for (Waiting one : batch) {
              long number = log.add(one.content());
              first = first == 0 ? number : first;
            }
            log.commit();
            return first;
          });
    }
  }

  private interface Step {
    long run() throws IOException;
  }

  private void tell(List<Waiting> batch, Step step) {
    Runnable outcome;
    try {
      if (log == null) {
        throw new IOException("the log is not open");
      }
      long first = step.run();
      outcome =
          () -> {
            for (int k = 0; k < batch.size(); k++) {
              batch.get(k).told().sure(first + k);
            }
          };
    } catch (IOException e) {
      outcome = () -> batch.forEach(one -> one.told().lost(e));
    }
    waiting.addAndGet(-batch.size());
    post.accept(outcome);
  }

  private void endQuietly() {
    try {
      end();
    } catch (IOException e) {
      // It is given up; what was sure is on the disk.
    }
  }

  private void end() throws IOException {
    RecordLog before = log;
    StorageDirectory place = disk;
    log = null;
    disk = null;
    if (before != null) {
      before.close();
    }
    if (place != null) {
      place.close();
    }
  }
}
