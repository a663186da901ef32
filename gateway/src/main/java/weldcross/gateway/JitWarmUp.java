package weldcross.gateway;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import weldcross.config.GatewayConfig;
import weldcross.pgwire.ClientMessageDecoder;
import weldcross.pgwire.MessageEncoder;
import weldcross.pgwire.ServerMessageDecoder;

/**
 * Has the JVM compile the request path before the real gateway is ready, as each request costs many
 * times as much until then: plays requests to a gateway of its own in memory, without sockets and
 * on a clock moved by hand.
 */
final class JitWarmUp implements Transport {

  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(3);

  /** The number of the only client's connection. */
  private static final long CLIENT = 1;

  /** Length of a typed message's header: the type and a length of four bytes. */
  private static final int HEADER_BYTES = 5;

  private static final byte[] NO_CHANGES =
      "{\"revision\":0,\"complete\":false,\"members\":[]}".getBytes(StandardCharsets.US_ASCII);

  /** Kept, as a logger that is not referenced may lose its level. */
  private final Logger log = Logger.getLogger(Gateway.class.getPackageName());

  private final EventLoop loop = new EventLoop(() -> this.now);
  private final Map<Long, ServerMessageDecoder> servers = new HashMap<>();
  private final ClientMessageDecoder client =
      MessageDecoders.forClient(loop::post, loop::post, () -> this.now, CLIENT);
  private final Gateway gateway;
  private Duration now = Duration.ZERO;
  private int served;

  private JitWarmUp(GatewayConfig config) {
    gateway = new Gateway(config, this, Duration.ZERO);
  }

  /** Plays pairs of a read and a write, of which one is served; returns how many were served. */
  static int play(GatewayConfig config, int requests) {
    JitWarmUp warmUp = new JitWarmUp(config.onLoopback(1, 2, 3, 4));
    Level level = warmUp.log.getLevel();
    warmUp.log.setLevel(Level.OFF);
    try {
      warmUp.play(config.requestClassNames(), requests);
    } finally {
      warmUp.log.setLevel(level);
    }
    return warmUp.served;
  }

  private void play(List<String> requestClasses, int requests) {
    loop.post(Gateway::start);
    loop.post(g -> g.clients().accepted(CLIENT));
    client.feed(MessageEncoder.startup());
    for (int k = 0; k < requests; k++) {
      String requestClass = requestClasses.get(k % requestClasses.size());
      String comment = " /* id=" + k + ",c=" + requestClass + ",d=900,cluster=0 */";
      // One of the two is rejected, as it is not of the request class.
      client.feed(
          MessageEncoder.query("SELECT content FROM kv WHERE name = 'k" + k + "'" + comment));
      client.feed(
          MessageEncoder.query(
              "INSERT INTO kv (name, content) VALUES ('k"
                  + k
                  + "', '\\x00') RETURNING content"
                  + comment));
      loop.catchUp(gateway);
      now = now.plus(REQUEST_INTERVAL);
    }
  }

  @Override
  public Duration now() {
    return now;
  }

  @Override
  public boolean write(long connection, ByteBuffer... parts) {
    if (connection > 0) {
      served += parts[0].get(0) == 'T' ? 1 : 0;
      return true;
    }
    ServerMessageDecoder server = servers.get(connection);
    if (server == null) {
      return true;
    }
    server.expectResponse();
    server.feed(ByteBuffer.wrap(response(parts)));
    return true;
  }

  private byte[] response(ByteBuffer... request) {
    // The startup message has no type.
    if (request[0].get(0) != 'Q') {
      return MessageEncoder.sessionReady().array();
    }
    // The first two letters of a query tell which it is.
    ByteBuffer query =
        request[0].remaining() > HEADER_BYTES ? request[0].slice(HEADER_BYTES, 2) : request[1];
    long unixMillis = now.toMillis();
    if (query.get(1) == 'H') {
      String report = "x0=" + unixMillis / 1000 + "." + unixMillis % 1000 + ",x1=1";
      return MessageEncoder.row(report, "SHOW", unixMillis);
    }
    return MessageEncoder.row("v", query.get(0) == 'I' ? "INSERT 0 1" : "SELECT 1", unixMillis);
  }

  @Override
  public void connectToServer(long connection, InetSocketAddress to) {
    servers.put(connection, MessageDecoders.forServer(loop::post, connection));
    loop.post(g -> g.serverConnections().connected(connection));
  }

  @Override
  public void closeNow(long connection) {
    servers.remove(connection);
  }

  @Override
  public void connectToDiscovery(long connection, InetSocketAddress to) {
    loop.post(g -> g.discovery().connected(connection));
    loop.post(g -> g.discovery().responseReceived(connection, 200, NO_CHANGES));
  }

  @Override
  public void listen(InetSocketAddress at) {}

  @Override
  public void warmUp() {
    loop.post(Gateway::warmUpCompleted);
  }

  @Override
  public void stopListening() {}

  @Override
  public void listenForGossip(InetSocketAddress at) {}

  @Override
  public void sendGossip(InetSocketAddress to, byte[] message) {}

  @Override
  public void setReading(long connection, boolean on) {}

  @Override
  public void afterPendingReads(long connection) {}

  @Override
  public void closeIfQuiet(long connection, int messages) {}

  @Override
  public void checkMessageIncomplete(long connection, int messages) {}

  @Override
  public void closeGracefully(long connection) {}
}
