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
 * Keeps this gateway's incarnation number on disk: one more at each start, and a higher one on
 * demand. A number is reported only once it is durable.
 *
 * <p>While the disk fails no number is reported and the store tries again; a damaged log needs an
 * operator and is not tried again.
 */
final class IncarnationStore implements AutoCloseable {

  /** The name of the log's directory, which is part of the stored data. */
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
   * Creates a store that reads nothing before {@link #open}.
   *
   * @param onStored is given each number once it is durable, on the gateway's thread
   */
  IncarnationStore(Path directory, ExtensionContext context, LongConsumer onStored) {
    this.context = context;
    this.onStored = onStored;
    this.log =
        new AsyncRecordLog(
            directory.resolve(LOG_DIRECTORY), SEGMENT_BYTES, MAX_PENDING_WRITES, context::post);
  }

  /** Reads the last number and stores the next one. */
  void open() {
    log.open(new LastNumberReader());
  }

  /** Stores the next number above the given one. */
  void storeAbove(long number) {
    store(number + 1);
  }

  /** The latest durable number; zero before the first. */
  long current() {
    return current;
  }

  /** Why no number can be stored; empty where the disk works. */
  Optional<String> failure() {
    return failure;
  }

  /** Writes that wait for the disk. */
  int pendingWrites() {
    return log.queuedWrites();
  }

  @Override
  public void close() {
    log.close();
  }

  private final class LastNumberReader implements AsyncRecordLog.OpenListener {
    private long last;

    @Override
    public void snapshot(long upTo, ByteBuffer content) {
      last = Math.max(last, content.getLong());
    }

    @Override
    public void record(long number, ByteBuffer content) {
      last = Math.max(last, content.getLong());
    }

    @Override
    public void opened(RecordLog.Recovered found) {
      if (found.tornBytes() > 0) {
        LOG.warning(() -> "mesh: torn end of log cut off: bytes=" + found.tornBytes());
      }
      storeAbove(Math.max(last, current));
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
      onFailure(new IOException("too many writes wait for the disk"));
    }
  }

  /** A snapshot of the number lets the log delete the records before it. */
  private void compact(long recordNumber, long number) {
    boolean accepted =
        log.snapshot(
            recordNumber,
            encode(number),
            new AsyncRecordLog.WriteListener() {
              @Override
              public void durable(long upTo) {
                // Nothing depends on it: it only saves space.
              }

              @Override
              public void failed(IOException cause) {
                LOG.warning(() -> "mesh: snapshot failed: reason=" + cause.getMessage());
              }
            });
    if (!accepted) {
      LOG.fine("mesh: snapshot skipped: reason=too many writes wait for the disk");
    }
  }

  private static ByteBuffer encode(long number) {
    return ByteBuffer.allocate(Long.BYTES).putLong(number).flip();
  }

  /**
   * Without a durable number this gateway must not connect: peers would take it for its previous
   * process. Serving goes on without the mesh.
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
      context.at(context.now().plus(RETRY_DELAY), this::open);
    }
  }
}
