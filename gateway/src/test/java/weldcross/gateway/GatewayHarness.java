package weldcross.gateway;

import static weldcross.gateway.ServerMessages.message;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;
import weldcross.config.ConfigValues;
import weldcross.config.GatewayConfig;
import weldcross.pgwire.MessageEncoder;

/**
 * A gateway under test on a clock moved by hand, with clients, discovery and three servers of one
 * group, of which s-0 is the primary. What the gateway does is checked at every step.
 */
final class GatewayHarness extends FakeTransport {

  /** Unix time at the clock's zero. */
  static final long START_UNIX_MILLIS = 1_800_000_000_000L;

  /** Somewhat less than a watch of discovery waits. */
  private static final Duration WATCH = Duration.ofMillis(1500);

  private static final int SILENT_STEP_MILLIS = 10;

  /** The number of the last client's connection. */
  long lastClient;

  /** The number in the next request's id. */
  int nextRequest;

  /** Whether discovery answers its watches in time, with nothing new. */
  boolean discoveryAnswers;

  private Duration discoveryAnsweredAt = Duration.ZERO;

  /** Starts a gateway with the configuration of {@link TestConfig#json}. */
  GatewayHarness(String... changes) {
    this(TestConfig.json(changes));
  }

  /** Starts a gateway. */
  GatewayHarness(byte[] config) {
    gateway =
        new Gateway(
            GatewayConfig.of(ConfigValues.ofJson(config)),
            this,
            Duration.ofMillis(START_UNIX_MILLIS));
    dispatch(Gateway::start);
  }

  /** Starts a gateway that serves: discovery has said that the list of the start is valid. */
  static GatewayHarness withEndpointList(String... changes) {
    GatewayHarness harness = new GatewayHarness(changes);
    harness.discoveryAnswers = true;
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.answerNoChange();
    return harness;
  }

  /** Starts a gateway that serves and knows the positions of all servers. */
  static GatewayHarness serving(String... changes) {
    GatewayHarness harness = withEndpointList(changes);
    harness.advance(5);
    harness.answerHealthChecks();
    harness.advance(5);
    return harness;
  }

  /** Returns what the classes of the gateway's package log meanwhile. */
  static List<String> logged(Runnable task) {
    List<String> lines = new ArrayList<>();
    Handler handler =
        new StreamHandler() {
          @Override
          public synchronized void publish(LogRecord record) {
            lines.add(record.getMessage());
          }
        };
    Logger log = Logger.getLogger(Gateway.class.getPackageName());
    log.addHandler(handler);
    try {
      task.run();
    } finally {
      log.removeHandler(handler);
    }
    return lines;
  }

  // ---- Time and events

  /** Has the gateway handle an event and all that it posts. */
  void dispatch(Gateway.Event event) {
    gateway.reduce(now, event);
    loop.catchUp(gateway);
  }

  /** Moves the clock; timers run at their times. */
  void advance(int millis) {
    Duration end = now.plusMillis(millis);
    for (Duration next = discoveryAnsweredAt.plus(WATCH);
        discoveryAnswers && next.compareTo(end) < 0;
        next = discoveryAnsweredAt.plus(WATCH)) {
      advanceTo(next);
      answerNoChange();
    }
    advanceTo(end);
  }

  /** Moves the clock while discovery accepts every connection and says nothing on any. */
  void advanceWithSilentDiscovery(int millis) {
    for (int passed = 0; passed < millis; passed += SILENT_STEP_MILLIS) {
      FakeConnection connection = connections.get(discovery);
      if (!connection.open && !connection.dropped) {
        connection.open = true;
        dispatch(g -> g.discovery().connected(discovery));
      }
      advance(SILENT_STEP_MILLIS);
    }
  }

