package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import weldcross.config.ConfigValues;
import weldcross.config.GatewayConfig;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.pgwire.MessageEncoder;

/**
 * A short run over loopback, with a server and a discovery of this project's own in the place of
 * the real ones.
 */
@Timeout(60)
class GatewayProcessTest {

  /** Accepts until it is closed; each connection on a thread of its own. */
  private abstract static class StandIn implements AutoCloseable {
    final ServerSocket socket;
    final List<Socket> open = new ArrayList<>();

    StandIn() throws IOException {
      socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      thread(
          () -> {
            while (true) {
              Socket connection = socket.accept();
              synchronized (open) {
                open.add(connection);
              }
              thread(
                  () ->
                      serve(
                          new DataInputStream(connection.getInputStream()),
                          connection.getOutputStream()));
            }
          });
    }

    abstract void serve(DataInputStream in, OutputStream out) throws IOException;

    @Override
    public void close() throws IOException {
      socket.close();
      synchronized (open) {
        for (Socket connection : open) {
          connection.close();
        }
      }
    }
  }

  /** A primary that keeps what is written, and reports itself at the present. */
  private static final class Primary extends StandIn {
    final Map<String, String> rows = new ConcurrentHashMap<>();

    /** While it is more than zero no write is answered. */
    volatile CountDownLatch stuck = new CountDownLatch(0);

    Primary() throws IOException {}

    @Override
    void serve(DataInputStream in, OutputStream out) throws IOException {
      in.readFully(new byte[in.readInt() - 4]);
      out.write(message('R', "\0\0\0\0"));
      out.write(message('Z', "I"));
      while (true) {
        String asked = next(in).substring(1);
        String value;
        if (asked.startsWith("SHOW")) {
          value = "x0=" + System.currentTimeMillis() / 1000.0 + ",x1=1";
        } else if (asked.startsWith("INSERT")) {
          value = asked.split("\\\\x|'\\) ")[1];
          awaitLatch(stuck);
          rows.put(asked.split("'")[1], value);
        } else {
          value = rows.getOrDefault(asked.split("'")[1], "");
        }
        out.write(row(value, asked.startsWith("INSERT") ? "INSERT 0 1" : "SELECT 1"));
        out.write(message('S', "mode\0read-write\0"));
        out.write(message('S', "wal_time\0" + System.currentTimeMillis() + "\0"));
        out.write(message('Z', "I"));
      }
    }
  }

