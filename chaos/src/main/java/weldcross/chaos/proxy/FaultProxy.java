package weldcross.chaos.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * The proxy that all traffic between processes crosses: streams and datagrams, each from one host
 * to another by an address of its own, and in each direction as the {@link NetworkPath} between the
 * two has it. One thread does all the work; the public methods may be called from any thread and
 * return once they act.
 */
public final class FaultProxy implements AutoCloseable {

  /** How often a target that refuses connections is tried again. */
  private static final Duration UNREACHABLE_RETRY_INTERVAL = Duration.ofMillis(20);

  private static final long MAX_SELECT_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long CLOSE_TIMEOUT_MILLIS = 5000;

  private final Selector selector = Selector.open();
  private final Queue<Runnable> commands = new ConcurrentLinkedQueue<>();
  private final NetworkPaths paths = new NetworkPaths();
  private final List<Route> routes = new ArrayList<>();
  private final DelayedTasks delayedTasks = new DelayedTasks();
  private final ProxyCounters counters = new ProxyCounters();
  private final RouteListeners listeners;
  private final StreamForwarder streams;
  private final DatagramForwarder datagrams;
  private final Thread thread;
  private volatile boolean closing;

  /**
   * Starts a proxy.
   *
   * @param host the loopback address on which all routes listen
   * @param seed of all random losses
   * @throws IOException if the system has no selector left
   */
  public FaultProxy(InetAddress host, long seed) throws IOException {
    SplittableRandom random = new SplittableRandom(seed);
    this.streams =
        new StreamForwarder(host, selector, paths, counters, random, this::onTargetUnreachable);
    this.listeners = new RouteListeners(host, selector, paths, streams::accept);
    this.datagrams = new DatagramForwarder(host, selector, paths, counters, random, delayedTasks);
    this.thread = new Thread(this::run, "fault-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  /** A task of the proxy's thread. */
  @FunctionalInterface
  private interface Command<T> {
    T run() throws IOException;
  }

  /** Runs a command on the proxy's thread and waits for it. */
  private <T> T execute(Command<T> command) {
    CompletableFuture<T> result = new CompletableFuture<>();
    commands.add(
        () -> {
          try {
            result.complete(command.run());
          } catch (IOException e) {
            result.completeExceptionally(new UncheckedIOException(e));
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    selector.wakeup();
    return result.join();
  }

  /**
   * Opens an address through which one host reaches another by streams.
   *
   * @param from the host that connects
   * @param to the host that it reaches
   * @param target where that host listens
   * @return the route, with its address
   */
  public Route openRoute(String from, String to, InetSocketAddress target) {
    return execute(
        () -> {
          Route route = new Route(from, to, target);
          listeners.open(route);
          routes.add(route);
          return route;
        });
  }

  /**
   * Opens an address through which datagrams of one host reach another.
   *
   * @param from the host that sends
   * @param to the host that it reaches
   * @param target where that host receives
   * @return the address to send to
   */
  public InetSocketAddress openDatagramRoute(String from, String to, InetSocketAddress target) {
    return execute(() -> datagrams.open(from, to, target));
  }

  /**
   * Sets the path from one host to another; what is sent from now on finds this.
   *
   * @param from the host that sends
   * @param to the host that receives
   * @param path the path in this direction
   */
  public void setPath(String from, String to, NetworkPath path) {
    execute(
        () -> {
          boolean healed = paths.get(from, to).cut() && !path.cut();
          paths.set(from, to, path);
          for (Route route : routes) {
            if (route.connects(from, to)) {
              if (healed) {
                streams.resetAll(route);
              }
              listeners.update(route);
              List.copyOf(route.connections()).forEach(streams::updateInterests);
            }
          }
          return null;
        });
  }

  /**
   * Returns the path from one host to another.
   *
   * @param from the host that sends
   * @param to the host that receives
   * @return the path in this direction
   */
  public NetworkPath path(String from, String to) {
    return execute(() -> paths.get(from, to));
  }

  /**
   * Resets all connections between two hosts, whichever of them connected.
   *
   * @param host one of them
   * @param otherHost the other
   * @return how many connections there were
   */
  public int resetConnections(String host, String otherHost) {
    return execute(
        () -> {
          int count = 0;
          for (Route route : routes) {
            if (route.connects(host, otherHost)) {
              count += streams.resetAll(route);
            }
          }
          return count;
        });
  }

  /**
   * Sets whether connections from one host to another are refused.
   *
   * @param from the host that connects
   * @param to the host that it wants to reach
   * @param on whether they are refused from now on
   */
  public void refuseConnections(String from, String to, boolean on) {
    execute(
        () -> {
          for (Route route : routes) {
            if (route.leads(from, to)) {
              route.setRefusing(on);
              listeners.update(route);
            }
          }
          return null;
        });
  }

  /**
   * Returns how many bytes of streams have vanished in cuts.
   *
   * @return bytes since the start
   */
  public long bytesDropped() {
    return counters.bytesDropped.get();
  }

  /**
   * Returns how many bytes of streams wait to be forwarded.
   *
   * @return bytes at this moment
   */
  public long bytesBuffered() {
    return counters.bytesBuffered.get();
  }

  /**
   * Returns how many datagrams have vanished.
   *
   * @return datagrams since the start
   */
  public long datagramsLost() {
    return counters.datagramsLost.get();
  }

  /**
   * Returns how many datagrams were sent twice.
   *
   * @return datagrams since the start
   */
  public long datagramsRepeated() {
    return counters.datagramsRepeated.get();
  }

  /**
   * Returns how many datagrams were kept back so that others overtake them.
   *
   * @return datagrams since the start
   */
  public long datagramsDelayed() {
    return counters.datagramsDelayed.get();
  }

  @Override
  public void close() {
    closing = true;
    selector.wakeup();
    try {
      thread.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (!closing) {
        runCommands();
        select(forwardAll());
      }
      closeAll();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void runCommands() {
    for (Runnable next = commands.poll(); next != null; next = commands.poll()) {
      next.run();
    }
  }

  private void select(long waitNanos) throws IOException {
    if (waitNanos > 0) {
      selector.select(Math.max(1, TimeUnit.NANOSECONDS.toMillis(waitNanos)));
    } else {
      selector.selectNow();
    }
    Set<SelectionKey> ready = selector.selectedKeys();
    for (SelectionKey key : ready) {
      if (key.isValid()) {
        ((Runnable) key.attachment()).run();
      }
    }
    ready.clear();
  }

  private long forwardAll() {
    long now = System.nanoTime();
    long next = MAX_SELECT_NANOS;
    for (Route route : routes) {
      next = Math.min(next, streams.forwardAll(route, now));
    }
    delayedTasks.runDue(now);
    return delayedTasks.nanosToNext(now, next);
  }

  private void closeAll() throws IOException {
    for (SelectionKey key : selector.keys()) {
      key.channel().close();
    }
    for (Route route : routes) {
      listeners.close(route);
    }
    selector.close();
  }

  /** Nobody listens at the target: connections are refused here as well, until somebody does. */
  private void onTargetUnreachable(Route route) {
    route.setTargetUnreachable(true);
    // Closing the address selects anew, which must not happen while selected keys are worked on.
    commands.add(
        () -> {
          update(route);
          scheduleTargetCheck(route);
        });
  }

  private void scheduleTargetCheck(Route route) {
    long due = System.nanoTime() + UNREACHABLE_RETRY_INTERVAL.toNanos();
    delayedTasks.add(due, () -> checkTarget(route));
  }

  private void checkTarget(Route route) {
    try (Socket socket = new Socket()) {
      socket.connect(route.target(), (int) UNREACHABLE_RETRY_INTERVAL.toMillis());
      route.setTargetUnreachable(false);
      listeners.update(route);
    } catch (IOException e) {
      scheduleTargetCheck(route);
    }
  }

  private void update(Route route) {
    try {
      listeners.update(route);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
