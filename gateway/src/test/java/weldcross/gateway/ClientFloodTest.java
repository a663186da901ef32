package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import weldcross.pgwire.MessageEncoder;

/** Many clients that send much at once to a gateway process with a small heap. */
@Timeout(120)
class ClientFloodTest {

  private static final int CLIENTS = 300;
  private static final int WRITES_PER_CLIENT = 8;

  /** The longest value, in hex digits. */
  private static final int VALUE_DIGITS = 2 * 65_536;

  private static final int CLIENT_TIMEOUT_MILLIS = 60_000;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private Process process;

  @AfterEach
  void stop() throws Exception {
    threads.shutdownNow();
    process.destroyForcibly().waitFor();
  }

  /**
   * Guards against a process that ends for lack of heap while clients send more than it can hold:
   * every write is answered, and the process runs on.
   */
  @Test
  void manyClientsThatSendLongWritesAtOnceAreAllAnswered(@TempDir Path directory) throws Exception {
    InetSocketAddress address = startGateway(directory.resolve("config.json"));
    List<Future<Integer>> answers = new ArrayList<>();
    for (int client = 0; client < CLIENTS; client++) {
      String prefix = "m" + client + "x";
      answers.add(threads.submit(() -> sendAllAndCountAnswers(address, prefix)));
    }
    int answered = 0;
    for (Future<Integer> clientAnswers : answers) {
      answered += clientAnswers.get();
    }
    assertTrue(process.isAlive(), "the gateway process runs on");
    assertEquals(CLIENTS * WRITES_PER_CLIENT, answered);
  }

  /** Sends writes without waiting for answers; returns how many are answered. */
  private int sendAllAndCountAnswers(InetSocketAddress address, String idPrefix) throws Exception {
    int answered = 0;
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
      socket.getOutputStream().write(MessageEncoder.startup().array());
      DataInputStream in = new DataInputStream(socket.getInputStream());
      awaitReady(in);
      Future<?> sending =
          threads.submit(
              () -> {
                for (int index = 0; index < WRITES_PER_CLIENT; index++) {
                  socket.getOutputStream().write(write(idPrefix + index).array());
                }
                return null;
              });
      while (answered < WRITES_PER_CLIENT) {
        awaitReady(in);
        answered++;
      }
      sending.get();
    }
    return answered;
  }

  private static ByteBuffer write(String id) {
    return MessageEncoder.query(
        "INSERT INTO kv (name, content) VALUES ('k', '\\x"
            + "a".repeat(VALUE_DIGITS)
            + "') RETURNING content /* id="
            + id
            + ",c=file,d=4000,cluster=0 */");
  }

  /** Reads messages up to ReadyForQuery. */
  private static void awaitReady(DataInputStream in) throws IOException {
    byte type;
    do {
      type = in.readByte();
      in.readFully(new byte[in.readInt() - Integer.BYTES]);
    } while (type != 'Z');
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Starts a gateway without discovery or servers, so that accepted requests are queued. */
  private InetSocketAddress startGateway(Path config) throws IOException {
    int port = freePort();
    Files.writeString(
        config,
        new String(TestConfig.json(), StandardCharsets.UTF_8)
            .replace("127.0.0.1:0", "127.0.0.1:" + port)
            .replace("\"mayTell\":true", "\"mayTell\":false"));
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx96m",
                "-XX:+ExitOnOutOfMemoryError",
                "-XX:MaxDirectMemorySize=16m",
                "-Djdk.nio.maxCachedBufferSize=262144",
                "-cp",
                System.getProperty("java.class.path"),
                "weldcross.Main",
                "serve")
            .redirectErrorStream(true);
    builder.environment().put("NODE_CONFIG", config.toString());
    process = builder.start();
    BufferedReader log = process.inputReader();
    String line = log.readLine();
    while (line != null && !line.contains("STARTING to LISTENING")) {
      line = log.readLine();
    }
    Future<Long> unused = threads.submit(() -> log.lines().count());
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    awaitListening(address);
    return address;
  }

  /** Waits until the gateway, which logs that it listens just before it does, accepts clients. */
  private void awaitListening(InetSocketAddress address) {
    boolean listening = false;
    while (!listening && process.isAlive()) {
      try (Socket probe = new Socket(address.getAddress(), address.getPort())) {
        listening = probe.isConnected();
      } catch (IOException e) {
        Thread.onSpinWait();
      }
    }
  }
}
