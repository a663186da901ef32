package weldcross.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's I/O processor, extended by gathering writes, by tasks that run after pending reads and by
 * a limit on the clients that send more than is held. MINA itself writes one buffer at a time and
 * does not expose the channel of a session; the channel is found by the selection key that is
 * attached to the session.
 */
final class GatheringIoProcessor extends NioProcessor {

  private static final Logger LOG = Logger.getLogger(GatheringIoProcessor.class.getName());
  private static final String CHANNEL = "channel";

  private final Runnable onBatchRead;

  private final BulkReadLimiter<NioSession> bulkReads =
      new BulkReadLimiter<>(StreamHandler::streamOf, this::isReadable);

  /** Clients of which more input may have arrived than was read. */
  private final Set<ClientStream> unread = new HashSet<>();

  /** Tasks that run at the end of the read batch after the current one. */
  private final Queue<Runnable> submittedTasks = new ConcurrentLinkedQueue<>();

  /** Tasks that run at the end of the current read batch. */
  private final ArrayDeque<Runnable> dueTasks = new ArrayDeque<>();

  /**
   * Creates a processor with one thread.
   *
   * @param executor provides the thread
   * @param onBatchRead called on that thread when all sockets that one select reported as readable
   *     were read
   */
  GatheringIoProcessor(Executor executor, Runnable onBatchRead) {
    super(executor);
    this.onBatchRead = onBatchRead;
  }

  /**
   * Runs a task on this processor's thread after everything received until now was read, except
   * from clients that {@link BulkReadLimiter} has deferred.
   */
  void afterPendingReads(Runnable task) {
    submittedTasks.add(task);
    wakeup();
  }

  @Override
  protected int select(long timeout) throws Exception {
    onBatchRead.run();
    for (Runnable task = dueTasks.poll(); task != null; task = dueTasks.poll()) {
      runAndLogFailure(task);
    }
    onBatchRead.run();
    for (Runnable task = submittedTasks.poll(); task != null; task = submittedTasks.poll()) {
      dueTasks.add(task);
    }
    if (!dueTasks.isEmpty() || !unread.isEmpty()) {
      wakeup();
    }
    int selected = super.select(timeout);
    if (selected == 0) {
      unread.forEach(ClientStream::inputDrained);
      unread.clear();
    }
    return selected;
  }

  /** Returns the number of the current or last pass; each pass selects all that is readable. */
  long pass() {
    return bulkReads.pass();
  }

  /** Records that a read of a client may have left input; the next pass shows whether it has. */
  void inputLeftUnread(ClientStream stream) {
    unread.add(stream);
  }

  @Override
  protected Iterator<NioSession> selectedSessions() {
    Iterator<NioSession> chosen = bulkReads.choose(super.selectedSessions());
    unread.removeIf(this::isDrained);
    return chosen;
  }

  /** Returns whether a client has no more input, as this pass did not select it for reading. */
  private boolean isDrained(ClientStream stream) {
    if (stream.isReadableIn(pass())) {
      return false;
    }
    stream.inputDrained();
    return true;
  }

  /** Catches the exception of a task, as it would end this thread, which reads all connections. */
  private static void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "task after pending reads failed", e);
    }
  }

  @Override
  protected void init(NioSession session) throws Exception {
    super.init(session);
    for (SelectionKey key : selector.keys()) {
      if (key.attachment() == session) {
        session.setAttribute(CHANNEL, key.channel());
        return;
      }
    }
  }

  /** Half-closes immediately; the session's own close is delayed to the processor's thread. */
  static void shutdownOutput(IoSession session) {
    SocketChannel channel = (SocketChannel) session.getAttribute(CHANNEL);
    try {
      if (channel != null) {
        channel.shutdownOutput();
      }
    } catch (IOException e) {
      // Already closed by the peer.
    }
  }

  /** Writes immediately; returns false if a rest could not be sent, which remains in the parts. */
  static boolean writeNow(IoSession session, ByteBuffer... parts) {
    SocketChannel channel = (SocketChannel) session.getAttribute(CHANNEL);
    try {
      if (channel != null) {
        channel.write(parts);
      }
    } catch (IOException e) {
      // Closed by the peer, which the next read reports.
    }
    return !parts[parts.length - 1].hasRemaining();
  }

  @Override
  protected int write(NioSession session, IoBuffer buffer, int length) throws IOException {
    return buffer instanceof CompositeBuffer composite
        ? (int) composite.writeTo((SocketChannel) session.getAttribute(CHANNEL))
        : super.write(session, buffer, length);
  }
}
