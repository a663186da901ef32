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
 * Dials on MINA's connector, each of which may be given up at any moment, also in the one in which
 * it comes up.
 *
 * <p>Against MINA's own cancel: a dial that comes up, or fails, as it is cancelled is counted off
 * twice. From then on the dialling thread takes the last dial under way for none and ends; the next
 * thread finds that dial selected before, so that its select returns at once, says that nothing is
 * new, and looks at nothing: it turns without a rest and no dial comes up. MINA's time limit counts
 * off twice in the same way. Here a dial that is given up has its channel closed and stays in the
 * connector's count, so that its thread never ends too soon; it rests a second at most between two
 * looks, and frees the descriptor at the next. Harmful only where connectors are made in numbers,
 * as such a thread outlives its connector's end.
 *
 * <p>Called by the thread that owns the connections; what comes of a dial is told by threads of
 * MINA's.
 */
public final class CancellableConnector {

  /** One dial, until it is up, has failed or is closed, whichever comes first. */
  private static final class Dial {
    private SocketChannel channel;
    private boolean over;

    synchronized void endBy(Runnable end) {
      if (!over) {
        over = true;
        end.run();
      }
    }

    synchronized boolean isOver() {
      return over;
    }

    /**
     * Not before the dialling thread has taken it up: closed in that moment, its descriptor may be
     * another dial's by the time that it is registered, and that one would never be heard of.
     */
    synchronized void closeIfTakenUp() {
      if (!over && channel.isRegistered()) {
        over = true;
        try {
          channel.close();
        } catch (IOException e) {
          // It was on its way to its end.
        }
      }
    }
  }

  private final NioSocketConnector connector;
  private final Map<Long, Dial> underWay = new ConcurrentHashMap<>();

  /**
   * Given up before they were taken up: closed with a later call, if nothing has come of them by
   * then.
   */
  private final ArrayDeque<Dial> unclosed = new ArrayDeque<>();

  /**
   * @param connector dials for nobody else, and has no time limit that a dial may reach
   */
  public CancellableConnector(NioSocketConnector connector) {
    this.connector = connector;
  }

  /**
   * One of the two is called unless the dial is given up before that; one that is given up at once
   * may come up all the same, and whoever gave it up then ends its session.
   *
   * @param number names the dial; not under way yet
   * @param up called before anything else is told of the session
   * @param failed called with the reason
   */
  public void dial(
      long number, InetSocketAddress to, Consumer<IoSession> up, Consumer<Throwable> failed) {
    closeTheUnclosed();
    Dial dial = new Dial();
    underWay.put(number, dial);
    ConnectFuture future =
        connector.connect(
            to,
            (session, f) ->
                dial.endBy(
                    () -> {
                      underWay.remove(number, dial);
                      up.accept(session);
                    }));
    if (future instanceof AbstractPollingIoConnector<?, ?>.ConnectionRequest request) {
      dial.channel = (SocketChannel) request.getHandle();
    }
    future.addListener(
        f -> {
          Throwable why = ((ConnectFuture) f).getException();
          if (why != null) {
            dial.endBy(
                () -> {
                  underWay.remove(number, dial);
                  failed.accept(why);
                });
          }
        });
  }

  /** Ends the dial; false where it is up, has failed or is not known. */
  public boolean giveUp(long number) {
    closeTheUnclosed();
    Dial dial = underWay.remove(number);
    if (dial == null) {
      return false;
    }
    unclosed.add(dial);
    closeTheUnclosed();
    return true;
  }

  private void closeTheUnclosed() {
    unclosed.forEach(Dial::closeIfTakenUp);
    unclosed.removeIf(Dial::isOver);
  }

  /** How many dials are under way, each of which holds a descriptor; from any thread. */
  public int underWay() {
    return underWay.size();
  }
}
