package weldcross.gateway;

import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * Accepts clients up to a number of open connections of all kinds. Those beyond it are closed where
 * they are accepted, before anything of them is read: they cost no session, no event and no
 * descriptor, however fast they come again. They are told nothing: a word that came before their
 * first request would be taken for its answer, and what they sent meanwhile takes it back on its
 * way.
 */
final class ConnectionLimitAcceptor extends NioSocketAcceptor {

  private final AtomicInteger open = new AtomicInteger();
  private final int most;
  private final IntSupplier others;

  /**
   * @param others how many connections that were not accepted here are open
   */
  ConnectionLimitAcceptor(
      Executor executor, IoProcessor<NioSession> processor, int most, IntSupplier others) {
    super(executor, processor);
    this.most = most;
    this.others = others;
  }

  /** A connection that was accepted has ended. */
  void ended() {
    open.decrementAndGet();
  }

  @Override
  protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
      throws Exception {
    if (open.get() + others.getAsInt() >= most) {
      SocketChannel surplus = handle.accept();
      if (surplus != null) {
        surplus.close();
      }
      return null;
    }
    NioSession session = super.accept(processor, handle);
    if (session != null) {
      open.incrementAndGet();
    }
    return session;
  }
}
