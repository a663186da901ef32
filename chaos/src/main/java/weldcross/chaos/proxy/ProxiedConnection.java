package weldcross.chaos.proxy;

import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.List;

/** A connection accepted on a route, paired with a connection to the target of the route. */
final class ProxiedConnection {

  final Route route;
  final SocketChannel client;
  final SocketChannel target;
  final Direction toTarget;
  final Direction toClient;

  /** Whether the connection to the target is established. */
  boolean established;

  ProxiedConnection(Route route, SocketChannel client, SocketChannel target) {
    this.route = route;
    this.client = client;
    this.target = target;
    this.toTarget = new Direction(this, client, target, route.from(), route.to());
    this.toClient = new Direction(this, target, client, route.to(), route.from());
  }

  List<SocketChannel> channels() {
    return List.of(client, target);
  }

  List<Direction> directions() {
    return List.of(toTarget, toClient);
  }

  /** Returns the direction that reads from a channel of this connection. */
  Direction readingFrom(SocketChannel channel) {
    return channel == client ? toTarget : toClient;
  }

  /** Returns the direction that writes to a channel of this connection. */
  Direction writingTo(SocketChannel channel) {
    return channel == client ? toClient : toTarget;
  }

  /**
   * Bytes waiting to be forwarded.
   *
   * @param due when the bytes may be forwarded, as a reading of {@link System#nanoTime}
   * @param bytes the bytes not yet forwarded
   */
  record Chunk(long due, ByteBuffer bytes) {}

  /** One direction of a connection. */
  static final class Direction {
    final ProxiedConnection connection;
    final SocketChannel source;
    final SocketChannel sink;
    final String from;
    final String to;
    final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
    int bufferedBytes;

    /** When the last chunk is due; later chunks must not be due earlier, which keeps the order. */
    long lastDue;

    /** Whether end of stream was read from the source. */
    boolean endRead;

    /** Whether end of stream was forwarded to the sink. */
    boolean endForwarded;

    /** Whether the source was reset while the path was not open; forwarded once it is open. */
    boolean sourceReset;

    Direction(
        ProxiedConnection connection,
        SocketChannel source,
        SocketChannel sink,
        String from,
        String to) {
      this.connection = connection;
      this.source = source;
      this.sink = sink;
      this.from = from;
      this.to = to;
    }

    /** Returns whether bytes, end of stream or a reset wait to be forwarded. */
    boolean hasPendingWork() {
      return !chunks.isEmpty() || (endRead && !endForwarded) || sourceReset;
    }
  }
}
