package weldcross.chaos.proxy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import weldcross.chaos.proxy.ProxiedConnection.Chunk;
import weldcross.chaos.proxy.ProxiedConnection.Direction;

/** Forwards streams with the faults of their network paths; confined to the proxy thread. */
final class StreamForwarder {

  /** The delay of a lost chunk: the time after which TCP would retransmit a lost packet. */
  static final Duration RETRANSMISSION_DELAY = Duration.ofMillis(200);

  private static final int MAX_CHUNK_BYTES = 16 << 10;

  /** A direction with this many buffered bytes stops reading from its source. */
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  private static final long NOT_SCHEDULED = Long.MAX_VALUE;

  private final InetAddress host;
  private final Selector selector;
  private final NetworkPaths paths;
  private final ProxyCounters counters;
  private final SplittableRandom random;
  private final Consumer<Route> onTargetUnreachable;
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_CHUNK_BYTES);

  StreamForwarder(
      InetAddress host,
      Selector selector,
      NetworkPaths paths,
      ProxyCounters counters,
      SplittableRandom random,
      Consumer<Route> onTargetUnreachable) {
    this.host = host;
    this.selector = selector;
    this.paths = paths;
    this.counters = counters;
    this.random = random;
    this.onTargetUnreachable = onTargetUnreachable;
  }

  /** Accepts a connection on a route and connects to its target. */
  void accept(Route route) {
    try {
      SocketChannel client = route.listener().isPresent() ? route.listener().get().accept() : null;
      if (client != null) {
        connect(route, client);
      }
    } catch (IOException e) {
      // The client closed the connection before it was accepted.
    }
  }

  private void connect(Route route, SocketChannel client) throws IOException {
    client.configureBlocking(false);
    client.setOption(StandardSocketOptions.TCP_NODELAY, true);
    SocketChannel target = SocketChannel.open();
    // The target must see the proxy host, which is where it is configured to reach the client.
    target.bind(new InetSocketAddress(host, 0));
    target.configureBlocking(false);
    target.setOption(StandardSocketOptions.TCP_NODELAY, true);
    ProxiedConnection connection = new ProxiedConnection(route, client, target);
    route.connections().add(connection);
    try {
      boolean established = target.connect(route.target());
      Runnable clientReady = () -> onReady(connection, client);
      Runnable targetReady = () -> onReady(connection, target);
      client.register(selector, 0, clientReady);
      target.register(selector, established ? 0 : SelectionKey.OP_CONNECT, targetReady);
      if (established) {
        connection.established = true;
        updateInterests(connection);
      }
    } catch (IOException e) {
      reset(connection);
    }
  }

  private void onReady(ProxiedConnection connection, SocketChannel channel) {
    try {
      if (!connection.established && channel == connection.target) {
        connection.established = channel.finishConnect();
        updateInterests(connection);
        return;
      }
      SelectionKey key = channel.keyFor(selector);
      if (key != null && key.isValid() && key.isReadable()) {
        read(connection.readingFrom(channel));
      }
      if (key != null && key.isValid() && key.isWritable()) {
        forward(connection.writingTo(channel), System.nanoTime());
        updateInterests(connection);
      }
    } catch (IOException e) {
      boolean connecting = !connection.established && channel == connection.target;
      if (connecting && e instanceof ConnectException && !connection.route.isTargetUnreachable()) {
        onTargetUnreachable.accept(connection.route);
      }
      onFailure(connection, channel);
    }
  }

  /** Resets the other side after one side failed; deferred while the path is not open. */
  private void onFailure(ProxiedConnection connection, SocketChannel channel) {
    Direction direction = connection.readingFrom(channel);
    if (paths.get(direction.from, direction.to).isOpen()) {
      reset(connection);
      return;
    }
    direction.sourceReset = true;
    SelectionKey key = channel.keyFor(selector);
    if (key != null) {
      key.cancel();
    }
  }

  private void read(Direction direction) throws IOException {
    NetworkPath path = paths.get(direction.from, direction.to);
    buffer.clear();
    int count = direction.source.read(buffer);
    if (count < 0) {
      direction.endRead = true;
    } else if (count > 0 && path.cut()) {
      counters.bytesDropped.addAndGet(count);
    } else if (count > 0) {
      enqueue(direction, path, count);
    }
    forward(direction, System.nanoTime());
    updateInterests(direction.connection);
  }

  private void enqueue(Direction direction, NetworkPath path, int count) {
    ByteBuffer bytes = ByteBuffer.allocate(count).put(buffer.flip()).flip();
    long due = System.nanoTime() + path.delay().toNanos();
    if (path.lossRate() > 0 && random.nextDouble() < path.lossRate()) {
      due += RETRANSMISSION_DELAY.toNanos();
    }
    direction.lastDue = Math.max(due, direction.lastDue);
    direction.chunks.add(new Chunk(direction.lastDue, bytes));
    direction.bufferedBytes += count;
    counters.bytesBuffered.addAndGet(count);
  }

  /** Forwards all due chunks and returns the nanoseconds until the next one is due. */
  private long forward(Direction direction, long now) throws IOException {
    NetworkPath path = paths.get(direction.from, direction.to);
    if (!direction.connection.established || !path.isOpen()) {
      return NOT_SCHEDULED;
    }
    while (!direction.chunks.isEmpty()) {
      Chunk first = direction.chunks.peek();
      if (first.due() > now) {
        return first.due() - now;
      }
      int count = direction.sink.write(first.bytes());
      direction.bufferedBytes -= count;
      counters.bytesBuffered.addAndGet(-count);
      if (first.bytes().hasRemaining()) {
        return NOT_SCHEDULED;
      }
      direction.chunks.poll();
    }
    forwardEnd(direction);
    return NOT_SCHEDULED;
  }

  private void forwardEnd(Direction direction) throws IOException {
    ProxiedConnection connection = direction.connection;
    if (direction.sourceReset) {
      reset(connection);
    } else if (direction.endRead && !direction.endForwarded) {
      direction.endForwarded = true;
      direction.sink.shutdownOutput();
      if (connection.toTarget.endForwarded && connection.toClient.endForwarded) {
        close(connection);
      }
    }
  }

  /** Forwards all due chunks of a route and returns the nanoseconds until the next one is due. */
  long forwardAll(Route route, long now) {
    long next = NOT_SCHEDULED;
    for (ProxiedConnection connection : List.copyOf(route.connections())) {
      for (Direction direction : connection.directions()) {
        try {
          if (direction.hasPendingWork()) {
            next = Math.min(next, forward(direction, now));
          }
        } catch (IOException e) {
          onFailure(connection, direction.sink);
        }
      }
      updateInterests(connection);
    }
    return next;
  }

  /** Updates the selector interest of both channels of a connection. */
  void updateInterests(ProxiedConnection connection) {
    if (!connection.established) {
      return;
    }
    for (SocketChannel channel : connection.channels()) {
      updateInterest(channel, connection.readingFrom(channel), connection.writingTo(channel));
    }
  }

  private void updateInterest(SocketChannel channel, Direction inbound, Direction outbound) {
    SelectionKey key = channel.keyFor(selector);
    if (key == null || !key.isValid()) {
      return;
    }
    boolean mayRead =
        !inbound.endRead && !inbound.sourceReset && inbound.bufferedBytes < MAX_BUFFERED_BYTES;
    boolean mayWrite =
        !outbound.chunks.isEmpty()
            && paths.get(outbound.from, outbound.to).isOpen()
            && outbound.chunks.peek().due() <= System.nanoTime();
    int operations = (mayRead ? SelectionKey.OP_READ : 0) | (mayWrite ? SelectionKey.OP_WRITE : 0);
    if (key.interestOps() != operations) {
      key.interestOps(operations);
    }
  }

  /** Resets all connections of a route and returns their number. */
  int resetAll(Route route) {
    List<ProxiedConnection> connections = List.copyOf(route.connections());
    connections.forEach(this::reset);
    return connections.size();
  }

  private void reset(ProxiedConnection connection) {
    for (SocketChannel channel : connection.channels()) {
      try {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        // The channel is closed already.
      }
    }
    close(connection);
  }

  private void close(ProxiedConnection connection) {
    connection.route.connections().remove(connection);
    for (Direction direction : connection.directions()) {
      counters.bytesBuffered.addAndGet(-direction.bufferedBytes);
      direction.bufferedBytes = 0;
      direction.chunks.clear();
    }
    for (SocketChannel channel : connection.channels()) {
      try {
        channel.close();
      } catch (IOException e) {
        // The channel is closed already.
      }
    }
  }
}
