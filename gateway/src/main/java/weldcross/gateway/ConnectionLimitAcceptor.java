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
 * Accepts client connections up to a limit on all open connections of the process. A connection
 * beyond the limit is closed as soon as it is accepted, before anything is read, so that clients
 * that reconnect quickly cost no session, no event and no descriptor for longer than that. No error
 * is sent: the client would take it for the response to its first request, and whatever the client
 * sends meanwhile would reset the connection.
 */
final class ConnectionLimitAcceptor extends NioSocketAcceptor {

  private final AtomicInteger accepted = new AtomicInteger();
  private final int maxConnections;
  private final IntSupplier otherConnections;

  /**
   * Creates an acceptor.
   *
   * @param executor provides its thread
   * @param processor reads and writes the sessions
   * @param maxConnections limit on the sum of accepted and other connections
   * @param otherConnections returns the number of open connections not accepted by this acceptor
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

  /** Must be called once for each accepted connection that is closed. */
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
