package weldcross.gateway;

import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import weldcross.pgwire.MessageEncoder;

/** A gateway process with the heap of the deploy file, which ends when that is exhausted. */
final class SmallHeapGateway implements AutoCloseable {

  private static final String LISTEN_ON_ANY_PORT = "127.0.0.1:0";

  private final Process process;
  final InetSocketAddress address;

  /**
   * Starts a gateway and waits until it accepts clients.
   *
   * @param directory where its configuration is written
   * @param config the configuration, which listens on port 0 of 127.0.0.1
   */
  SmallHeapGateway(Path directory, String config) throws IOException {
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
    Path file = directory.resolve("config.json");
    Files.writeString(file, config.replace(LISTEN_ON_ANY_PORT, "127.0.0.1:" + address.getPort()));
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
    builder.environment().put("NODE_CONFIG", file.toString());
    process = builder.start();
    awaitLogLine("STARTING to LISTENING");
    awaitListening();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private void awaitLogLine(String text) throws IOException {
    BufferedReader log = process.inputReader();
    String line = log.readLine();
    while (line != null && !line.contains(text)) {
      line = log.readLine();
    }
    LoopbackFakes.startThread(() -> log.lines().forEach(ignored -> {}));
  }

  /** Waits until the gateway, which logs that it listens just before it does, accepts clients. */
  private void awaitListening() {
    boolean listening = false;
    while (!listening && isRunning()) {
      try (Socket probe = new Socket(address.getAddress(), address.getPort())) {
        listening = probe.isConnected();
      } catch (IOException e) {
        Thread.onSpinWait();
      }
    }
  }

  /** Waits until the gateway answers an empty query as ready. */
  void awaitReady() throws IOException {
    boolean ready = false;
    while (!ready && isRunning()) {
      try (LoopbackFakes.Client probe = new LoopbackFakes.Client(address)) {
        ready = probe.query("").get(0).startsWith("I");
      }
    }
  }

  boolean isRunning() {
    return process.isAlive();
  }

  /** Reads messages up to ReadyForQuery. */
  static void readResponse(DataInputStream in) throws IOException {
    byte type;
    do {
      type = in.readByte();
      in.readFully(new byte[in.readInt() - Integer.BYTES]);
    } while (type != 'Z');
  }

  /** Connects a client and completes its startup. */
  Socket connect() throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.getOutputStream().write(MessageEncoder.startup().array());
    readResponse(new DataInputStream(socket.getInputStream()));
    return socket;
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }
}
