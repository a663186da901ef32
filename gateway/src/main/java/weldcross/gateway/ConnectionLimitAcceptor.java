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
 * Accepts clients up to a limit of open connections of all kinds. A client beyond it is closed as
 * it is accepted, before anything of it is read: it costs no session, no event and no lasting
 * descriptor, however fast it returns. It is sent no error: a message before its first request
 * would be taken for the answer to that, and what it sends meanwhile would reset the connection.
 */
final class ConnectionLimitAcceptor extends NioSocketAcceptor {

  private final AtomicInteger accepted = new AtomicInteger();
  private final int maxConnections;
  private final IntSupplier otherConnections;

  /**
   * Creates an acceptor.
   *
   * @param executor provides its thread
   * @param processor reads and writes its sessions
   * @param maxConnections limit for accepted and other connections together
   * @param otherConnections number of open connections that were not accepted here
   */
  ConnectionLimitAcceptor(
      Executor executor,
      IoProcessor<NioSession> processor,
      int maxConnections,
      IntSupplier otherConnections) {
    super(executor, processor);
    this.maxConnections = maxConnections;
    this.otherConnections = otherConnections;
  }

  /** Notes that an accepted connection was closed. */
  void connectionClosed() {
    accepted.decrementAndGet();
  }

  @Override
  protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
      throws Exception {
    if (accepted.get() + otherConnections.getAsInt() >= maxConnections) {
      SocketChannel surplus = handle.accept();
      if (surplus != null) {
        surplus.close();
      }
      return null;
    }
    NioSession session = super.accept(processor, handle);
    if (session != null) {
      accepted.incrementAndGet();
    }
    return session;
  }
}
