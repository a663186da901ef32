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
import weldcross.pgwire.ResponseAccount;
import weldcross.pgwire.ServerMessageDecoder;

/**
 * Makes the JVM compile the request path before the real gateway is ready, as interpreted code
 * takes many times as long for each request. Sends requests to a separate in-memory gateway without
 * sockets, on a simulated clock.
 */
final class JitWarmUp implements Transport {

  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(3);

  /** The id of the only client connection. */
  private static final long CLIENT = 1;

  /** Length of a message header: one byte for the type and four for the length. */
  private static final int HEADER_BYTES = 5;

  private static final byte[] UNCHANGED_ENDPOINT_LIST =
      "{\"revision\":0,\"complete\":false,\"members\":[]}".getBytes(StandardCharsets.US_ASCII);

  /** A strong reference, as a garbage-collected logger would lose its level. */
  private final Logger log = Logger.getLogger(Gateway.class.getPackageName());

  private final EventLoop loop = new EventLoop(() -> this.now);
  private final Map<Long, ServerMessageDecoder> servers = new HashMap<>();
  private final ClientMessageDecoder client =
      MessageDecoders.forClient(loop::post, loop::post, () -> this.now, CLIENT);
  private final Gateway gateway;
  private Duration now = Duration.ZERO;
  private int servedRequests;

  private JitWarmUp(GatewayConfig config) {
    gateway = new Gateway(config, this, Duration.ZERO);
  }

  /**
   * Sends pairs of a read and a write to a separate gateway, which serves one of each pair.
   *
   * @param requestPairs number of pairs to send
   * @return the number of requests that were served
   */
  static int run(GatewayConfig config, int requestPairs) {
    JitWarmUp warmUp = new JitWarmUp(config.onLoopback(1, 2, 3, 4));
    Level level = warmUp.log.getLevel();
    warmUp.log.setLevel(Level.OFF);
    try {
      warmUp.sendRequests(config.requestClassNames(), requestPairs);
    } finally {
      warmUp.log.setLevel(level);
    }
    return warmUp.servedRequests;
  }

  private void sendRequests(List<String> requestClasses, int requestPairs) {
    loop.post(Gateway::start);
    loop.post(g -> g.clients().accepted(CLIENT));
    client.feed(MessageEncoder.startup());
    for (int k = 0; k < requestPairs; k++) {
      String requestClass = requestClasses.get(k % requestClasses.size());
      String comment = " /* id=" + k + ",c=" + requestClass + ",d=900,cluster=0 */";
      // One of the two is rejected, as the request class allows either reads or writes.
      client.feed(
          MessageEncoder.query("SELECT content FROM kv WHERE name = 'k" + k + "'" + comment));
      client.feed(
          MessageEncoder.query(
              "INSERT INTO kv (name, content) VALUES ('k"
                  + k
                  + "', '\\x00') RETURNING content"
                  + comment));
      loop.runPending(gateway);
      now = now.plus(REQUEST_INTERVAL);
    }
  }

  @Override
  public Duration now() {
    return now;
  }

  @Override
  public void expectResponse(long connection, ResponseAccount memory) {
    ServerMessageDecoder server = servers.get(connection);
    if (server != null) {
      server.expectResponse(memory);
    }
  }

  @Override
  public boolean write(long connection, ByteBuffer... parts) {
    if (connection > 0) {
      servedRequests += parts[0].get(0) == 'T' ? 1 : 0;
      return true;
    }
    ServerMessageDecoder server = servers.get(connection);
    if (server == null) {
      return true;
    }
    server.feed(ByteBuffer.wrap(response(parts)));
    return true;
  }

  private byte[] response(ByteBuffer... request) {
    // Only queries have this type; the startup message has none.
    if (request[0].get(0) != 'Q') {
      return MessageEncoder.sessionReady().array();
    }
    // The first two letters distinguish SHOW, INSERT and SELECT.
    ByteBuffer query =
        request[0].remaining() > HEADER_BYTES ? request[0].slice(HEADER_BYTES, 2) : request[1];
    long unixMillis = now.toMillis();
    if (query.get(1) == 'H') {
      String loadReport = "x0=" + unixMillis / 1000 + "." + unixMillis % 1000 + ",x1=1";
      return MessageEncoder.rowResponse(loadReport, "SHOW", unixMillis);
    }
    return MessageEncoder.rowResponse(
        "v", query.get(0) == 'I' ? "INSERT 0 1" : "SELECT 1", unixMillis);
  }

  @Override
  public void connectToServer(long connection, InetSocketAddress address) {
    servers.put(connection, MessageDecoders.forServer(loop::post, connection));
    loop.post(g -> g.serverConnections().connected(connection));
  }

  @Override
  public void closeNow(long connection) {
    servers.remove(connection);
  }

  @Override
  public void connectToDiscovery(long connection, InetSocketAddress address) {
    loop.post(g -> g.discovery().connected(connection));
    loop.post(g -> g.discovery().responseReceived(connection, 200, UNCHANGED_ENDPOINT_LIST));
  }

  @Override
  public void listen(InetSocketAddress address) {}

  @Override
  public void warmUp() {
    loop.post(Gateway::warmUpCompleted);
  }

  @Override
  public void stopListening() {}

  @Override
  public void listenForGossip(InetSocketAddress address) {}

  @Override
  public void sendGossip(InetSocketAddress address, byte[] message) {}

  @Override
  public void setReading(long connection, boolean reading) {}

  @Override
  public void afterPendingReads(long connection) {}

  @Override
  public void closeIfQuiet(long connection, int messages) {}

  @Override
  public void checkMessageIncomplete(long connection, int messages) {}

  @Override
  public void closeGracefully(long connection) {}
}
