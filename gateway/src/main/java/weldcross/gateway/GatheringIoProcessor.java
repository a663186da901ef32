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
 * MINA writes one buffer at a time; this is the least that makes it gather, and tell how far it has
 * read. The channel behind a session is not to be had from it, but the selector's key knows both.
 */
final class GatheringIoProcessor extends NioProcessor {

  private static final Logger LOG = Logger.getLogger(GatheringIoProcessor.class.getName());
  private static final String CHANNEL = "channel";

  private final Runnable roundEnds;
  private final Queue<Runnable> waiting = new ConcurrentLinkedQueue<>();

  /** Those that waited before the round of reading that is under way. */
  private final ArrayDeque<Runnable> round = new ArrayDeque<>();

  /**
   * @param roundEnds called, on its own thread, when all that one round found ready has been read
   */
  GatheringIoProcessor(Executor executor, Runnable roundEnds) {
    super(executor);
    this.roundEnds = roundEnds;
  }

  /** Runs this, on its own thread, once all that has come in by now has been read. */
  void afterReading(Runnable then) {
    waiting.add(then);
    wakeup();
  }

  @Override
  protected int select(long timeout) throws Exception {
    roundEnds.run();
    for (Runnable next = round.poll(); next != null; next = round.poll()) {
      runApart(next);
    }
    roundEnds.run();
    for (Runnable next = waiting.poll(); next != null; next = waiting.poll()) {
      round.add(next);
    }
    if (!round.isEmpty()) {
      wakeup();
    }
    return super.select(timeout);
  }

  /**
   * Against a fault in one task, which would come out of every round from then on: nothing would be
   * read any more, of nobody. What it was to do is left undone.
   */
  private static void runApart(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "a task between two rounds of reading failed", e);
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

  /**
   * Tells the other side at once that nothing more comes: a session's own close waits for its
   * thread.
   */
  static void endSending(IoSession session) {
    SocketChannel channel = (SocketChannel) session.getAttribute(CHANNEL);
    try {
      if (channel != null) {
        channel.shutdownOutput();
      }
    } catch (IOException e) {
      // Already ended from the other side.
    }
  }

  /** True if all of it went out; what did not is what the parts have left. */
  static boolean writeNow(IoSession session, ByteBuffer... parts) {
    SocketChannel channel = (SocketChannel) session.getAttribute(CHANNEL);
    try {
      if (channel != null) {
        channel.write(parts);
      }
    } catch (IOException e) {
      // Ended by the other side, which is told where it is read.
    }
    return !parts[parts.length - 1].hasRemaining();
  }

  @Override
  protected int write(NioSession session, IoBuffer buffer, int length) throws IOException {
    return buffer instanceof CompositeBuffer gathered
        ? (int) gathered.writeTo((SocketChannel) session.getAttribute(CHANNEL))
        : super.write(session, buffer, length);
  }
}
