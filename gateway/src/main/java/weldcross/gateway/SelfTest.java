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
 * Runs a gateway on loopback ports of its own, with a fake server and a fake discovery: starts it,
 * sends it some requests, has it reload its configuration and stops it. The build archives the
 * classes that it loads, as a restarted gateway serves nobody while they load; by hand it shows
 * that a configuration starts.
 */
public final class SelfTest {

  private static final int ROUNDS = 8;
  private static final int ACCEPT_BACKLOG = 50;

  /** Serves one connection to a fake. */
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
   * @param config the configuration to start with; its addresses are replaced
   * @return the exit status of the gateway, see {@link GatewayProcess}
   * @throws IOException if the fakes cannot listen on the loopback
   */
  public static int run(GatewayConfig config) throws IOException {
    try (ServerSocket server = startFake(SelfTest::serve);
        ServerSocket discovery =
            startFake((in, out) -> listEndpoints(in, out, server.getLocalPort()))) {
      GatewayConfig isolated = config.onLoopback(discovery.getLocalPort(), server.getLocalPort());
      return GatewayProcess.run(
          () -> isolated, process -> new Thread(() -> exercise(process, isolated)).start());
    }
  }

  private static void exercise(GatewayProcess process, GatewayConfig config) {
    InetSocketAddress address = process.listening().join();
    for (int round = 0; round < ROUNDS; round++) {
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

  /** Sends a message and reads on to ReadyForQuery; returns the type of the first message. */
  private static int exchange(Socket client, DataInputStream in, ByteBuffer message)
      throws IOException {
    byte[] bytes = new byte[message.remaining()];
    message.get(bytes);
    client.getOutputStream().write(bytes);
    int first = 0;
    byte type;
    do {
      type = in.readByte();
      first = first == 0 ? type : first;
      in.readFully(new byte[in.readInt() - Integer.BYTES]);
    } while (type != 'Z');
    return first;
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
                // The other side is done.
              } catch (IOException e) {
                throw new IllegalStateException("self-test: a fake failed", e);
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Serves as a primary whose every value is one byte. */
  private static void serve(DataInputStream in, OutputStream out) throws IOException {
    in.readFully(new byte[in.readInt() - Integer.BYTES]);
    out.write(MessageEncoder.sessionReady().array());
    while (true) {
      in.readByte();
      byte[] text = new byte[in.readInt() - Integer.BYTES];
      in.readFully(text);
      long now = System.currentTimeMillis();
      String report = "x0=" + now / 1000 + "." + now % 1000 + ",x1=1";
      out.write(
          text[1] == 'H'
              ? MessageEncoder.rowResponse(report, "SHOW", now)
              : MessageEncoder.rowResponse("v", text[0] == 'I' ? "INSERT 0 1" : "SELECT 1", now));
    }
  }

  /** Serves the complete endpoint list, then a watch in which nothing changes. */
  private static void listEndpoints(DataInputStream in, OutputStream out, int server)
      throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) in.readByte());
    }
    if (head.indexOf("since") < 0) {
      String list =
          "{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"s-0\",\"cell\":0,"
              + "\"host_port\":\"127.0.0.1:"
              + server
              + "\",\"phase\":\"active\",\"up_since_ms\":1}]}";
      out.write(
          ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
              .getBytes(StandardCharsets.US_ASCII));
      listEndpoints(in, out, server);
    }
    in.readByte();
  }
}