  private static void awaitLatch(CountDownLatch latch) throws IOException {
    try {
      latch.await(20, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private static final class Discovery extends StandIn {
    private final String list;

    Discovery(Primary primary) throws IOException {
      list =
          "{\"revision\":7,\"complete\":true,\"members\":[{\"id\":\"s-0\","
              + "\"host_port\":\"127.0.0.1:"
              + primary.socket.getLocalPort()
              + "\",\"locality\":\"a\",\"cell\":0,\"phase\":\"active\"}]}";
    }

    @Override
    @SuppressWarnings("deprecation")
    void serve(DataInputStream in, OutputStream out) throws IOException {
      String request = in.readLine();
      while (!in.readLine().isEmpty()) {
        // Skips the headers.
      }
      if (request.startsWith("GET /catalog/members HTTP")) {
        out.write(
            ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                .getBytes(StandardCharsets.US_ASCII));
      }
      // A watch in which nothing changes.
      in.readLine();
    }
  }

  /** A client, blocking. */
  private static final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final DataInputStream in;

    Client(InetSocketAddress address) throws IOException {
      socket.connect(address);
      in = new DataInputStream(socket.getInputStream());
      send(MessageEncoder.startup());
      answer();
    }

    void send(ByteBuffer bytes) throws IOException {
      socket.getOutputStream().write(bytes.array(), 0, bytes.limit());
    }

    /** The messages up to ReadyForQuery, each with its type. */
    List<String> answer() throws IOException {
      List<String> messages = new ArrayList<>();
      do {
        messages.add(next(in));
      } while (!messages.get(messages.size() - 1).startsWith("Z"));
      return messages;
    }

    List<String> ask(String text) throws IOException {
      send(MessageEncoder.query(text));
      return answer();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private interface IoTask {
    void run() throws IOException;
  }

  private final List<AutoCloseable> fakes = new ArrayList<>();
  private int nextRequest;

  @AfterEach
  void closeFakes() throws Exception {
    for (AutoCloseable each : fakes) {
      each.close();
    }
  }

  @Test
  void gatewayServesOverLoopbackStopsAndStartsAgain() throws Exception {
    Discovery discovery = discovery(new Primary());
    for (int life = 0; life < 2; life++) {
      GatewayProcess gateway = new GatewayProcess(readConfig(discovery));
      CompletableFuture<Integer> status = CompletableFuture.supplyAsync(gateway::serve);
      InetSocketAddress address = gateway.listening().get(20, TimeUnit.SECONDS);
      try (Client client = new Client(address)) {
        while (!client.ask("").get(0).startsWith("I")) {
          Thread.onSpinWait();
        }
        String value = "0f".repeat(60_000) + "a" + life;
        assertEquals("D\0\1", write(client, value).get(1).substring(0, 3));
        List<String> read = read(client);
        assertEquals(List.of('T', 'D', 'C', 'Z'), read.stream().map(m -> m.charAt(0)).toList());
        assertEquals(value, read.get(1).substring(7));
        assertTrue(client.ask("DROP TABLE kv").get(0).contains("C42601"));
        gateway.stop();
        assertEquals(value, read(client).get(1).substring(7), "still served as it drains");
        assertEquals(0, status.get(20, TimeUnit.SECONDS));
        assertEquals(-1, client.in.read());
      }
      assertThrows(IOException.class, () -> new Client(address));
    }
  }

  /** The error reaches a client that goes on sending, and its end comes soon after. */
  @Test
  void malformedMessageIsAnsweredBeforeTheCloseWhileMoreArrives() throws Exception {
    GatewayProcess gateway = new GatewayProcess(readConfig(discovery(new Primary())));
    CompletableFuture.supplyAsync(gateway::serve);
    InetSocketAddress address = gateway.listening().get(20, TimeUnit.SECONDS);
    try (Client client = new Client(address)) {
      client.send(ByteBuffer.allocate(5).put((byte) 'Q').putInt(60 << 20).flip());
      thread(
          () -> {
            while (true) {
              client.socket.getOutputStream().write(new byte[60_000]);
            }
          });
      assertTrue(next(client.in).contains("C08P01"));
      assertEquals(-1, client.in.read());
    }
    gateway.stop();
  }

  /** Hundreds of silent clients take no place of an active one. */
  @Test
  void surplusConnectionsAreClosedByTheAcceptor() throws Exception {
    Primary primary = new Primary();
    GatewayProcess gateway =
        new GatewayProcess(
            GatewayConfig.of(
                ConfigValues.ofJson(
                    text(discovery(primary))
                        .replace("1024", "64")
                        .getBytes(StandardCharsets.UTF_8))));
    CompletableFuture.supplyAsync(gateway::serve);
    InetSocketAddress address = gateway.listening().get(20, TimeUnit.SECONDS);
    List<Socket> silent = new ArrayList<>();
    try (Client usual = new Client(address)) {
      while (!usual.ask("").get(0).startsWith("I")) {
        Thread.onSpinWait();
      }
      for (int k = 0; k < 300; k++) {
        silent.add(new Socket(address.getAddress(), address.getPort()));
      }
      assertEquals("D\0\1", write(usual, "0f").get(1).substring(0, 3));
      int open = 0;
      for (Socket each : silent) {
        each.setSoTimeout(1);
        try {
          // Closed at once, with or without an answer.
          each.getInputStream().read();
        } catch (SocketTimeoutException e) {
          open++;
        } catch (IOException e) {
          // Reset.
        }
      }
      assertTrue(open <= 48, open + " of 64 descriptors");
    } finally {
      for (Socket each : silent) {
        each.close();
      }
    }
    assertTrue(isServedWithin(Duration.ofSeconds(20), address), "there is room again");
    gateway.stop();
  }

  /**
   * One that comes before the ends of those before it were read is still one too many, and comes
   * again.
   */
  private static boolean isServedWithin(Duration time, InetSocketAddress address) {
    long until = System.nanoTime() + time.toNanos();
    while (System.nanoTime() < until) {
      try (Client later = new Client(address)) {
        if (later.ask("").get(0).startsWith("I")) {
          return true;
        }
      } catch (IOException e) {
        Thread.onSpinWait();
      }
    }
    return false;
  }

  /** An error would cross the first statement and be lost by the reset. */
  @Test
  void connectionClosedByTheAcceptorGetsNoAnswer() throws Exception {
    Primary primary = new Primary();
    GatewayProcess gateway =
        new GatewayProcess(
            GatewayConfig.of(
                ConfigValues.ofJson(
                    text(discovery(primary))
                        .replace("1024", "64")
                        .getBytes(StandardCharsets.UTF_8))));
    CompletableFuture.supplyAsync(gateway::serve);
    InetSocketAddress address = gateway.listening().get(20, TimeUnit.SECONDS);
    List<Client> busy = new ArrayList<>();
    List<Socket> surplus = new ArrayList<>();
    primary.stuck = new CountDownLatch(1);
    try {
      busy.add(new Client(address));
      while (!busy.get(0).ask("").get(0).startsWith("I")) {
        Thread.onSpinWait();
      }
      for (int k = 0; k < 24; k++) {
        Client client = k == 0 ? busy.get(0) : new Client(address);
        // A client that has sent a statement is not evicted.
        client.ask("");
        client.send(
            MessageEncoder.query(
                "INSERT INTO kv (name, content) VALUES ('k', '\\x0f') RETURNING content"
                    + " /* id=b"
                    + k
                    + ",c=entry-write,d=20000,cluster=0 */"));
        if (k > 0) {
          busy.add(client);
        }
      }
      int withoutAnswer = 0;
      // All at once: one after the other, on a slow machine, those before have left by then.
      for (int k = 0; k < 200; k++) {
        surplus.add(new Socket(address.getAddress(), address.getPort()));
      }
      for (Socket each : surplus) {
        each.setSoTimeout(5000);
        try {
          each.getOutputStream().write(MessageEncoder.startup().array());
          withoutAnswer += each.getInputStream().read() < 0 ? 1 : 0;
        } catch (IOException e) {
          withoutAnswer++;
        }
      }
      assertTrue(withoutAnswer > 0, "all got an answer");
      primary.stuck.countDown();
      for (Client each : busy) {
        each.answer();
      }
    } finally {
      primary.stuck.countDown();
      for (Socket each : surplus) {
        each.close();
      }
      for (Client each : busy) {
        each.close();
      }
    }
    gateway.stop();
  }

  /**
   * A process of its own: a reload at SIGHUP of a faulty configuration, then of a valid one, and a
   * stop at SIGTERM.
   */
  @Test
  void processReloadsAtSighupAndExitsWithZeroAtSigterm(@TempDir Path folder) throws Exception {
    Path config = folder.resolve("config.json");
    Process process = process(config);
    try (BufferedReader log = process.inputReader()) {
      await(log, "STARTING to LISTENING");
      Files.writeString(config, "{\"name\":");
      hangUp(process);
      await(log, "configuration reload failed, the one in force stays: reason=NODE_CONFIG");
      Files.writeString(
          config,
          Files.readString(Path.of("deploy/example.json"))
              .replace("127.0.0.1:8500", "127.0.0.1:2")
              .replace("192", "128"));
      hangUp(process);
      await(log, "configuration reloaded");
      await(log, "discovery address changed: endpoint=127.0.0.1:2");
      process.toHandle().destroy();
      List<String> rest = log.lines().toList();
      assertTrue(rest.stream().anyMatch(l -> l.contains("to DRAINING")), rest.toString());
      assertTrue(rest.stream().anyMatch(l -> l.contains("stopped: 0 accepted")), rest.toString());
      assertEquals(0, process.waitFor());
    } finally {
      process.destroyForcibly();
    }
  }

  /** Whoever reloads the configuration has to learn that nothing will happen. */
  @Test
  void processWithSighupIgnoredLogsIt(@TempDir Path folder) throws Exception {
    Process process =
        process(folder.resolve("config.json"), "sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    try (BufferedReader log = process.inputReader()) {
      List<String> said = new ArrayList<>();
      for (String line = log.readLine();
          line != null && !line.contains("STARTING to LISTENING");
          line = log.readLine()) {
        said.add(line);
      }
      assertTrue(
          said.stream().anyMatch(l -> l.contains("SIGHUP is ignored from the start")),
          said.toString());
    } finally {
      process.destroyForcibly();
    }
  }

  /**
   * Serves with the example's configuration, written there, and a discovery that does not exist.
   */
  private static Process process(Path config, String... before) throws IOException {
    Files.writeString(
        config,
        Files.readString(Path.of("deploy/example.json"))
            .replace("127.0.0.1:6543", "127.0.0.1:0")
            .replace("127.0.0.1:8500", "127.0.0.1:1"));
    List<String> command = new ArrayList<>(List.of(before));
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "weldcross.Main",
            "serve"));
    ProcessBuilder start = new ProcessBuilder(command);
    start.environment().put("NODE_CONFIG", config.toString());
    return start.redirectErrorStream(true).start();
  }

  @Test
  void addressInUseEndsTheStart() throws Exception {
    Primary primary = new Primary();
    Discovery discovery = discovery(primary);
    GatewayConfig config =
        GatewayConfig.of(
            ConfigValues.ofJson(
                text(discovery)
                    .replace("127.0.0.1:0", "127.0.0.1:" + primary.socket.getLocalPort())
                    .getBytes(StandardCharsets.UTF_8)));
    GatewayProcess gateway = new GatewayProcess(config);
    assertFalse(gateway.serve() == 0);
    assertTrue(gateway.listening().isCompletedExceptionally(), "nobody waits for it forever");
  }

  private static void hangUp(Process process) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
  }

  private static void await(BufferedReader log, String text) throws IOException {
    String line = log.readLine();
    while (line != null && !line.contains(text)) {
      line = log.readLine();
    }
    assertTrue(line != null, "not logged: " + text);
  }

  /** An extension that records its calls; a test says when it is ready and done. */
  private static final class NotingPart implements GatewayExtension {
    final String name;
    final List<String> calls;
    ExtensionContext context;
    volatile boolean ready;
    volatile boolean done;

    NotingPart(String name, List<String> calls) {
      this.name = name;
      this.calls = calls;
    }

    @Override
    public String name() {
      return name;
    }

    @Override
    public void start(ExtensionContext given) {
      context = given;
      calls.add(name + " starts");
    }

    @Override
    public boolean isReady() {
      return ready;
    }

    @Override
    public void reloaded() {
      calls.add(name + " reloaded");
    }

    @Override
    public void drain() {
      calls.add(name + " drains");
    }

    @Override
    public boolean isDone() {
      return done;
    }

    @Override
    public void stop() {
      calls.add(name + " stops");
    }

    @Override
    public String describe() {
      return name;
    }
  }

  /** Before clients are accepted, and with the stop held up as well. */
  @Test
  void extensionsStartInOrderHoldReadinessAndStopInReverse() throws Exception {
    Discovery discovery = discovery(new Primary());
    List<String> calls = Collections.synchronizedList(new ArrayList<>());
    NotingPart a = new NotingPart("a", calls);
    NotingPart b = new NotingPart("b", calls);
    b.ready = true;
    a.done = true;
    GatewayProcess gateway = new GatewayProcess(readConfig(discovery), List.of(a, b), Instant::now);
    CompletableFuture<Integer> status = CompletableFuture.supplyAsync(gateway::serve);
    InetSocketAddress address = gateway.listening().get(20, TimeUnit.SECONDS);
    assertEquals(List.of("a starts", "b starts"), calls);
    try (Client client = new Client(address)) {
      CountDownLatch listed = new CountDownLatch(1);
      while (listed.getCount() > 0) {
        assertTrue(client.ask("").get(0).startsWith("E"), "not ready while an extension is not");
        a.context.post(
            () -> {
              if (a.context.now().toMillis() > 1500) {
                listed.countDown();
              }
            });
      }
      a.ready = true;
      a.context.post(a.context::changed);
      while (!client.ask("").get(0).startsWith("I")) {
        Thread.onSpinWait();
      }
      GatewayConfig again = readConfig(discovery);
      gateway.reload(() -> again);
      gateway.stop();
      CountDownLatch waited = new CountDownLatch(1);
      b.context.post(() -> b.context.at(b.context.now().plusMillis(1500), waited::countDown));
      assertTrue(waited.await(20, TimeUnit.SECONDS));
      assertFalse(status.isDone(), "it waits for the extension that is not done");
      b.done = true;
      b.context.post(b.context::changed);
      assertEquals(0, status.get(20, TimeUnit.SECONDS));
    }
    assertEquals(
        List.of(
            "a starts",
            "b starts",
            "a reloaded",
            "b reloaded",
            "a drains",
            "b drains",
            "b stops",
            "a stops"),
        calls);
  }

  /** What {@code run} starts loads no class of an extension, nor of what only extensions need. */
  @Test
  void plainStartLoadsNoClassOfAnExtension(@TempDir Path folder) throws Exception {
    List<String> plain = loaded(folder, "serve");
    assertTrue(
        plain.stream().anyMatch(l -> l.contains("weldcross.gateway.Gateway ")),
        "classes are logged");
    List<String> extensionClasses =
        plain.stream()
            .filter(
                l ->
                    l.matches(
                        ".*\\b(weldcross\\.(mesh|membership|consensus|control|storage|chaos)\\."
                            + "|com\\.google\\.protobuf|org\\.tomlj|org\\.antlr"
                            + "|weldcross\\.cli\\.ExtensionLoader"
                            + "|weldcross\\.config\\.(ExtensionsConfig|TomlConfigParser)).*"))
            .toList();
    assertEquals(List.of(), extensionClasses);
    Path with = folder.resolve("parts.toml");
    Files.writeString(
        with,
        "directory = \""
            + folder.resolve("kept")
            + "\"\n[link]\ncluster = \"c\"\n"
            + "listen = \"127.0.0.1:0\"\n");
    assertTrue(
        loaded(folder, "serve", "--with", with.toString()).stream()
            .anyMatch(l -> l.contains("weldcross.mesh.PeerConnectionManager ")),
        "with one they are");
  }

  /** Class names that a process of its own loads until its port is open. */
  private List<String> loaded(Path folder, String... arguments) throws Exception {
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        Files.readString(Path.of("deploy/example.json")).replace("127.0.0.1:6543", "127.0.0.1:0"));
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:file=" + folder.resolve("classes"),
                "-cp",
                System.getProperty("java.class.path"),
                "weldcross.Main"));
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("NODE_CONFIG", config.toString());
    Process process = builder.start();
    try (BufferedReader log = process.inputReader()) {
      List<String> said = new ArrayList<>();
      for (String line = log.readLine();
          line != null && !line.contains("discovery failed");
          line = log.readLine()) {
        said.add(line);
      }
      assertTrue(process.isAlive(), said.toString());
    } finally {
      process.destroyForcibly().waitFor();
    }
    return Files.readAllLines(folder.resolve("classes"));
  }

  private Discovery discovery(Primary primary) throws IOException {
    Discovery discovery = new Discovery(primary);
    fakes.addAll(List.of(primary, discovery));
    return discovery;
  }

  private List<String> write(Client client, String hex) throws IOException {
    return client.ask(
        "INSERT INTO kv (name, content) VALUES ('k', '\\x"
            + hex
            + "') RETURNING content"
            + " /* id=i"
            + nextRequest++
            + ",c=entry-write,d=20000,cluster=0 */");
  }

  private List<String> read(Client client) throws IOException {
    return client.ask(
        "SELECT content FROM kv WHERE name = 'k' /* id=i"
            + nextRequest++
            + ",c=entry-read,d=20000,cluster=0 */");
  }

  private static GatewayConfig readConfig(Discovery discovery) throws IOException {
    return GatewayConfig.of(ConfigValues.ofJson(text(discovery).getBytes(StandardCharsets.UTF_8)));
  }

  private static String text(Discovery discovery) throws IOException {
    return Files.readString(Path.of("deploy/example.json"))
        .replace("127.0.0.1:6543", "127.0.0.1:0")
        .replace("127.0.0.1:8500", "127.0.0.1:" + discovery.socket.getLocalPort());
  }

  private static void thread(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | UncheckedIOException e) {
                // Closed at the end of the test, or by the gateway.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static String next(DataInputStream in) throws IOException {
    char type = (char) in.readByte();
    byte[] body = new byte[in.readInt() - 4];
    in.readFully(body);
    return type + new String(body, StandardCharsets.ISO_8859_1);
  }

  private static byte[] row(String value, String tag) {
    ByteBuffer d =
        ByteBuffer.allocate(6 + value.length())
            .putShort((short) 1)
            .putInt(value.length())
            .put(value.getBytes(StandardCharsets.ISO_8859_1));
    String body = new String(d.array(), StandardCharsets.ISO_8859_1);
    return concat(
        message('T', "\0\1content\0" + "\0".repeat(18)),
        message('D', body),
        message('C', tag + "\0"));
  }

  private static byte[] concat(byte[]... messages) {
    ByteBuffer all = ByteBuffer.allocate(200_000);
    for (byte[] each : messages) {
      all.put(each);
    }
    byte[] bytes = new byte[all.position()];
    all.flip().get(bytes);
    return bytes;
  }

  private static byte[] message(char type, String body) {
    byte[] b = body.getBytes(StandardCharsets.ISO_8859_1);
    return ByteBuffer.allocate(5 + b.length).put((byte) type).putInt(4 + b.length).put(b).array();
  }
}