  private void advanceTo(Duration end) {
    for (Duration next = gateway.nextDue();
        next != null && next.compareTo(end) <= 0;
        next = gateway.nextDue()) {
      now = next.compareTo(now) > 0 ? next : now;
      gateway.reduceDue(now);
      loop.catchUp(gateway);
      completeWrites();
    }
    now = end;
  }

  /** Completes all writes but those of slow readers. */
  void completeWrites() {
    List<Long> stuck = pendingWrites.stream().filter(slowReaders::contains).toList();
    pendingWrites.removeIf(slowReaders::contains);
    while (!pendingWrites.isEmpty()) {
      long number = pendingWrites.remove(0);
      if (number > 0) {
        dispatch(g -> g.pipeline().responsesWritten(number));
      } else if (connections.get(number).discoveryPort == 0) {
        dispatch(g -> g.serverConnections().written(number));
      }
    }
    pendingWrites.addAll(stuck);
  }

  /** Has the gateway reload its configuration, with discovery at another port. */
  void reload(int port) {
    GatewayConfig next =
        TestConfig.read(
            "\"discovery\":\"127.0.0.1:1\"", "\"discovery\":\"127.0.0.1:" + port + "\"");
    dispatch(g -> g.configReload().reload(next));
  }

  // ---- Discovery

  /** Discovery answers, whatever it was asked, that nothing has changed. */
  void answerNoChange() {
    byte[] text =
        "{\"revision\":1,\"complete\":false,\"members\":[]}".getBytes(StandardCharsets.UTF_8);
    connections.get(discovery).takeReceived();
    discoveryAnsweredAt = now;
    dispatch(g -> g.discovery().responseReceived(discovery, 200, text));
  }

  /** Discovery answers with two servers, s-0 active and s-1 in this phase. */
  void listEndpoints(int revision, boolean complete, String phase) {
    String text =
        "{\"revision\":"
            + revision
            + ",\"complete\":"
            + complete
            + ",\"members\":["
            + TestConfig.member(0, "active")
            + ","
            + TestConfig.member(1, phase)
            + "]}";
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    dispatch(g -> g.discovery().responseReceived(discovery, 200, bytes));
    completeWrites();
  }

  // ---- Clients

  /** Connects a client that has sent its startup message; returns its connection's number. */
  long connect() {
    long number = accept();
    send(number, MessageEncoder.startup());
    connections.get(number).takeReceived();
    return number;
  }

  /** Connects a client that has sent nothing; returns its connection's number. */
  long accept() {
    long number = ++lastClient;
    FakeConnection connection = new FakeConnection();
    connection.open = true;
    connections.put(number, connection);
    connection.clientDecoder = MessageDecoders.forClient(loop::post, loop::post, () -> now, number);
    dispatch(g -> g.clients().accepted(number));
    return number;
  }

  /** A client sends bytes. */
  void send(long client, ByteBuffer bytes) {
    connections.get(client).clientDecoder.feed(bytes);
    loop.catchUp(gateway);
    completeWrites();
  }

  /** A client sends a statement; returns its id. */
  String request(long client, boolean write, long waitMillis) {
    return request(client, write, waitMillis, "");
  }

  /**
   * A client sends a statement; returns its id.
   *
   * @param fields what its comment names beyond what all do
   */
  String request(long client, boolean write, long waitMillis, String fields) {
    String id = "a" + nextRequest++;
    history.asked(id, client, now.plusMillis(waitMillis));
    String requestClass = write ? "file" : "look";
    String comment =
        " /* id=" + id + ",c=" + requestClass + ",d=" + waitMillis + ",cluster=0" + fields + " */";
    String statement =
        write
            ? "INSERT INTO kv (name, content) VALUES ('k', '\\x00') RETURNING content"
            : "SELECT content FROM kv WHERE name = 'k'";
    send(client, MessageEncoder.query(statement + comment));
    return id;
  }

  /** A client closes its connection. */
  void disconnect(long client) {
    history.disconnected(client);
    connections.get(client).open = false;
    dispatch(g -> g.clients().disconnected(client));
    completeWrites();
  }

