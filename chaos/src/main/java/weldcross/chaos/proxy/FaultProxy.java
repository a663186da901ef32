package weldcross.chaos.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * All that crosses between processes goes through here: streams and datagrams, each from one host
 * to another by an address of its own, and in each direction as the {@link NetworkPath} between the
 * two has it. One thread.
 *
 * <p>A silent cut has to keep dials from coming up. The system takes up a dial before any process
 * sees it, so while a way is cut its address is held by a listener whose queue is filled: what
 * dials it then waits for an answer that does not come, as with a machine that is gone.
 */
public final class FaultProxy implements AutoCloseable {

  private static final int PIECE = 16 << 10;
  private static final int MOST_HELD = 1 << 20;
  private static final Duration AGAIN = Duration.ofMillis(200), LOOK_AGAIN = Duration.ofMillis(20);
  private static final Duration FREE_WITHIN = Duration.ofSeconds(5);

  /** Dials that fill the queue of an address behind a cut. */
  private static final int FILL = 6;

  private static final int FIRST_PORT = 10_000, LAST_PORT = 30_000;

  /** An address of the relay, through which one host reaches another. */
  public static final class Route {
    final String from, to;
    final InetSocketAddress target;
    InetSocketAddress address;
    ServerSocketChannel listener;
    final List<SocketChannel> filling = new ArrayList<>();
    final Set<Link> links = new LinkedHashSet<>();
    boolean refusing, black, dead;

    Route(String from, String to, InetSocketAddress target) {
      this.from = from;
      this.to = to;
      this.target = target;
    }

    public InetSocketAddress address() {
      return address;
    }

    public String hostPort() {
      return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
  }

  private record Piece(long due, ByteBuffer bytes) {}

  /** One direction of a connection. */
  private static final class Pipe {
    final Link link;
    final SocketChannel in, out;
    final String from, to;
    final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    int bytes;
    boolean ended, endTold, lost;
    long lastDue;

    Pipe(Link link, SocketChannel in, SocketChannel out, String from, String to) {
      this.link = link;
      this.in = in;
      this.out = out;
      this.from = from;
      this.to = to;
    }
  }

  /** A connection through a route. */
  private final class Link {
    final Route route;
    final SocketChannel near, far;
    final Pipe there, back;
    boolean up;

    Link(Route route, SocketChannel near, SocketChannel far) {
      this.route = route;
      this.near = near;
      this.far = far;
      this.there = new Pipe(this, near, far, route.from, route.to);
      this.back = new Pipe(this, far, near, route.to, route.from);
    }
  }

  private record Late(long due, long order, Runnable send) {}

  private final InetAddress host;
  private final Selector selector = Selector.open();
  private final Queue<Runnable> asked = new ConcurrentLinkedQueue<>();
  private final Map<String, NetworkPath> ways = new HashMap<>();
  private final List<Route> routes = new ArrayList<>();
  private final PriorityQueue<Late> late =
      new PriorityQueue<>(
          (a, b) ->
              a.due() != b.due()
                  ? Long.compare(a.due(), b.due())
                  : Long.compare(a.order(), b.order()));
  private final List<DatagramChannel> datagrams = new ArrayList<>();
  private final SplittableRandom random;
  private final Thread thread;
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(1 << 16);
  private long order;
  private int nextPort = FIRST_PORT;
  private volatile boolean ending;
  private volatile long swallowed, heldBytes, datagramsLost, datagramsRepeated, datagramsLate;

