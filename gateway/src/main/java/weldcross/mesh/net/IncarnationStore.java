package weldcross.mesh.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.logging.Logger;
import weldcross.extension.ExtensionContext;
import weldcross.storage.AsyncRecordLog;
import weldcross.storage.CorruptLogException;
import weldcross.storage.RecordLog;

/**
 * Stores this gateway's incarnation number on disk. Each start increments the number, and {@link
 * #storeAbove} raises it on demand. A number is reported only once it is durable.
 *
 * <p>After a disk failure the store retries, and reports no number until a write succeeds. A
 * corrupt log is not retried, as it needs an operator.
 */
final class IncarnationStore implements AutoCloseable {

  /** The name of the log directory; part of the storage format, so it must not change. */
  private static final String LOG_DIRECTORY = "link";

  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
  private static final long SEGMENT_BYTES = 64 << 10;
  private static final int MAX_PENDING_WRITES = 16;
  private static final Logger LOG = Logger.getLogger(IncarnationStore.class.getName());

  private final ExtensionContext context;
  private final LongConsumer onStored;
  private final AsyncRecordLog log;
  private long current;
  private Optional<String> failure = Optional.empty();

  /**
   * Creates a store; performs no I/O before {@link #open}.
   *
   * @param onStored receives each number once it is durable, on the gateway's event loop thread
   */
  IncarnationStore(Path directory, ExtensionContext context, LongConsumer onStored) {
    this.context = context;
    this.onStored = onStored;
    this.log =
        new AsyncRecordLog(
            directory.resolve(LOG_DIRECTORY), SEGMENT_BYTES, MAX_PENDING_WRITES, context::post);
  }

  /** Reads the last stored number and stores its successor. */
  void open() {
    log.open(new IncarnationReader());
  }

  /** Stores the successor of the given number. */
  void storeAbove(long number) {
    store(number + 1);
  }

  /** The latest durable number; zero if none is durable yet. */
  long current() {
    return current;
  }

  /**
   * Why the last attempt to store a number failed; empty if no attempt has failed since the last
   * success.
   */
  Optional<String> failure() {
    return failure;
  }

  /** The number of writes that are not durable yet. */
  int pendingWrites() {
    return log.queuedWrites();
  }

  @Override
  public void close() {
    log.close();
  }

  private final class IncarnationReader implements AsyncRecordLog.OpenListener {
    private long lastNumber;

    @Override
    public void snapshot(long upTo, ByteBuffer content) {
      lastNumber = Math.max(lastNumber, content.getLong());
    }

    @Override
    public void record(long number, ByteBuffer content) {
      lastNumber = Math.max(lastNumber, content.getLong());
    }

    @Override
    public void opened(RecordLog.Recovered recovered) {
      if (recovered.tornBytes() > 0) {
        LOG.warning(() -> "mesh: torn log tail truncated: bytes=" + recovered.tornBytes());
      }
      storeAbove(Math.max(lastNumber, current));
    }

    @Override
    public void failed(IOException cause) {
      onFailure(cause);
    }
  }

  private void store(long number) {
    boolean accepted =
        log.append(
            encode(number),
            new AsyncRecordLog.WriteListener() {
              @Override
              public void durable(long recordNumber) {
                current = number;
                failure = Optional.empty();
                onStored.accept(number);
                compact(recordNumber, number);
              }

              @Override
              public void failed(IOException cause) {
                onFailure(cause);
              }
            });
    if (!accepted) {
      onFailure(new IOException("too many pending writes"));
    }
  }

  /** Writes a snapshot of the number, so that the log can delete the earlier records. */
  private void compact(long recordNumber, long number) {
    boolean accepted =
        log.snapshot(
            recordNumber,
            encode(number),
            new AsyncRecordLog.WriteListener() {
              @Override
              public void durable(long upTo) {
                // Nothing to do: the snapshot only saves space.
              }

              @Override
              public void failed(IOException cause) {
                LOG.warning(() -> "mesh: snapshot failed: reason=" + cause.getMessage());
              }
            });
    if (!accepted) {
      LOG.fine("mesh: snapshot skipped: reason=too many pending writes");
    }
  }

  private static ByteBuffer encode(long number) {
    return ByteBuffer.allocate(Long.BYTES).putLong(number).flip();
  }

  /**
   * Without a durable number this gateway must not connect, because peers could not distinguish it
   * from its previous process. Clients are served without the mesh.
   */
  private void onFailure(IOException cause) {
    boolean retry = !(cause instanceof CorruptLogException);
    if (!failure.equals(Optional.of(cause.getMessage()))) {
      failure = Optional.of(cause.getMessage());
      LOG.severe(
          () ->
              "mesh: incarnation not stored, no peer is connected: retry="
                  + retry
                  + " reason="
                  + cause.getMessage());
    }
    if (retry) {
      context.schedule(context.now().plus(RETRY_DELAY), this::open);
    }
  }
}
