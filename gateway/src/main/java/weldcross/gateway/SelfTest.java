package weldcross.gateway;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import weldcross.config.GatewayConfig;
import weldcross.pgwire.MessageEncoder;

/**
 * Runs a gateway on loopback ports with a fake server and a fake discovery: starts it, sends some
 * requests, reloads its configuration and stops it. The build archives the classes that this loads
 * (class data sharing), as a restarted gateway serves no requests while it loads classes. Run
 * manually, it checks that a gateway starts with a configuration.
 */
public final class SelfTest {

  private static final int CLIENT_CONNECTIONS = 8;
  private static final int ACCEPT_BACKLOG = 50;

  /** Serves one connection of a fake. */
  private interface ConnectionHandler {
    void handle(DataInputStream in, OutputStream out) throws IOException;
  }

  private interface IoTask {
    void run() throws IOException;
  }

  private SelfTest() {}

  /**
   * Runs the self-test.
   *
   * @param config the configuration to start with; its addresses are replaced by loopback addresses
   * @return the exit status of the gateway, see {@link GatewayProcess}
   * @throws IOException if the fakes cannot listen on the loopback interface
   */
  public static int run(GatewayConfig config) throws IOException {
    try (ServerSocket server = startFake(SelfTest::serveQueries);
        ServerSocket discovery =
            startFake((in, out) -> serveEndpointList(in, out, server.getLocalPort()))) {
      GatewayConfig loopbackConfig =
          config.onLoopback(discovery.getLocalPort(), server.getLocalPort());
      return GatewayProcess.run(
          () -> loopbackConfig,
          process -> new Thread(() -> exercise(process, loopbackConfig)).start());
    }
  }

  private static void exercise(GatewayProcess process, GatewayConfig config) {
    InetSocketAddress address = process.listening().join();
    for (int connection = 0; connection < CLIENT_CONNECTIONS; connection++) {
      try (Socket client = new Socket(address.getAddress(), address.getPort())) {
        sendRequests(client, config);
      } catch (IOException e) {
        throw new IllegalStateException(
            "self-test: connection to the gateway failed: address=" + address, e);
      }
    }
    process.reload(() -> config);
    process.stop();
  }

  private static void sendRequests(Socket client, GatewayConfig config) throws IOException {
    DataInputStream in = new DataInputStream(client.getInputStream());
    exchange(client, in, MessageEncoder.startup());
    while (exchange(client, in, MessageEncoder.query("")) != 'I') {
      Thread.onSpinWait();
    }
    for (String requestClass : config.requestClassNames()) {
      String comment = " /* id=" + requestClass + ",c=" + requestClass + ",d=900,cluster=0 */";
      String read = "SELECT content FROM kv WHERE name = 'k'" + comment;
      String write =
          "INSERT INTO kv (name, content) VALUES ('k', '\\x00') RETURNING content" + comment;
      exchange(client, in, MessageEncoder.query(read));
      exchange(client, in, MessageEncoder.query(write));
    }
  }

  /** Sends a message, reads up to ReadyForQuery and returns the type of the first response. */
  private static int exchange(Socket client, DataInputStream in, ByteBuffer message)
      throws IOException {
    byte[] bytes = new byte[message.remaining()];
    message.get(bytes);
    client.getOutputStream().write(bytes);
    int firstType = 0;
    byte type;
    do {
      type = in.readByte();
      firstType = firstType == 0 ? type : firstType;
      in.readFully(new byte[in.readInt() - Integer.BYTES]);
    } while (type != 'Z');
    return firstType;
  }

  private static ServerSocket startFake(ConnectionHandler handler) throws IOException {
    ServerSocket socket = new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getLoopbackAddress());
    startThread(
        () -> {
          while (true) {
            Socket connection = socket.accept();
            startThread(
                () ->
                    handler.handle(
                        new DataInputStream(connection.getInputStream()),
                        connection.getOutputStream()));
          }
        });
    return socket;
  }

  private static void startThread(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (SocketException | EOFException e) {
                // The peer has closed the connection.
              } catch (IOException e) {
                throw new IllegalStateException("self-test: I/O error in a fake", e);
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Answers queries as a primary in which each value is a single byte. */
  private static void serveQueries(DataInputStream in, OutputStream out) throws IOException {
    in.readFully(new byte[in.readInt() - Integer.BYTES]);
    out.write(MessageEncoder.sessionReady().array());
    while (true) {
      in.readByte();
      byte[] text = new byte[in.readInt() - Integer.BYTES];
      in.readFully(text);
      long now = System.currentTimeMillis();
      String loadReport = "x0=" + now / 1000 + "." + now % 1000 + ",x1=1";
      out.write(
          text[1] == 'H'
              ? MessageEncoder.rowResponse(loadReport, "SHOW", now)
              : MessageEncoder.rowResponse("v", text[0] == 'I' ? "INSERT 0 1" : "SELECT 1", now));
    }
  }

  /** Serves the complete endpoint list and then a watch without changes. */
  private static void serveEndpointList(DataInputStream in, OutputStream out, int serverPort)
      throws IOException {
    StringBuilder requestHead = new StringBuilder();
    while (requestHead.indexOf("\r\n\r\n") < 0) {
      requestHead.append((char) in.readByte());
    }
    if (requestHead.indexOf("since") < 0) {
      String list =
          "{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"s-0\",\"cell\":0,"
              + "\"host_port\":\"127.0.0.1:"
              + serverPort
              + "\",\"phase\":\"active\",\"up_since_ms\":1}]}";
      out.write(
          ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
              .getBytes(StandardCharsets.US_ASCII));
      serveEndpointList(in, out, serverPort);
    }
    in.readByte();
  }
}
