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
 * Connects by MINA's connector, with attempts that can be cancelled at any moment, also in the one
 * in which they succeed.
 *
 * <p>MINA's own cancel must not be used: an attempt that succeeds or fails while it is cancelled is
 * counted off twice in the connector. Its thread then takes the last pending attempt for none and
 * ends; the next thread finds that attempt selected already, so that its select returns at once
 * without a new key, again and again, and no later attempt succeeds. MINA's time limit counts off
 * twice in the same way. Here the channel of a cancelled attempt is closed and the attempt stays in
 * the connector's count, so that the thread never ends too early; the thread frees the descriptor
 * at its next select, within a second. The thread may outlive its connector, so connectors are not
 * to be created in large numbers.
 *
 * <p>Called by the one thread that owns the connections; results come from threads of MINA.
 */
public final class CancellableConnector {

  /** An attempt, until it has succeeded, failed or been closed, whichever comes first. */
  private static final class Attempt {
    private SocketChannel channel;
    private boolean ended;

    synchronized void endWith(Runnable action) {
      if (!ended) {
        ended = true;
        action.run();
      }
    }

    synchronized boolean isEnded() {
      return ended;
    }

    /**
     * Closes the channel unless the connector's thread has not registered it yet: closed then, its
     * descriptor may belong to another attempt by the time of the registration, and that attempt
     * would never be reported.
     */
    synchronized void closeIfRegistered() {
      if (!ended && channel.isRegistered()) {
        ended = true;
        try {
          channel.close();
        } catch (IOException e) {
          // The channel is of no use any more, closed or not.
        }
      }
    }
  }

  private final NioSocketConnector connector;
  private final Map<Long, Attempt> pending = new ConcurrentHashMap<>();

  /** Cancelled before their registration; closed by a later call if they have not ended by then. */
  private final ArrayDeque<Attempt> unclosed = new ArrayDeque<>();

  /**
   * Creates a connector on top of MINA's.
   *
   * @param connector connects for nobody else, and has no time limit that an attempt may reach
   */
  public CancellableConnector(NioSocketConnector connector) {
    this.connector = connector;
  }

  /**
   * Starts to connect. One of the two callbacks is called, unless the attempt is cancelled before.
   * An attempt that is cancelled at once may succeed all the same; the caller then has to close the
   * session.
   *
   * @param number identifies the attempt; not pending yet
   * @param address where to connect to
   * @param onConnected called before any event of the session
   * @param onFailure called with the reason
   */
  public void connect(
      long number,
      InetSocketAddress address,
      Consumer<IoSession> onConnected,
      Consumer<Throwable> onFailure) {
    closeCancelled();
    Attempt attempt = new Attempt();
    pending.put(number, attempt);
    ConnectFuture future =
        connector.connect(
            address,
            (session, unused) ->
                attempt.endWith(
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
            attempt.endWith(
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
   * @return false if it has succeeded or failed already, or is not known
   */
  public boolean cancel(long number) {
    closeCancelled();
    Attempt attempt = pending.remove(number);
    if (attempt == null) {
      return false;
    }
    unclosed.add(attempt);
    closeCancelled();
    return true;
  }

  private void closeCancelled() {
    unclosed.forEach(Attempt::closeIfRegistered);
    unclosed.removeIf(Attempt::isEnded);
  }

  /** Returns the number of pending attempts, each of which has a descriptor; from any thread. */
  public int pendingCount() {
    return pending.size();
  }
}
