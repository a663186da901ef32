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
 * Runs a {@link RecordLog} on a dedicated thread, for use from an event loop that must not block.
 *
 * <p>Writes are queued, and their outcome is reported to a listener on the event loop. Records that
 * are queued while storage is busy are committed together. Blocked storage delays only this log;
 * {@link #queuedWrites} returns the length of its backlog. All methods must be called on the event
 * loop.
 */
public final class AsyncRecordLog implements AutoCloseable {

  /** Receives the contents of a log when it is opened, in a single task on the event loop. */
  public interface OpenListener extends RecordLog.Reader {

    @Override
    void snapshot(long upTo, ByteBuffer content);

    @Override
    void record(long number, ByteBuffer content);

    /** Called after the snapshot and all records; writes are accepted from then on. */
    void opened(RecordLog.Recovered recovered);

    /**
     * Called if the log could not be opened.
     *
     * @param reason a {@link CorruptLogException} if retrying cannot succeed
     */
    void failed(IOException reason);
  }

  /** Receives the outcome of a write on the event loop. */
  public interface WriteListener {

    /**
     * Called when the record or snapshot is durable.
     *
     * @param number number of the record, or of the last record that the snapshot replaces
     */
    void durable(long number);

    /**
     * Called if the write failed.
     *
     * @param reason a {@link WriteRejectedException} if nothing was stored; for any other exception
     *     it is unknown what was stored, and all writes fail until the log is reopened
     */
    void failed(IOException reason);
  }

  /** A queued record, or a snapshot if {@code snapshotUpTo} is not {@link #NO_SNAPSHOT}. */
  private record Write(ByteBuffer content, long snapshotUpTo, WriteListener listener) {

    boolean isSnapshot() {
      return snapshotUpTo != NO_SNAPSHOT;
    }
  }

  /** Writes a batch; returns the number of its first record or of its snapshot. */
  private interface BatchWrite {
    long run() throws IOException;
  }

  private static final long NO_SNAPSHOT = -1;

  private final Path path;
  private final long segmentBytes;
  private final int maxQueuedWrites;
  private final Consumer<Runnable> eventLoop;
  private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<Write> writes = new LinkedBlockingQueue<>();
  private final AtomicInteger queuedWrites = new AtomicInteger();

  // Used only by the log's thread.
  private StorageDirectory directory;
  private RecordLog log;

  /**
   * Starts the log's thread; {@link #open} opens the log.
   *
   * @param path path of the log's directory, which is created if absent
   * @param segmentBytes segment size in bytes beyond which a new segment is started
   * @param maxQueuedWrites maximum number of queued records and snapshots
   * @param eventLoop runs the listeners
   */
  public AsyncRecordLog(
      Path path, long segmentBytes, int maxQueuedWrites, Consumer<Runnable> eventLoop) {
    this.path = path;
    this.segmentBytes = segmentBytes;
    this.maxQueuedWrites = maxQueuedWrites;
    this.eventLoop = eventLoop;
    Thread thread = new Thread(this::runTasks, "disk " + path.getFileName());
    thread.setDaemon(true);
    thread.start();
  }

  /** Opens the log, or reopens it after a failure. */
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
    directory = FileStorageDirectory.openDirectory(path);
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
   * @return false if the queue is full; the listener is not called in that case
   */
  public boolean append(ByteBuffer content, WriteListener listener) {
    return enqueue(new Write(content, NO_SNAPSHOT, listener));
  }

  /**
   * Queues a snapshot.
   *
   * @param upTo number of the last record that the snapshot replaces, which must be durable
   * @return false if the queue is full; the listener is not called in that case
   */
  public boolean snapshot(long upTo, ByteBuffer content, WriteListener listener) {
    return enqueue(new Write(content, upTo, listener));
  }

  private boolean enqueue(Write write) {
    if (queuedWrites.get() >= maxQueuedWrites) {
      return false;
    }
    queuedWrites.incrementAndGet();
    writes.add(write);
    tasks.add(this::writeQueued);
    return true;
  }

  /** Returns the number of records and snapshots that are queued or being written. */
  public int queuedWrites() {
    return queuedWrites.get();
  }

  /** Closes the log after the tasks queued so far, without waiting for them. */
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
      // Interrupted by close(): no listener expects another outcome.
    }
  }

  /** Writes all records at the head of the queue in one commit, or the snapshot at its head. */
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
    queuedWrites.addAndGet(-batch.size());
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
      // Durable records are not affected, and nothing more is written.
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
