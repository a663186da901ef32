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
 * A {@link RecordLog} on a thread of its own, for an event loop that must not wait.
 *
 * <p>Writes are queued, and their outcome is reported by a listener on the event loop. Records that
 * are queued while storage is busy are committed together. Storage that is stuck delays this log
 * alone; {@link #queued} tells how much waits for it. All methods are called on the event loop.
 */
public final class AsyncRecordLog implements AutoCloseable {

  /** Takes what a log holds once it is opened, all in one task on the event loop. */
  public interface OpenListener extends RecordLog.Reader {

    @Override
    void snapshot(long upTo, ByteBuffer content);

    @Override
    void record(long number, ByteBuffer content);

    /** The snapshot and all records have been passed; from now on writes are taken. */
    void opened(RecordLog.Recovered recovered);

    /**
     * The log could not be opened.
     *
     * @param reason a {@link CorruptLogException} where opening it again does not help
     */
    void failed(IOException reason);
  }

  /** Takes the outcome of a write, on the event loop. */
  public interface WriteListener {

    /**
     * The record or snapshot is durable.
     *
     * @param number of the record, or of the last record that the snapshot replaces
     */
    void durable(long number);

    /**
     * The write failed.
     *
     * @param reason a {@link WriteRejectedException} where nothing was stored; else that is
     *     unknown, and every write fails until the log is opened again
     */
    void failed(IOException reason);
  }

  /** A queued record, or snapshot if {@code snapshotUpTo} is not {@link #NO_SNAPSHOT}. */
  private record Write(ByteBuffer content, long snapshotUpTo, WriteListener listener) {

    boolean isSnapshot() {
      return snapshotUpTo != NO_SNAPSHOT;
    }
  }

  /** Writes a batch, and returns the number of its first record, or of its snapshot. */
  private interface BatchWrite {
    long run() throws IOException;
  }

  private static final long NO_SNAPSHOT = -1;

  private final Path path;
  private final long segmentBytes;
  private final int maxQueued;
  private final Consumer<Runnable> eventLoop;
  private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<Write> writes = new LinkedBlockingQueue<>();
  private final AtomicInteger queued = new AtomicInteger();

  // Used by the log's thread alone.
  private StorageDirectory directory;
  private RecordLog log;

  /**
   * Starts the log's thread; {@link #open} opens the log.
   *
   * @param path of the log's directory, which is created if absent
   * @param segmentBytes length in bytes beyond which a segment is followed by another
   * @param maxQueued records and snapshots that may be queued
   * @param eventLoop runs the listeners
   */
  public AsyncRecordLog(Path path, long segmentBytes, int maxQueued, Consumer<Runnable> eventLoop) {
    this.path = path;
    this.segmentBytes = segmentBytes;
    this.maxQueued = maxQueued;
    this.eventLoop = eventLoop;
    Thread thread = new Thread(this::runTasks, "disk " + path.getFileName());
    thread.setDaemon(true);
    thread.start();
  }

  /** Opens the log, or opens it again after a failure. */
  public void open(OpenListener listener) {
    tasks.add(
        () -> {
          List<Runnable> events = new ArrayList<>();
          try {
            reopen(listener, events);
          } catch (IOException e) {
            events.clear();
            events.add(() -> listener.failed(e));
            closeLogQuietly();
          }
          eventLoop.accept(() -> events.forEach(Runnable::run));
        });
  }

  private void reopen(OpenListener listener, List<Runnable> events) throws IOException {
    closeLog();
    directory = FileStorageDirectory.at(path);
    log =
        RecordLog.open(
            directory,
            segmentBytes,
            new RecordLog.Reader() {
              @Override
              public void snapshot(long upTo, ByteBuffer content) {
                events.add(() -> listener.snapshot(upTo, content));
              }

              @Override
              public void record(long number, ByteBuffer content) {
                events.add(() -> listener.record(number, content));
              }
            });
    RecordLog.Recovered recovered = log.recovered();
    events.add(() -> listener.opened(recovered));
  }

  /**
   * Queues a record.
   *
   * @return false where too much is queued already; the listener is not called then
   */
  public boolean append(ByteBuffer content, WriteListener listener) {
    return enqueue(new Write(content, NO_SNAPSHOT, listener));
  }

  /**
   * Queues a snapshot.
   *
   * @param upTo number of a durable record, the last that the snapshot replaces
   * @return false where too much is queued already; the listener is not called then
   */
  public boolean snapshot(long upTo, ByteBuffer content, WriteListener listener) {
    return enqueue(new Write(content, upTo, listener));
  }

  private boolean enqueue(Write write) {
    if (queued.get() >= maxQueued) {
      return false;
    }
    queued.incrementAndGet();
    writes.add(write);
    tasks.add(this::writeQueued);
    return true;
  }

  /** Number of records and snapshots that are queued or being written. */
  public int queued() {
    return queued.get();
  }

  /** Closes the log once the tasks queued so far are done, without waiting for that. */
  @Override
  public void close() {
    tasks.add(
        () -> {
          closeLogQuietly();
          Thread.currentThread().interrupt();
        });
  }

  private void runTasks() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        tasks.take().run();
      }
    } catch (InterruptedException e) {
      // Closed: nobody waits for anything more.
    }
  }

  /** Writes all queued records by one commit, or one snapshot where that is next. */
  private void writeQueued() {
    List<Write> records = new ArrayList<>();
    while (!writes.isEmpty() && !writes.peek().isSnapshot()) {
      records.add(writes.poll());
    }
    if (!records.isEmpty()) {
      write(records, () -> commit(records));
    } else if (!writes.isEmpty()) {
      Write snapshot = writes.poll();
      write(List.of(snapshot), () -> takeSnapshot(snapshot));
    }
  }

  private long commit(List<Write> records) throws IOException {
    long firstNumber = log.lastRecord() + 1;
    for (Write record : records) {
      log.append(record.content());
    }
    log.commit();
    return firstNumber;
  }

  private long takeSnapshot(Write snapshot) throws IOException {
    log.snapshot(snapshot.snapshotUpTo(), snapshot.content());
    return snapshot.snapshotUpTo();
  }

  private void write(List<Write> batch, BatchWrite batchWrite) {
    Runnable outcome;
    try {
      if (log == null) {
        throw new IOException("the log is not open");
      }
      long firstNumber = batchWrite.run();
      outcome = () -> reportDurable(batch, firstNumber);
    } catch (IOException e) {
      outcome = () -> batch.forEach(write -> write.listener().failed(e));
    }
    queued.addAndGet(-batch.size());
    eventLoop.accept(outcome);
  }

  private static void reportDurable(List<Write> batch, long firstNumber) {
    for (int k = 0; k < batch.size(); k++) {
      batch.get(k).listener().durable(firstNumber + k);
    }
  }

  private void closeLogQuietly() {
    try {
      closeLog();
    } catch (IOException e) {
      // Durable records stay so, and nothing more is written.
    }
  }

  private void closeLog() throws IOException {
    final RecordLog closedLog = log;
    final StorageDirectory closedDirectory = directory;
    log = null;
    directory = null;
    if (closedLog != null) {
      closedLog.close();
    }
    if (closedDirectory != null) {
      closedDirectory.close();
    }
  }
}
