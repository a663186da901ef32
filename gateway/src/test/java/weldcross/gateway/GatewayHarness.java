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
 * Runs a gateway on a simulated clock with simulated clients, discovery and three servers of one
 * group, of which s-0 is the primary. A {@link RequestHistory} checks each step.
 */
final class GatewayHarness extends FakeTransport {

  /** The Unix time at time zero of the simulated clock. */
  static final long START_UNIX_MILLIS = 1_800_000_000_000L;

  /** Slightly less than the timeout of a discovery watch. */
  private static final Duration WATCH_RESPONSE_INTERVAL = Duration.ofMillis(1500);

  private static final int SILENT_STEP_MILLIS = 10;

  /** The id of the connection that was accepted last. */
  long lastClientId;

  /** The sequence number for the id of the next request. */
  int nextRequest;

  /** Whether discovery answers watches in time, without changes. */
  boolean discoveryAnswers;

  private Duration discoveryAnsweredAt = Duration.ZERO;

  /** Starts a gateway with the configuration of {@link TestConfig#json}. */
  GatewayHarness(String... replacements) {
    this(TestConfig.json(replacements));
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

  /** Starts a gateway that serves, as discovery has confirmed the initial endpoint list. */
  static GatewayHarness withEndpointList(String... replacements) {
    GatewayHarness harness = new GatewayHarness(replacements);
    harness.discoveryAnswers = true;
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.answerNoChange();
    return harness;
  }

  /** Starts a gateway that serves and knows the replication positions of all servers. */
  static GatewayHarness serving(String... replacements) {
    GatewayHarness harness = withEndpointList(replacements);
    harness.advance(5);
    harness.answerHealthChecks();
    harness.advance(5);
    return harness;
  }

  /** Returns the messages that the classes of the gateway's package log during a task. */
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

  /** Makes the gateway handle an event and all events that it posts. */
  void dispatch(Gateway.Event event) {
    gateway.handle(now, event);
    loop.runPending(gateway);
  }

  /** Advances the clock and runs timers at their due times. */
  void advance(int millis) {
    Duration end = now.plusMillis(millis);
    for (Duration next = discoveryAnsweredAt.plus(WATCH_RESPONSE_INTERVAL);
        discoveryAnswers && next.compareTo(end) < 0;
        next = discoveryAnsweredAt.plus(WATCH_RESPONSE_INTERVAL)) {
      advanceTo(next);
      answerNoChange();
    }
    advanceTo(end);
  }

  /** Advances the clock while discovery accepts connections but does not respond. */
  void advanceWithSilentDiscovery(int millis) {
    for (int elapsed = 0; elapsed < millis; elapsed += SILENT_STEP_MILLIS) {
      FakeConnection connection = connections.get(discovery);
      if (!connection.open && !connection.dropped) {
        connection.open = true;
        dispatch(g -> g.discovery().connected(discovery));
      }
      advance(SILENT_STEP_MILLIS);
    }
  }

  private void advanceTo(Duration end) {
    for (Duration next = gateway.nextTimerTime();
        next != null && next.compareTo(end) <= 0;
        next = gateway.nextTimerTime()) {
      now = next.compareTo(now) > 0 ? next : now;
      gateway.runDueTimers(now);
      loop.runPending(gateway);
      completeWrites();
    }
    now = end;
  }

  /** Completes all pending writes except those to slow readers. */
  void completeWrites() {
    List<Long> blocked = pendingWrites.stream().filter(slowReaders::contains).toList();
    pendingWrites.removeIf(slowReaders::contains);
    while (!pendingWrites.isEmpty()) {
      long number = pendingWrites.remove(0);
      if (number > 0) {
        dispatch(g -> g.pipeline().responsesWritten(number));
      } else if (connections.get(number).discoveryPort == 0) {
        dispatch(g -> g.serverConnections().written(number));
      }
    }
    pendingWrites.addAll(blocked);
  }

  /** Makes the gateway reload its configuration with another discovery port. */
  void reload(int discoveryPort) {
    GatewayConfig next =
        TestConfig.read(
            "\"discovery\":\"127.0.0.1:1\"", "\"discovery\":\"127.0.0.1:" + discoveryPort + "\"");
    dispatch(g -> g.configReload().reload(next));
  }

  // ---- Discovery

  /** Discovery answers the pending request, whatever it was, that nothing has changed. */
  void answerNoChange() {
    byte[] body =
        "{\"revision\":1,\"complete\":false,\"members\":[]}".getBytes(StandardCharsets.UTF_8);
    connections.get(discovery).takeReceived();
    discoveryAnsweredAt = now;
    dispatch(g -> g.discovery().responseReceived(discovery, 200, body));
  }

  /** Discovery answers with two servers: s-0, which is active, and s-1 in the given phase. */
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

  /** Connects a client and completes its startup; returns the connection's id. */
  long connect() {
    long client = accept();
    send(client, MessageEncoder.startup());
    connections.get(client).takeReceived();
    return client;
  }

  /** Connects a client that sends nothing; returns the connection's id. */
  long accept() {
    long client = ++lastClientId;
    FakeConnection connection = new FakeConnection();
    connection.open = true;
    connections.put(client, connection);
    connection.clientDecoder = MessageDecoders.forClient(loop::post, loop::post, () -> now, client);
    dispatch(g -> g.clients().accepted(client));
    return client;
  }

  /** Sends bytes from a client. */
  void send(long client, ByteBuffer bytes) {
    connections.get(client).clientDecoder.feed(bytes);
    loop.runPending(gateway);
    completeWrites();
  }

  /** Sends a statement from a client; returns its request id. */
  String request(long client, boolean write, long timeoutMillis) {
    return request(client, write, timeoutMillis, "");
  }

  /**
   * Sends a statement from a client; returns its request id.
   *
   * @param extraFields additional fields of the statement's comment, each after a comma
   */
  String request(long client, boolean write, long timeoutMillis, String extraFields) {
    String id = "a" + nextRequest++;
    history.requestSent(id, client, now.plusMillis(timeoutMillis));
    String requestClass = write ? "file" : "look";
    String comment =
        " /* id="
            + id
            + ",c="
            + requestClass
            + ",d="
            + timeoutMillis
            + ",cluster=0"
            + extraFields
            + " */";
    String statement =
        write
            ? "INSERT INTO kv (name, content) VALUES ('k', '\\x00') RETURNING content"
            : "SELECT content FROM kv WHERE name = 'k'";
    send(client, MessageEncoder.query(statement + comment));
    return id;
  }

  /** Closes a client's connection from its side. */
  void disconnect(long client) {
    history.disconnected(client);
    connections.get(client).open = false;
    dispatch(g -> g.clients().disconnected(client));
    completeWrites();
  }

  // ---- Servers

  /** Returns the open server connections with a statement in progress, in the order opened. */
  List<Long> busyConnections() {
    return new ArrayList<>(
        connections.entrySet().stream()
            .filter(entry -> entry.getValue().open && entry.getValue().statement != null)
            .map(Map.Entry::getKey)
            .toList());
  }

  /** Returns the server connection on which a request is in progress. */
  long connectionOf(String id) {
    return busyConnections().stream()
        .filter(number -> id.equals(RequestHistory.idOf(connections.get(number).statement)))
        .findFirst()
        .orElseThrow(
            () -> new AssertionError(id + " is not in progress; responses: " + history.answers));
  }

  /** Returns the id of the server connection that was opened last. */
  long newestServerConnection() {
    return connections.keySet().stream().min(Long::compare).orElseThrow();
  }

  /** Answers all health checks in progress. */
  void answerHealthChecks() {
    busyConnections().stream()
        .filter(number -> RequestHistory.idOf(connections.get(number).statement) == null)
        .forEach(number -> answer(number, null));
  }

  /** Answers a connection's statement with a row or, if {@code sqlState} is not null, an error. */
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
      String value = id == null ? loadReport(primary) : "v-" + id;
      boolean insert = id != null && RequestHistory.isInsert(statement);
      all.writeBytes(ServerMessages.row(value, insert ? "INSERT 0 1" : "SELECT 1"));
    } else {
      all.writeBytes(message('E', "SERROR\0C" + sqlState + "\0\0"));
    }
    all.writeBytes(message('S', "mode\0" + (primary ? "read-write" : "read-only") + "\0"));
    all.writeBytes(message('Z', "I"));
    serverSends(connection, ByteBuffer.wrap(all.toByteArray()));
  }

  private String loadReport(boolean primary) {
    return "x0=" + (START_UNIX_MILLIS + now.toMillis()) / 1000.0 + ",x1=" + (primary ? 1 : 0);
  }

  /** Answers a connection's statement with a row, without reporting the server's role. */
  void answerRow(long number, String value, String tag) {
    FakeConnection connection = connections.get(number);
    connection.statement = null;
    for (byte[] part : ServerMessages.rowMessages(value, tag)) {
      serverSends(connection, ByteBuffer.wrap(part));
    }
    serverSends(connection, ByteBuffer.wrap(message('Z', "I")));
  }

  /** Sends bytes from a server. */
  void serverSends(FakeConnection connection, ByteBuffer bytes) {
    connection.serverDecoder.feed(bytes);
    loop.runPending(gateway);
    completeWrites();
  }

  /** Closes a server connection from the server's side. */
  void closeByServer(long number) {
    FakeConnection connection = connections.get(number);
    history.attemptInterrupted(RequestHistory.idOf(connection.statement), number);
    connection.open = false;
    dispatch(g -> g.serverConnections().closed(number, connection.serverDecoder.partialResponse()));
    completeWrites();
  }

  /** Closes all connections of a server from its side. */
  void closeAllOf(String server) {
    List.copyOf(connections.keySet()).stream()
        .filter(number -> number < 0 && server.equals(connections.get(number).server))
        .forEach(this::closeByServer);
  }

  /** Completes all pending reads, on which conditional closes and message timeouts depend. */
  void completePendingReads() {
    dispatch(g -> decideCloses());
    dispatch(g -> decideChecks());
    completeWrites();
  }
}
