package weldcross.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's processor with gathering writes and with tasks that run once pending reads are done. MINA
 * itself writes one buffer at a time and does not show the channel of a session; the selector's key
 * knows both.
 */
final class GatheringIoProcessor extends NioProcessor {

  private static final Logger LOG = Logger.getLogger(GatheringIoProcessor.class.getName());
  private static final String CHANNEL = "channel";

  private final Runnable onBatchRead;

  /** Tasks for the end of the batch of reads after the current one. */
  private final Queue<Runnable> submitted = new ConcurrentLinkedQueue<>();

  /** Tasks for the end of the current batch of reads. */
  private final ArrayDeque<Runnable> due = new ArrayDeque<>();

  /**
   * Creates a processor with one thread.
   *
   * @param executor provides the thread
   * @param onBatchRead called, on that thread, when everything was read that one select found
   */
  GatheringIoProcessor(Executor executor, Runnable onBatchRead) {
    super(executor);
    this.onBatchRead = onBatchRead;
  }

  /** Runs a task, on this processor's thread, once everything that has arrived by now was read. */
  void afterPendingReads(Runnable task) {
    submitted.add(task);
    wakeup();
  }

  @Override
  protected int select(long timeout) throws Exception {
    onBatchRead.run();
    for (Runnable task = due.poll(); task != null; task = due.poll()) {
      runIsolated(task);
    }
    onBatchRead.run();
    for (Runnable task = submitted.poll(); task != null; task = submitted.poll()) {
      due.add(task);
    }
    if (!due.isEmpty()) {
      wakeup();
    }
    return super.select(timeout);
  }

  /** Keeps an exception of one task from this thread, which reads all connections. */
  private static void runIsolated(Runnable task) {
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

  /** Half-closes at once; the session's own close waits for the processor's thread. */
  static void shutdownOutput(IoSession session) {
    SocketChannel channel = (SocketChannel) session.getAttribute(CHANNEL);
    try {
      if (channel != null) {
        channel.shutdownOutput();
      }
    } catch (IOException e) {
      // Closed by the other side.
    }
  }

  /** Returns whether everything was sent; else the parts have the rest. */
  static boolean writeNow(IoSession session, ByteBuffer... parts) {
    SocketChannel channel = (SocketChannel) session.getAttribute(CHANNEL);
    try {
      if (channel != null) {
        channel.write(parts);
      }
    } catch (IOException e) {
      // Closed by the other side, which is reported by the next read.
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
