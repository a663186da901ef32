package weldcross.chaos.proxy;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Opens and closes the addresses of routes, on the proxy's thread.
 *
 * <p>Behind a cut a connection must not come up. The system accepts connections before any process
 * sees them, so while a path is cut its address becomes a black hole: a listener whose queue is
 * full. Whoever connects then waits for an answer that does not come, as with a machine that is
 * gone.
 */
final class RouteListeners {

  /**
   * Ports of routes lie below those that the system gives to clients: no client may take the
   * address of a route that a fault has closed.
   */
  private static final int FIRST_PORT = 10_000;

  private static final int LAST_PORT = 30_000;
  private static final int BACKLOG = 512;
  private static final int BLACK_HOLE_BACKLOG = 1;

  /** Connections that fill the queue of a black hole. */
  private static final int BLACK_HOLE_FILLERS = 6;

  private static final Duration BIND_TIMEOUT = Duration.ofSeconds(5);
  private static final long BIND_RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final InetAddress host;
  private final Selector selector;
  private final NetworkPaths paths;
  private final Consumer<Route> onAcceptable;
  private int nextPort = FIRST_PORT;

  RouteListeners(
      InetAddress host, Selector selector, NetworkPaths paths, Consumer<Route> onAcceptable) {
    this.host = host;
    this.selector = selector;
    this.paths = paths;
    this.onAcceptable = onAcceptable;
  }

  /** Gives a new route the first free address. */
  void open(Route route) throws IOException {
    while (true) {
      ServerSocketChannel channel = ServerSocketChannel.open();
      try {
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(new InetSocketAddress(host, nextPort++), BACKLOG);
        accept(route, channel);
        return;
      } catch (BindException e) {
        channel.close();
        if (nextPort > LAST_PORT) {
          throw e;
        }
      }
    }
  }

  /** Opens, closes or blackholes the address of a route, as its faults and paths want it now. */
  void update(Route route) throws IOException {
    boolean shouldSwallow = !route.isRefusing() && paths.isCutInEitherDirection(route);
    boolean shouldAccept = !route.isRefusing() && !shouldSwallow && !route.isTargetUnreachable();
    if (shouldAccept == route.listener().isPresent()
        && shouldSwallow == route.blackHole().isPresent()) {
      return;
    }
    close(route);
    // A closed channel keeps its address until the selector has let go of it.
    selector.selectNow();
    selector.selectedKeys().clear();
    if (shouldAccept) {
      accept(route, bindAgain(route.address(), BACKLOG));
    } else if (shouldSwallow) {
      openBlackHole(route);
    }
  }

  /** Closes the address of a route. */
  void close(Route route) throws IOException {
    if (route.listener().isPresent()) {
      route.listener().get().close();
      route.setListener(null);
    }
    for (SocketChannel filler : route.blackHoleFillers()) {
      filler.close();
    }
    route.blackHoleFillers().clear();
    if (route.blackHole().isPresent()) {
      route.blackHole().get().close();
      route.setBlackHole(null);
    }
  }

  private void accept(Route route, ServerSocketChannel channel) throws IOException {
    route.setListener(channel);
    route.setAddress((InetSocketAddress) channel.getLocalAddress());
    channel.configureBlocking(false);
    Runnable acceptable = () -> onAcceptable.accept(route);
    channel.register(selector, SelectionKey.OP_ACCEPT, acceptable);
  }

  private void openBlackHole(Route route) throws IOException {
    route.setBlackHole(bindAgain(route.address(), BLACK_HOLE_BACKLOG));
    for (int filler = 0; filler < BLACK_HOLE_FILLERS; filler++) {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.connect(route.address());
      route.blackHoleFillers().add(channel);
    }
  }

  /**
   * Listens where this process has listened before. While the system starts another process for
   * this one, that holds a copy of each descriptor until it has become its program: what was closed
   * here still listens there for a moment.
   */
  private static ServerSocketChannel bindAgain(InetSocketAddress address, int backlog)
      throws IOException {
    long deadline = System.nanoTime() + BIND_TIMEOUT.toNanos();
    while (true) {
      ServerSocketChannel channel = ServerSocketChannel.open();
      try {
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return channel.bind(address, backlog);
      } catch (BindException e) {
        channel.close();
        if (System.nanoTime() > deadline) {
          throw e;
        }
        LockSupport.parkNanos(BIND_RETRY_INTERVAL_NANOS);
      }
    }
  }
}
