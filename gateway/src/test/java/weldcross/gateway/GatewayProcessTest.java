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
          "{\"revision\":7,\"complete\":true,\"members\":[{\"id\":\"s-0\",\"host_port\":\"127.0.0.1:"
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

    Client(InetSocketAddress at) throws IOException {
      socket.connect(at);
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

  private interface Step {
    void run() throws IOException;
  }

  private final List<AutoCloseable> standIns = new ArrayList<>();
  private int named;

  @AfterEach
  void closeStandIns() throws Exception {
    for (AutoCloseable each : standIns) {
      each.close();
    }
  }

  @Test
  void servesOverLoopbackStopsAndStartsAgain() throws Exception {
    Discovery discovery = discovery(new Primary());
    for (int life = 0; life < 2; life++) {
      GatewayProcess service = new GatewayProcess(terms(discovery));
      CompletableFuture<Integer> status = CompletableFuture.supplyAsync(service::serve);
      InetSocketAddress at = service.listening().get(20, TimeUnit.SECONDS);
      try (Client client = new Client(at)) {
        while (!client.ask("").get(0).startsWith("I")) {
          Thread.onSpinWait();
        }
        String value = "0f".repeat(60_000) + "a" + life;
        assertEquals("D\0\1", write(client, value).get(1).substring(0, 3));
        List<String> read = read(client);
        assertEquals(List.of('T', 'D', 'C', 'Z'), read.stream().map(m -> m.charAt(0)).toList());
        assertEquals(value, read.get(1).substring(7));
        assertTrue(client.ask("DROP TABLE kv").get(0).contains("C42601"));
        service.stop();
        assertEquals(value, read(client).get(1).substring(7), "still served as it drains");
        assertEquals(0, status.get(20, TimeUnit.SECONDS));
        assertEquals(-1, client.in.read());
      }
      assertThrows(IOException.class, () -> new Client(at));
    }
  }

  /** The error reaches a client that goes on sending, and its end comes soon after. */
  @Test
  void whatCannotBeReadIsToldBeforeTheEndEvenIfMoreKeepsComing() throws Exception {
    GatewayProcess service = new GatewayProcess(terms(discovery(new Primary())));
    CompletableFuture.supplyAsync(service::serve);
    InetSocketAddress at = service.listening().get(20, TimeUnit.SECONDS);
    try (Client client = new Client(at)) {
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
    service.stop();
  }

  /**
   * Hundreds that say nothing take no more than their part, and no usual client loses its place.
   */
  @Test
  void surplusConnectionsAreTurnedAwayWhereTheyAreAccepted() throws Exception {
    Primary primary = new Primary();
    GatewayProcess service =
        new GatewayProcess(
            GatewayConfig.of(
                ConfigValues.ofJson(
                    text(discovery(primary))
                        .replace("1024", "64")
                        .getBytes(StandardCharsets.UTF_8))));
    CompletableFuture.supplyAsync(service::serve);
    InetSocketAddress at = service.listening().get(20, TimeUnit.SECONDS);
    List<Socket> silent = new ArrayList<>();
    try (Client usual = new Client(at)) {
      while (!usual.ask("").get(0).startsWith("I")) {
        Thread.onSpinWait();
      }
      for (int k = 0; k < 300; k++) {
        silent.add(new Socket(at.getAddress(), at.getPort()));
      }
      assertEquals("D\0\1", write(usual, "0f").get(1).substring(0, 3));
      int open = 0;
      for (Socket each : silent) {
        each.setSoTimeout(1);
        try {
          // Closed at once, with or without a word.
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
    assertTrue(isServedWithin(Duration.ofSeconds(20), at), "there is room again");
    service.stop();
  }

  /**
   * One that comes before the ends of those before it were read is still one too many, and comes
   * again.
   */
  private static boolean isServedWithin(Duration time, InetSocketAddress at) {
    long until = System.nanoTime() + time.toNanos();
    while (System.nanoTime() < until) {
      try (Client later = new Client(at)) {
        if (later.ask("").get(0).startsWith("I")) {
          return true;
        }
      } catch (IOException e) {
        Thread.onSpinWait();
      }
    }
    return false;
  }

  /**
   * Found as RPCs lost on sockets: whom the acceptor closes is told nothing, as a word from it
   * crosses their first statement and is taken back by what comes in unread; those with an RPC open
   * keep their place.
   */
  @Test
  void whoIsClosedAtAcceptingIsToldNothing() throws Exception {
    Primary primary = new Primary();
    GatewayProcess service =
        new GatewayProcess(
            GatewayConfig.of(
                ConfigValues.ofJson(
                    text(discovery(primary))
                        .replace("1024", "64")
                        .getBytes(StandardCharsets.UTF_8))));
    CompletableFuture.supplyAsync(service::serve);
    InetSocketAddress at = service.listening().get(20, TimeUnit.SECONDS);
    List<Client> busy = new ArrayList<>();
    List<Socket> surplus = new ArrayList<>();
    primary.stuck = new CountDownLatch(1);
    try {
      busy.add(new Client(at));
      while (!busy.get(0).ask("").get(0).startsWith("I")) {
        Thread.onSpinWait();
      }
      for (int k = 0; k < 24; k++) {
        Client client = k == 0 ? busy.get(0) : new Client(at);
        // Whoever has asked something keeps its place.
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
      int untold = 0;
      // All at once: one after the other, on a slow machine, those before have left by then.
      for (int k = 0; k < 200; k++) {
        surplus.add(new Socket(at.getAddress(), at.getPort()));
      }
      for (Socket each : surplus) {
        each.setSoTimeout(5000);
        try {
          each.getOutputStream().write(MessageEncoder.startup().array());
          untold += each.getInputStream().read() < 0 ? 1 : 0;
        } catch (IOException e) {
          untold++;
        }
      }
      assertTrue(untold > 0, "all were told something");
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
    service.stop();
  }

  /**
   * A process of its own, told by SIGHUP to read its terms, faulty ones first, and ended by
   * SIGTERM.
   */
  @Test
  void processReadsItsTermsAgainAndExitsWithZeroWhenAskedToEnd(@TempDir Path folder)
      throws Exception {
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

  /** Found as plays under nohup in which discovery moved without its gateways: nothing said why. */
  @Test
  void processThatCannotHearOfANewConfigurationSaysSo(@TempDir Path folder) throws Exception {
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
   * Serves by the example's terms, which it writes there, with a discovery that nobody answers for.
   */
  private static Process process(Path config, String... before) throws IOException {
    Files.writeString(
        config,
        Files.readString(Path.of("deploy/example.json"))
            .replace("127.0.0.1:6543", "127.0.0.1:0")
            .replace("127.0.0.1:8500", "127.0.0.1:1"));
    List<String> words = new ArrayList<>(List.of(before));
    words.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "weldcross.Main",
            "serve"));
    ProcessBuilder start = new ProcessBuilder(words);
    start.environment().put("NODE_CONFIG", config.toString());
    return start.redirectErrorStream(true).start();
  }

  @Test
  void addressInUseEndsTheStart() throws Exception {
    Primary primary = new Primary();
    Discovery discovery = discovery(primary);
    GatewayConfig taken =
        GatewayConfig.of(
            ConfigValues.ofJson(
                text(discovery)
                    .replace("127.0.0.1:0", "127.0.0.1:" + primary.socket.getLocalPort())
                    .getBytes(StandardCharsets.UTF_8)));
    GatewayProcess service = new GatewayProcess(taken);
    assertFalse(service.serve() == 0);
    assertTrue(service.listening().isCompletedExceptionally(), "nobody may wait for it in vain");
  }

  private static void hangUp(Process process) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
  }

  private static void await(BufferedReader log, String words) throws IOException {
    String line = log.readLine();
    while (line != null && !line.contains(words)) {
      line = log.readLine();
    }
    assertTrue(line != null, "never said: " + words);
  }

  /** A part that notes what it is called for, and is ready and done when it is told. */
  private static final class NotingPart implements GatewayExtension {
    final String name;
    final List<String> notes;
    ExtensionContext seam;
    volatile boolean ready, done;

    NotingPart(String name, List<String> notes) {
      this.name = name;
      this.notes = notes;
    }

    @Override
    public String name() {
      return name;
    }

    @Override
    public void start(ExtensionContext given) {
      seam = given;
      notes.add(name + " starts");
    }

    @Override
    public boolean isReady() {
      return ready;
    }

    @Override
    public void reloaded() {
      notes.add(name + " reloaded");
    }

    @Override
    public void drain() {
      notes.add(name + " drains");
    }

    @Override
    public boolean isDone() {
      return done;
    }

    @Override
    public void stop() {
      notes.add(name + " stops");
    }

    @Override
    public String describe() {
      return name;
    }
  }

  /**
   * Parts start in their order before clients are let in, hold readiness and the end, and stop in
   * reverse.
   */
  @Test
  void partsStartHoldReadinessAndTheEndAndStopInReverse() throws Exception {
    Discovery discovery = discovery(new Primary());
    List<String> notes = Collections.synchronizedList(new ArrayList<>());
    NotingPart a = new NotingPart("a", notes);
    NotingPart b = new NotingPart("b", notes);
    b.ready = true;
    a.done = true;
    GatewayProcess service = new GatewayProcess(terms(discovery), List.of(a, b), Instant::now);
    CompletableFuture<Integer> status = CompletableFuture.supplyAsync(service::serve);
    InetSocketAddress at = service.listening().get(20, TimeUnit.SECONDS);
    assertEquals(List.of("a starts", "b starts"), notes);
    try (Client client = new Client(at)) {
      CountDownLatch listed = new CountDownLatch(1);
      while (listed.getCount() > 0) {
        assertTrue(client.ask("").get(0).startsWith("E"), "not ready while a part is not");
        a.seam.post(
            () -> {
              if (a.seam.now().toMillis() > 1500) {
                listed.countDown();
              }
            });
      }
      a.ready = true;
      a.seam.post(a.seam::changed);
      while (!client.ask("").get(0).startsWith("I")) {
        Thread.onSpinWait();
      }
      GatewayConfig again = terms(discovery);
      service.reload(() -> again);
      service.stop();
      CountDownLatch waited = new CountDownLatch(1);
      b.seam.post(() -> b.seam.at(b.seam.now().plusMillis(1500), waited::countDown));
      assertTrue(waited.await(20, TimeUnit.SECONDS));
      assertFalse(status.isDone(), "it waits for the part that is not done");
      b.done = true;
      b.seam.post(b.seam::changed);
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
        notes);
  }

  /** What `run` starts loads no class of a part, nor of what parts alone need. */
  @Test
  void withoutAFileOfTermsNoClassOfAPartIsLoaded(@TempDir Path folder) throws Exception {
    List<String> plain = loaded(folder, "serve");
    assertTrue(
        plain.stream().anyMatch(l -> l.contains("weldcross.gateway.Gateway ")), "classes are told");
    List<String> parts =
        plain.stream()
            .filter(
                l ->
                    l.matches(
                        ".*\\b(weldcross\\.(mesh|membership|consensus|control|storage|chaos)\\.|com\\.google\\.protobuf|org\\.tomlj|org\\.antlr"
                            + "|weldcross\\.cli\\.ExtensionLoader|weldcross\\.config\\.(ExtensionsConfig|TomlConfigParser)).*"))
            .toList();
    assertEquals(List.of(), parts);
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
    standIns.addAll(List.of(primary, discovery));
    return discovery;
  }

  private List<String> write(Client client, String hex) throws IOException {
    return client.ask(
        "INSERT INTO kv (name, content) VALUES ('k', '\\x"
            + hex
            + "') RETURNING content"
            + " /* id=i"
            + named++
            + ",c=entry-write,d=20000,cluster=0 */");
  }

  private List<String> read(Client client) throws IOException {
    return client.ask(
        "SELECT content FROM kv WHERE name = 'k' /* id=i"
            + named++
            + ",c=entry-read,d=20000,cluster=0 */");
  }

  private static GatewayConfig terms(Discovery discovery) throws IOException {
    return GatewayConfig.of(ConfigValues.ofJson(text(discovery).getBytes(StandardCharsets.UTF_8)));
  }

  private static String text(Discovery discovery) throws IOException {
    return Files.readString(Path.of("deploy/example.json"))
        .replace("127.0.0.1:6543", "127.0.0.1:0")
        .replace("127.0.0.1:8500", "127.0.0.1:" + discovery.socket.getLocalPort());
  }

  private static void thread(Step step) {
    Thread thread =
        new Thread(
            () -> {
              try {
                step.run();
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

  private static byte[] concat(byte[]... parts) {
    ByteBuffer all = ByteBuffer.allocate(200_000);
    for (byte[] part : parts) {
      all.put(part);
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
