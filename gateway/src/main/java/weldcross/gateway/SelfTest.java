package weldcross.gateway;

import java.io.DataInputStream;
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
 * One short life of a gateway on loopback ports of its own, with a stand-in for a server and one
 * for discovery: started, asked a few times, told to read its terms again, stopped. The build
 * archives the classes that it loads, as a gateway restarted in mid-day serves nobody while they
 * load; by hand it shows that a configuration starts.
 */
public final class SelfTest {

  private static final int ROUNDS = 8;

  /** What a stand-in does with one connection. */
  private interface Step {
    void play(DataInputStream in, OutputStream out) throws IOException;
  }

  private SelfTest() {}

  /** Returns the status with which the gateway ended. */
  public static int run(GatewayConfig terms) throws IOException {
    try (ServerSocket server = standIn(SelfTest::serve);
        ServerSocket discovery = standIn((in, out) -> list(in, out, server.getLocalPort()))) {
      GatewayConfig alone = terms.alone(discovery.getLocalPort(), server.getLocalPort());
      return GatewayProcess.run(
          () -> alone, service -> new Thread(() -> rehearse(service, alone)).start());
    }
  }

  private static void rehearse(GatewayProcess service, GatewayConfig terms) {
    InetSocketAddress at = service.listening().join();
    for (int round = 0; round < ROUNDS; round++) {
      try (Socket client = new Socket(at.getAddress(), at.getPort())) {
        DataInputStream in = new DataInputStream(client.getInputStream());
        ask(client, in, MessageEncoder.startup());
        while (ask(client, in, MessageEncoder.query("")) != 'I') {
          Thread.onSpinWait();
        }
        for (String method : terms.methods()) {
          String comment = " /* id=" + method + ",c=" + method + ",d=900,cluster=0 */";
          ask(
              client,
              in,
              MessageEncoder.query("SELECT content FROM kv WHERE name = 'k'" + comment));
          ask(
              client,
              in,
              MessageEncoder.query(
                  "INSERT INTO kv (name, content) VALUES ('k', '\\x00') "
                      + "RETURNING content"
                      + comment));
        }
      } catch (IOException e) {
        throw new IllegalStateException("the rehearsal broke off", e);
      }
    }
    service.reload(() -> terms);
    service.stop();
  }

  /** Reads on to ReadyForQuery; returns the type of the first message. */
  private static int ask(Socket client, DataInputStream in, ByteBuffer message) throws IOException {
    client.getOutputStream().write(message.array(), message.position(), message.remaining());
    int first = 0;
    byte type;
    do {
      type = in.readByte();
      first = first == 0 ? type : first;
      in.readFully(new byte[in.readInt() - Integer.BYTES]);
    } while (type != 'Z');
    return first;
  }

  private static ServerSocket standIn(Step part) throws IOException {
    ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    thread(
        () -> {
          while (true) {
            Socket connection = socket.accept();
            thread(
                () ->
                    part.play(
                        new DataInputStream(connection.getInputStream()),
                        connection.getOutputStream()));
          }
        });
    return socket;
  }

  private interface Steps {
    void run() throws IOException;
  }

  private static void thread(Steps steps) {
    Thread thread =
        new Thread(
            () -> {
              try {
                steps.run();
              } catch (SocketException | java.io.EOFException e) {
                // The other side is done.
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** A primary whose every value is one byte. */
  private static void serve(DataInputStream in, OutputStream out) throws IOException {
    in.readFully(new byte[in.readInt() - Integer.BYTES]);
    out.write(MessageEncoder.welcome().array());
    while (true) {
      in.readByte();
      byte[] text = new byte[in.readInt() - Integer.BYTES];
      in.readFully(text);
      long now = System.currentTimeMillis();
      String report = "x0=" + now / 1000 + "." + now % 1000 + ",x1=1";
      out.write(
          text[1] == 'H'
              ? MessageEncoder.row(report, "SHOW", now)
              : MessageEncoder.row("v", text[0] == 'I' ? "INSERT 0 1" : "SELECT 1", now));
    }
  }

  /** The whole list, then a watch in which nothing changes. */
  private static void list(DataInputStream in, OutputStream out, int server) throws IOException {
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
      list(in, out, server);
    }
    in.readByte();
  }
}