  /**
   * @param host the loopback address on which all routes listen
   */
  public FaultProxy(InetAddress host, long seed) throws IOException {
    this.host = host;
    this.random = new SplittableRandom(seed);
    thread = new Thread(this::run, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  // ---- What is asked for, from any thread

  private interface Step<T> {
    T run() throws IOException;
  }

  /** Runs it on the relay's thread and waits for it. */
  private <T> T ask(Step<T> step) {
    CompletableFuture<T> done = new CompletableFuture<>();
    asked.add(
        () -> {
          try {
            done.complete(step.run());
          } catch (IOException e) {
            done.completeExceptionally(new UncheckedIOException(e));
          } catch (RuntimeException e) {
            done.completeExceptionally(e);
          }
        });
    selector.wakeup();
    return done.join();
  }

  /** A new address through which {@code from} reaches {@code to} by streams. */
  public Route stream(String from, String to, InetSocketAddress target) {
    return ask(
        () -> {
          Route route = new Route(from, to, target);
          listenAnywhere(route);
          routes.add(route);
          return route;
        });
  }

  /** A new address through which datagrams of {@code from} reach {@code to}. */
  public InetSocketAddress datagrams(String from, String to, InetSocketAddress target) {
    return ask(
        () -> {
          DatagramChannel channel = DatagramChannel.open();
          channel.bind(new InetSocketAddress(host, 0));
          channel.configureBlocking(false);
          datagrams.add(channel);
          channel.register(
              selector, SelectionKey.OP_READ, (Runnable) () -> datagram(channel, from, to, target));
          return (InetSocketAddress) channel.getLocalAddress();
        });
  }

  /** From now on packets between these find this. */
  public void set(String from, String to, NetworkPath way) {
    ask(
        () -> {
          NetworkPath before = ways.getOrDefault(from + ">" + to, NetworkPath.FREE);
          ways.put(from + ">" + to, way);
          for (Route route : routes) {
            if ((route.from.equals(from) && route.to.equals(to))
                || (route.from.equals(to) && route.to.equals(from))) {
              if (before.cut() && !way.cut()) {
                List.copyOf(route.links).forEach(this::reset);
              }
              place(route);
              List.copyOf(route.links).forEach(this::interests);
            }
          }
          return null;
        });
  }

  public NetworkPath way(String from, String to) {
    return ask(() -> ways.getOrDefault(from + ">" + to, NetworkPath.FREE));
  }

  /** Ends all connections between these, whoever dialled them, as a reset does. */
  public int reset(String a, String b) {
    return ask(
        () -> {
          int count = 0;
          for (Route route : routes) {
            if ((route.from.equals(a) && route.to.equals(b))
                || (route.from.equals(b) && route.to.equals(a))) {
              count += route.links.size();
              List.copyOf(route.links).forEach(this::reset);
            }
          }
          return count;
        });
  }

  /** Whether dials from one to the other are refused. */
  public void refuse(String from, String to, boolean on) {
    ask(
        () -> {
          for (Route route : routes) {
            if (route.from.equals(from) && route.to.equals(to)) {
              route.refusing = on;
              place(route);
            }
          }
          return null;
        });
  }

  /**
   * Bytes that vanished in cuts; bytes held at this moment; datagrams lost, repeated and overtaken.
   */
  public long swallowed() {
    return swallowed;
  }

  public long held() {
    return heldBytes;
  }

  public long datagramsLost() {
    return datagramsLost;
  }

  public long datagramsRepeated() {
    return datagramsRepeated;
  }

  public long datagramsLate() {
    return datagramsLate;
  }

  @Override
  public void close() {
    ending = true;
    selector.wakeup();
    try {
      thread.join(5000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- The relay's thread

  private void run() {
    try {
      while (!ending) {
        for (Runnable next = asked.poll(); next != null; next = asked.poll()) {
          next.run();
        }
        long wait = moveAll();
        if (wait > 0) {
          selector.select(Math.max(1, wait / 1_000_000));
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
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
      for (Route route : routes) {
        for (SocketChannel each : route.filling) {
          each.close();
        }
      }
      selector.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private NetworkPath wayOf(String from, String to) {
    return ways.getOrDefault(from + ">" + to, NetworkPath.FREE);
  }

  /**
   * Below the ports that the system gives to those who call: while an address is closed by a fault
   * no caller may take it.
   */
  private void listenAnywhere(Route route) throws IOException {
    while (route.address == null) {
      try {
        listen(route, new InetSocketAddress(host, nextPort++));
      } catch (BindException e) {
        route.listener.close();
        if (nextPort > LAST_PORT) {
          throw e;
        }
      }
    }
  }

  private void listen(Route route, InetSocketAddress at) throws IOException {
    route.listener = ServerSocketChannel.open();
    route.listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    route.listener.bind(at, 512);
    take(route);
  }

  /**
   * Where this process had listened before. While the system starts another process for this one,
   * for a signal say, that holds a copy of each descriptor until it has become its program: what
   * was closed here still listens there. It would also wait for a listener that somebody else has
   * put there, and then fail.
   */
  private static ServerSocketChannel listenAgain(InetSocketAddress at, int queue)
      throws IOException {
    long end = System.nanoTime() + FREE_WITHIN.toNanos();
    while (true) {
      ServerSocketChannel channel = ServerSocketChannel.open();
      try {
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return channel.bind(at, queue);
      } catch (BindException e) {
        channel.close();
        if (System.nanoTime() > end) {
          throw e;
        }
        LockSupport.parkNanos(1_000_000);
      }
    }
  }

  private void take(Route route) throws IOException {
    route.address = (InetSocketAddress) route.listener.getLocalAddress();
    route.listener.configureBlocking(false);
    route.listener.register(selector, SelectionKey.OP_ACCEPT, (Runnable) () -> accept(route));
  }

  /** Open, refusing or black, as the ways and orders of this moment want it. */
  private void place(Route route) throws IOException {
    boolean black =
        !route.refusing && (wayOf(route.from, route.to).cut() || wayOf(route.to, route.from).cut());
    boolean open = !route.refusing && !black && !route.dead;
    if (open == (route.listener != null) && black == route.black) {
      return;
    }
    if (route.listener != null) {
      route.listener.close();
      route.listener = null;
    }
    for (SocketChannel each : route.filling) {
      each.close();
    }
    route.filling.clear();
    if (route.black && route.filling.isEmpty()) {
      blackholes.remove(route).close();
    }
    route.black = black;
    // What was closed holds its address until the selector has let go of it.
    selector.selectNow();
    selector.selectedKeys().clear();
    if (open) {
      route.listener = listenAgain(route.address, 512);
      take(route);
    } else if (black) {
      ServerSocketChannel hole = listenAgain(route.address, 1);
      blackholes.put(route, hole);
      for (int k = 0; k < FILL; k++) {
        SocketChannel fill = SocketChannel.open();
        fill.configureBlocking(false);
        fill.connect(route.address);
        route.filling.add(fill);
      }
    }
  }

  private final Map<Route, ServerSocketChannel> blackholes = new HashMap<>();

  private void accept(Route route) {
    try {
      SocketChannel near = route.listener == null ? null : route.listener.accept();
      if (near == null) {
        return;
      }
      near.configureBlocking(false);
      near.setOption(StandardSocketOptions.TCP_NODELAY, true);
      SocketChannel far = SocketChannel.open();
      // Whoever is called sees the address at which callers are told to be found.
      far.bind(new InetSocketAddress(host, 0));
      far.configureBlocking(false);
      far.setOption(StandardSocketOptions.TCP_NODELAY, true);
      Link link = new Link(route, near, far);
      route.links.add(link);
      try {
        boolean up = far.connect(route.target);
        near.register(selector, 0, (Runnable) () -> ready(link, near));
        far.register(selector, up ? 0 : SelectionKey.OP_CONNECT, (Runnable) () -> ready(link, far));
        if (up) {
          link.up = true;
          interests(link);
        }
      } catch (IOException e) {
        reset(link);
      }
    } catch (IOException e) {
      // Gone before it was taken up.
    }
  }

  private void ready(Link link, SocketChannel channel) {
    try {
      if (!link.up && channel == link.far) {
        link.up = link.far.finishConnect();
        interests(link);
        return;
      }
      SelectionKey key = channel.keyFor(selector);
      if (key != null && key.isValid() && key.isReadable()) {
        read(channel == link.near ? link.there : link.back);
      }
      if (key != null && key.isValid() && key.isWritable()) {
        move(channel == link.near ? link.back : link.there, System.nanoTime());
        interests(link);
      }
    } catch (IOException e) {
      if (!link.up && channel == link.far && e instanceof ConnectException && !link.route.dead) {
        dead(link.route);
      }
      brokeAt(link, channel);
    }
  }

  /** Nobody listens there: the next dials are refused here as well, until somebody does. */
  private void dead(Route route) {
    route.dead = true;
    // Not now: placing it selects anew, and this is called for one of the keys that were selected.
    asked.add(
        () -> {
          try {
            place(route);
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
          rise(route);
        });
  }

  private void rise(Route route) {
    late.add(
        new Late(
            System.nanoTime() + LOOK_AGAIN.toNanos(),
            ++order,
            () -> {
              try (Socket look = new Socket()) {
                look.connect(route.target, (int) LOOK_AGAIN.toMillis());
                route.dead = false;
                place(route);
              } catch (IOException e) {
                rise(route);
              }
            }));
  }

  /** One side was reset: so is the other, unless a cut keeps that from being told. */
  private void brokeAt(Link link, SocketChannel channel) {
    Pipe told = channel == link.near ? link.there : link.back;
    if (wayOf(told.from, told.to).isFree()) {
      reset(link);
    } else {

      told.lost = true;
      SelectionKey key = channel.keyFor(selector);
      if (key != null) {
        key.cancel();
      }
    }
  }

  private void read(Pipe pipe) throws IOException {
    NetworkPath way = wayOf(pipe.from, pipe.to);
    buffer.clear().limit(PIECE);
    int count = pipe.in.read(buffer);
    if (count < 0) {
      pipe.ended = true;
    } else if (count > 0 && way.cut()) {
      swallowed += count;
    } else if (count > 0) {
      ByteBuffer bytes = ByteBuffer.allocate(count).put(buffer.flip()).flip();
      long due = System.nanoTime() + way.delay().toNanos();
      if (way.lost() > 0 && random.nextDouble() < way.lost()) {
        due += AGAIN.toNanos();
      }
      pipe.lastDue = Math.max(due, pipe.lastDue);
      pipe.pieces.add(new Piece(pipe.lastDue, bytes));
      pipe.bytes += count;
      heldBytes += count;
    }
    move(pipe, System.nanoTime());
    interests(pipe.link);
  }

  /** Passes on what is due; returns in how many nanoseconds the next is, or none. */
  private long move(Pipe pipe, long now) throws IOException {
    NetworkPath way = wayOf(pipe.from, pipe.to);
    if (!pipe.link.up || !way.isFree()) {
      return Long.MAX_VALUE;
    }
    while (!pipe.pieces.isEmpty()) {
      Piece first = pipe.pieces.peek();
      if (first.due() > now) {
        return first.due() - now;
      }
      int count = pipe.out.write(first.bytes());
      pipe.bytes -= count;
      heldBytes -= count;
      if (first.bytes().hasRemaining()) {
        return Long.MAX_VALUE;
      }
      pipe.pieces.poll();
    }
    if (pipe.lost) {
      reset(pipe.link);
    } else if (pipe.ended && !pipe.endTold) {
      pipe.endTold = true;
      pipe.out.shutdownOutput();
      if (pipe.link.there.endTold && pipe.link.back.endTold) {
        close(pipe.link);
      }
    }
    return Long.MAX_VALUE;
  }

  private long moveAll() {
    long next = 1_000_000_000L;
    long now = System.nanoTime();
    for (Route route : routes) {
      for (Link link : List.copyOf(route.links)) {
        for (Pipe pipe : new Pipe[] {link.there, link.back}) {
          try {
            if (!pipe.pieces.isEmpty() || (pipe.ended && !pipe.endTold) || pipe.lost) {
              next = Math.min(next, move(pipe, now));
            }
          } catch (IOException e) {
            brokeAt(link, pipe.out);
          }
        }
        interests(link);
      }
    }
    while (!late.isEmpty() && late.peek().due() <= now) {
      late.poll().send().run();
    }
    return late.isEmpty() ? next : Math.min(next, Math.max(0, late.peek().due() - now));
  }

  private void interests(Link link) {
    if (!link.up) {
      return;
    }
    interest(link.near, link.there, link.back);
    interest(link.far, link.back, link.there);
  }

  private void interest(SocketChannel channel, Pipe reads, Pipe writes) {
    SelectionKey key = channel.keyFor(selector);
    if (key == null || !key.isValid()) {
      return;
    }
    boolean read = !reads.ended && !reads.lost && reads.bytes < MOST_HELD;
    boolean write =
        !writes.pieces.isEmpty()
            && wayOf(writes.from, writes.to).isFree()
            && writes.pieces.peek().due() <= System.nanoTime();
    int ops = (read ? SelectionKey.OP_READ : 0) | (write ? SelectionKey.OP_WRITE : 0);
    if (key.interestOps() != ops) {
      key.interestOps(ops);
    }
  }

  private void reset(Link link) {
    for (SocketChannel each : new SocketChannel[] {link.near, link.far}) {
      try {
        each.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        // Gone already.
      }
    }
    close(link);
  }

  private void close(Link link) {
    link.route.links.remove(link);
    for (Pipe pipe : new Pipe[] {link.there, link.back}) {
      heldBytes -= pipe.bytes;
      pipe.bytes = 0;
      pipe.pieces.clear();
    }
    for (SocketChannel each : new SocketChannel[] {link.near, link.far}) {
      try {
        each.close();
      } catch (IOException e) {
        // Gone already.
      }
    }
  }

  private void datagram(DatagramChannel channel, String from, String to, InetSocketAddress target) {
    try {
      buffer.clear();
      if (channel.receive(buffer) == null) {
        return;
      }
      buffer.flip();
      ByteBuffer bytes = ByteBuffer.allocate(buffer.remaining()).put(buffer).flip();
      NetworkPath way = wayOf(from, to);
      if (!way.isFree() || (way.lost() > 0 && random.nextDouble() < way.lost())) {
        datagramsLost++;
        return;
      }
      int copies = way.repeated() > 0 && random.nextDouble() < way.repeated() ? 2 : 1;
      datagramsRepeated += copies - 1;
      long due = System.nanoTime() + way.delay().toNanos();
      if (way.reordered() > 0 && random.nextDouble() < way.reordered()) {
        datagramsLate++;
        due += AGAIN.toNanos();
      }
      for (int k = 0; k < copies; k++) {
        late.add(
            new Late(
                due,
                ++order,
                () -> {
                  try {
                    channel.send(bytes.duplicate(), target);
                  } catch (IOException e) {
                    // A datagram may be lost.
                  }
                }));
      }
    } catch (IOException e) {
      // Nobody is told of a datagram that cannot be read.
    }
  }
}
