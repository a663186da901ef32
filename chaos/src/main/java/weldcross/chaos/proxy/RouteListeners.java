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
 * Opens and closes the listeners of routes; confined to the proxy thread.
 *
 * <p>No connection may be established across a cut path. The kernel completes TCP handshakes before
 * the process accepts the connection, so while a path is cut its address becomes a black hole: a
 * listener whose accept queue is full. A client that connects then gets no reply, as if the host
 * were down.
 */
final class RouteListeners {

  /**
   * The port range of routes lies below the ephemeral port range, so that no client socket can be
   * bound to the address of a route while a fault has closed it.
   */
  private static final int FIRST_PORT = 10_000;

  private static final int LAST_PORT = 30_000;
  private static final int BACKLOG = 512;
  private static final int BLACK_HOLE_BACKLOG = 1;

  /** The number of connections that fill the accept queue of a black hole. */
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

  /** Opens a new route on the first free port. */
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

  /** Opens, closes or blackholes the address of a route according to its current faults. */
  void update(Route route) throws IOException {
    boolean shouldBlackhole = !route.isRefusing() && paths.isCutInEitherDirection(route);
    boolean shouldAccept = !route.isRefusing() && !shouldBlackhole && !route.isTargetUnreachable();
    if (shouldAccept == route.listener().isPresent()
        && shouldBlackhole == route.blackHole().isPresent()) {
      return;
    }
    close(route);
    // A closed channel stays bound until the selector has deregistered it.
    selector.selectNow();
    selector.selectedKeys().clear();
    if (shouldAccept) {
      accept(route, rebind(route.address(), BACKLOG));
    } else if (shouldBlackhole) {
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
    route.setBlackHole(rebind(route.address(), BLACK_HOLE_BACKLOG));
    for (int filler = 0; filler < BLACK_HOLE_FILLERS; filler++) {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.connect(route.address());
      route.blackHoleFillers().add(channel);
    }
  }

  /**
   * Binds an address that this process had bound before, with retries. A child process inherits all
   * descriptors between fork and exec, so a listener that is closed here may stay open there for a
   * moment.
   */
  private static ServerSocketChannel rebind(InetSocketAddress address, int backlog)
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
