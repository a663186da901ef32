package weldcross.connections;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.polling.AbstractPollingIoConnector;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * Connects with MINA's connector. Connect attempts can be cancelled at any time, even at the moment
 * in which they succeed.
 *
 * <p>MINA's own cancel must not be used. If an attempt succeeds or fails while it is cancelled, the
 * connector decrements its number of pending attempts twice. Its thread then assumes that no
 * attempt is left although one is pending, and ends. The next thread finds the key of that attempt
 * already selected, so its select always returns immediately without a new key, and no later
 * attempt succeeds. MINA's connect timeout causes the same double decrement.
 *
 * <p>This class closes the channel of a cancelled attempt instead. The attempt stays in the
 * connector's count, so that the thread never ends too early. The thread frees the file descriptor
 * at its next select, within a second. As the thread may outlive its connector, connectors should
 * not be created in large numbers.
 *
 * <p>Must be called only by the thread that owns the connections; callbacks run on MINA's threads.
 */
public final class CancellableConnector {

  /** A connect attempt, which ends once: it succeeds, fails or is closed. */
  private static final class ConnectAttempt {
    private SocketChannel channel;
    private boolean ended;

    /** Ends the attempt with a callback; does nothing if it has already ended. */
    synchronized void end(Runnable callback) {
      if (!ended) {
        ended = true;
        callback.run();
      }
    }

    synchronized boolean isEnded() {
      return ended;
    }

    /**
     * Closes the channel if the connector's thread has registered it with its selector. If it were
     * closed before that, its file descriptor could be reused by another attempt at the time of the
     * registration, and the result of that attempt would never be reported.
     */
    synchronized void closeIfRegistered() {
      if (!ended && channel.isRegistered()) {
        ended = true;
        try {
          channel.close();
        } catch (IOException e) {
          // Ignored: the channel is not used any more.
        }
      }
    }
  }

  private final NioSocketConnector connector;
  private final Map<Long, ConnectAttempt> pending = new ConcurrentHashMap<>();

  /**
   * Cancelled attempts that have not ended. Those that were not registered when they were cancelled
   * are closed by a later call.
   */
  private final ArrayDeque<ConnectAttempt> cancelled = new ArrayDeque<>();

  /**
   * Creates a connector based on one of MINA.
   *
   * @param connector must not be used otherwise, and its connect timeout must be longer than any
   *     attempt lasts
   */
  public CancellableConnector(NioSocketConnector connector) {
    this.connector = connector;
  }

  /**
   * Starts to connect. Calls one of the two callbacks unless the attempt is cancelled before. An
   * attempt that is cancelled immediately may still succeed; the caller then has to close the
   * session.
   *
   * @param number identifies the attempt; must not be pending yet
   * @param address the address to connect to
   * @param onConnected called before any event of the session
   * @param onFailure called with the cause
   */
  public void connect(
      long number,
      InetSocketAddress address,
      Consumer<IoSession> onConnected,
      Consumer<Throwable> onFailure) {
    closeCancelled();
    ConnectAttempt attempt = new ConnectAttempt();
    pending.put(number, attempt);
    ConnectFuture future =
        connector.connect(
            address,
            (session, unused) ->
                attempt.end(
                    () -> {
                      pending.remove(number, attempt);
                      onConnected.accept(session);
                    }));
    if (future instanceof AbstractPollingIoConnector<?, ?>.ConnectionRequest request) {
      attempt.channel = (SocketChannel) request.getHandle();
    }
    future.addListener(
        completed -> {
          Throwable cause = ((ConnectFuture) completed).getException();
          if (cause != null) {
            attempt.end(
                () -> {
                  pending.remove(number, attempt);
                  onFailure.accept(cause);
                });
          }
        });
  }

  /**
   * Cancels an attempt.
   *
   * @return false if it has already succeeded or failed, or is unknown
   */
  public boolean cancel(long number) {
    closeCancelled();
    ConnectAttempt attempt = pending.remove(number);
    if (attempt == null) {
      return false;
    }
    cancelled.add(attempt);
    closeCancelled();
    return true;
  }

  private void closeCancelled() {
    cancelled.forEach(ConnectAttempt::closeIfRegistered);
    cancelled.removeIf(ConnectAttempt::isEnded);
  }

  /**
   * Returns the number of pending attempts, each of which has a file descriptor. May be called from
   * any thread.
   */
  public int pendingCount() {
    return pending.size();
  }
}
