package weldcross.chaos.proxy;

import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.List;

/** A connection that was accepted on a route, with the connection to the route's target. */
final class ProxiedConnection {

  final Route route;
  final SocketChannel client;
  final SocketChannel target;
  final Direction toTarget;
  final Direction toClient;

  /** Whether the connection to the target has come up. */
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

  /** The direction that reads from a channel of this connection. */
  Direction readingFrom(SocketChannel channel) {
    return channel == client ? toTarget : toClient;
  }

  /** The direction that writes to a channel of this connection. */
  Direction writingTo(SocketChannel channel) {
    return channel == client ? toClient : toTarget;
  }

  /**
   * Bytes that wait to be forwarded.
   *
   * @param due when they may be forwarded, by {@link System#nanoTime}
   * @param bytes what is left of them
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

    /** When the last chunk is due: later ones must not overtake it. */
    long lastDue;

    /** The source has sent its end. */
    boolean endRead;

    /** The end has been forwarded. */
    boolean endForwarded;

    /** The source was reset while the path was not open; the sink learns of it later. */
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

    /** Whether there is anything to forward. */
    boolean hasWork() {
      return !chunks.isEmpty() || (endRead && !endForwarded) || sourceReset;
    }
  }
}
