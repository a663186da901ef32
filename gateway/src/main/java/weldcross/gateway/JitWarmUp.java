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
 * Plays RPCs to a gateway of its own in memory, without sockets and on a clock moved by hand,
 * before the real one is ready: the JVM compiles what is called often, and until it has, each RPC
 * costs many times as much.
 */
final class JitWarmUp implements Transport {

  private static final Duration APART = Duration.ofMillis(3);
  private static final long ONLY_CLIENT = 1;
  private static final byte[] NOTHING_NEW =
      "{\"revision\":0,\"complete\":false,\"members\":[]}".getBytes(StandardCharsets.US_ASCII);

  /** Held, as a logger that nothing holds may lose its level. */
  private final Logger log = Logger.getLogger(Gateway.class.getPackageName());

  private final EventLoop loop = new EventLoop(() -> this.now);
  private final Map<Long, ServerMessageDecoder> servers = new HashMap<>();
  private final ClientMessageDecoder client =
      Streams.client(loop::post, loop::post, () -> this.now, ONLY_CLIENT);
  private final Gateway gateway;
  private Duration now = Duration.ZERO;
  private int served;

  private JitWarmUp(GatewayConfig terms) {
    gateway = new Gateway(terms, this, Duration.ZERO);
  }

  /** Returns how many were served. */
  static int play(GatewayConfig terms, int rpcs) {
    JitWarmUp warmUp = new JitWarmUp(terms.alone(1, 2, 3, 4));
    Level level = warmUp.log.getLevel();
    warmUp.log.setLevel(Level.OFF);
    try {
      warmUp.play(terms.methods(), rpcs);
    } finally {
      warmUp.log.setLevel(level);
    }
    return warmUp.served;
  }

  private void play(List<String> methods, int rpcs) {
    loop.post(Gateway::start);
    loop.post(g -> g.clients().accepted(ONLY_CLIENT));
    client.feed(MessageEncoder.startup());
    for (int k = 0; k < rpcs; k++) {
      String comment =
          " /* id=" + k + ",c=" + methods.get(k % methods.size()) + ",d=900,cluster=0 */";
      // One of the two is turned away, as it does not go with the method.
      client.feed(
          MessageEncoder.query("SELECT content FROM kv WHERE name = 'k" + k + "'" + comment));
      client.feed(
          MessageEncoder.query(
              "INSERT INTO kv (name, content) VALUES ('k"
                  + k
                  + "', '\\x00') "
                  + "RETURNING content"
                  + comment));
      loop.catchUp(gateway);
      now = now.plus(APART);
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
    server.ask();
    // The startup message has no type; of queries the first two letters tell which it is.
    ByteBuffer text = parts[0].remaining() > 5 ? parts[0].slice(5, 2) : parts[1];
    long unix = now.toMillis();
    server.feed(
        ByteBuffer.wrap(
            parts[0].get(0) != 'Q'
                ? MessageEncoder.welcome().array()
                : text.get(1) == 'H'
                    ? MessageEncoder.row(
                        "x0=" + unix / 1000 + "." + unix % 1000 + ",x1=1", "SHOW", unix)
                    : MessageEncoder.row(
                        "v", text.get(0) == 'I' ? "INSERT 0 1" : "SELECT 1", unix)));
    return true;
  }

  @Override
  public void dialServer(long link, InetSocketAddress to) {
    servers.put(link, Streams.server(loop::post, link));
    loop.post(g -> g.serverConnections().up(link));
  }

  @Override
  public void drop(long connection) {
    servers.remove(connection);
  }

  @Override
  public void dialDiscovery(long link, InetSocketAddress to) {
    loop.post(g -> g.discovery().up(link));
    loop.post(g -> g.discovery().answered(link, 200, NOTHING_NEW));
  }

  @Override
  public void listen(InetSocketAddress at) {}

  @Override
  public void greetItself() {
    loop.post(Gateway::warmed);
  }

  @Override
  public void stopListening() {}

  @Override
  public void joinPeers(InetSocketAddress at) {}

  @Override
  public void tellPeers(InetSocketAddress to, byte[] message) {}

  @Override
  public void read(long connection, boolean on) {}

  @Override
  public void hear(long connection) {}

  @Override
  public void part(long connection, int messages) {}

  @Override
  public void finish(long connection) {}
}