  // ---- Servers

  /** Returns the open connections to servers that carry a statement, in the order opened. */
  List<Long> busyConnections() {
    return new ArrayList<>(
        connections.entrySet().stream()
            .filter(entry -> entry.getValue().open && entry.getValue().statement != null)
            .map(Map.Entry::getKey)
            .toList());
  }

  /** Returns the connection that carries a request. */
  long connectionOf(String id) {
    return busyConnections().stream()
        .filter(number -> id.equals(RequestHistory.idOf(connections.get(number).statement)))
        .findFirst()
        .orElseThrow(() -> new AssertionError(id + " is not sent; answers: " + history.answers));
  }

  /** Returns the number of the connection to a server that was opened last. */
  long newestServerConnection() {
    return connections.keySet().stream().min(Long::compare).orElseThrow();
  }

  /** Servers answer all health checks. */
  void answerHealthChecks() {
    busyConnections().stream()
        .filter(number -> RequestHistory.idOf(connections.get(number).statement) == null)
        .forEach(number -> answer(number, null));
  }

  /** A server answers what its connection carries: with a row, or with an SQLSTATE if not null. */
  void answer(long number, String sqlState) {
    FakeConnection connection = connections.get(number);
    String statement = connection.statement;
    String id = RequestHistory.idOf(statement);
    connection.statement = null;
    connection.answeredAt = now;
    boolean primary = connection.server.equals("s-0");
    if (id != null) {
      history.openAttempts.get(id).remove(number);
      if (sqlState == null || sqlState.startsWith("XX")) {
        history.mayHaveRun.add(id);
      }
    }
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    if (sqlState == null) {
      String value = id == null ? report(primary) : "v-" + id;
      boolean insert = id != null && RequestHistory.isInsert(statement);
      all.writeBytes(ServerMessages.row(value, insert ? "INSERT 0 1" : "SELECT 1"));
    } else {
      all.writeBytes(message('E', "SERROR\0C" + sqlState + "\0\0"));
    }
    all.writeBytes(message('S', "mode\0" + (primary ? "read-write" : "read-only") + "\0"));
    all.writeBytes(message('Z', "I"));
    serverSends(connection, ByteBuffer.wrap(all.toByteArray()));
  }

  private String report(boolean primary) {
    return "x0=" + (START_UNIX_MILLIS + now.toMillis()) / 1000.0 + ",x1=" + (primary ? 1 : 0);
  }

  /** A server answers with a row and nothing about itself. */
  void answerRow(long number, String value, String tag) {
    FakeConnection connection = connections.get(number);
    connection.statement = null;
    for (byte[] part : ServerMessages.rowMessages(value, tag)) {
      serverSends(connection, ByteBuffer.wrap(part));
    }
    serverSends(connection, ByteBuffer.wrap(message('Z', "I")));
  }

  /** A server sends bytes. */
  void serverSends(FakeConnection connection, ByteBuffer bytes) {
    connection.serverDecoder.feed(bytes);
    loop.catchUp(gateway);
    completeWrites();
  }

  /** A server closes its connection. */
  void closeByServer(long number) {
    FakeConnection connection = connections.get(number);
    history.cutOff(RequestHistory.idOf(connection.statement), number);
    connection.open = false;
    dispatch(g -> g.serverConnections().closed(number, connection.serverDecoder.partialResponse()));
    completeWrites();
  }

  /** A server closes all its connections. */
  void closeAllOf(String server) {
    List.copyOf(connections.keySet()).stream()
        .filter(number -> number < 0 && server.equals(connections.get(number).server))
        .forEach(this::closeByServer);
  }

  /** Decides all pending closes, and has the gateway handle what follows. */
  void finishReads() {
    dispatch(g -> decideCloses());
    dispatch(g -> decideChecks());
    completeWrites();
  }
}
