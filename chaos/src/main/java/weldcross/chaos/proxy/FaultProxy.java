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
 * The proxy through which all traffic between the processes of a run passes. Each pair of hosts has
 * its own proxy addresses for streams and datagrams, and each direction has the faults of its
 * {@link NetworkPath}. One thread does all the work. The public methods may be called from any
 * thread and return once the change is in effect.
 */
public final class FaultProxy implements AutoCloseable {

  /** The interval between checks whether an unreachable target accepts connections again. */
  private static final Duration TARGET_CHECK_INTERVAL = Duration.ofMillis(20);

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
   * @param seed the seed of all random faults
   * @throws IOException if no selector can be opened
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

  /** A task that runs on the proxy thread and returns a result. */
  @FunctionalInterface
  private interface Command<T> {
    T run() throws IOException;
  }

  /** Runs a command on the proxy thread and waits for its result. */
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
   * Opens an address through which one host connects to another.
   *
   * @param from the host that connects
   * @param to the host that is connected to
   * @param target the address on which that host listens
   * @return the route, with its proxy address
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
   * Opens an address through which one host sends datagrams to another.
   *
   * @param from the host that sends
   * @param to the host that receives
   * @param target the address on which that host receives
   * @return the proxy address to send to
   */
  public InetSocketAddress openDatagramRoute(String from, String to, InetSocketAddress target) {
    return execute(() -> datagrams.open(from, to, target));
  }

  /**
   * Sets the path from one host to another, which applies to all data sent from now on.
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
            if (route.isBetween(from, to)) {
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
   * Resets all connections between two hosts, in both directions.
   *
   * @param host one host
   * @param otherHost the other host
   * @return the number of connections reset
   */
  public int resetConnections(String host, String otherHost) {
    return execute(
        () -> {
          int count = 0;
          for (Route route : routes) {
            if (route.isBetween(host, otherHost)) {
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
   * @param to the host that is connected to
   * @param refuse whether connections are refused from now on
   */
  public void refuseConnections(String from, String to, boolean refuse) {
    execute(
        () -> {
          for (Route route : routes) {
            if (route.isFromTo(from, to)) {
              route.setRefusing(refuse);
              listeners.update(route);
            }
          }
          return null;
        });
  }

  /**
   * Returns the number of stream bytes dropped on cut paths.
   *
   * @return the bytes since the proxy was started
   */
  public long bytesDropped() {
    return counters.bytesDropped.get();
  }

  /**
   * Returns the number of stream bytes waiting to be forwarded.
   *
   * @return the current number of bytes
   */
  public long bytesBuffered() {
    return counters.bytesBuffered.get();
  }

  /**
   * Returns the number of datagrams dropped.
   *
   * @return the datagrams since the proxy was started
   */
  public long datagramsLost() {
    return counters.datagramsLost.get();
  }

  /**
   * Returns the number of datagrams sent twice.
   *
   * @return the datagrams since the proxy was started
   */
  public long datagramsDuplicated() {
    return counters.datagramsDuplicated.get();
  }

  /**
   * Returns the number of datagrams delayed so that later ones overtake them.
   *
   * @return the datagrams since the proxy was started
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

  /** Refuses connections on a route whose target refuses them, until the target listens again. */
  private void onTargetUnreachable(Route route) {
    route.setTargetUnreachable(true);
    // Closing a listener calls select, which must not happen while the selected keys are iterated.
    commands.add(
        () -> {
          update(route);
          scheduleTargetCheck(route);
        });
  }

  private void scheduleTargetCheck(Route route) {
    long due = System.nanoTime() + TARGET_CHECK_INTERVAL.toNanos();
    delayedTasks.add(due, () -> checkTarget(route));
  }

  private void checkTarget(Route route) {
    try (Socket socket = new Socket()) {
      socket.connect(route.target(), (int) TARGET_CHECK_INTERVAL.toMillis());
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
