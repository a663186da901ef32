package weldcross.gateway;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
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
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import weldcross.config.ConfigValues;
import weldcross.config.GatewayConfig;
import weldcross.pgwire.MessageEncoder;

/** A server, a discovery and clients on loopback sockets, for tests of a whole process. */
final class LoopbackFakes implements AutoCloseable {

  private final List<Closeable> fakes = new ArrayList<>();
  private int nextRequest;

  /** Accepts until it is closed; each connection on a thread of its own. */
  abstract static class FakeListener implements Closeable {
    final ServerSocket socket;
    final List<Socket> open = new ArrayList<>();

    FakeListener() throws IOException {
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
  static final class Primary extends FakeListener {
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
          value = asked.split("\\\\x|'\\) ", -1)[1];
          awaitLatch(stuck);
          rows.put(asked.split("'", -1)[1], value);
        } else {
          value = rows.getOrDefault(asked.split("'", -1)[1], "");
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

  static final class Discovery extends FakeListener {
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
  static final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final DataInputStream in;

    Client(InetSocketAddress address) throws IOException {
      socket.connect(address);
      in = new DataInputStream(socket.getInputStream());
      send(MessageEncoder.startup());
      answer();
    }

    void send(ByteBuffer bytes) throws IOException {
      byte[] message = new byte[bytes.remaining()];
      bytes.duplicate().get(message);
      socket.getOutputStream().write(message);
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

  interface IoTask {
    void run() throws IOException;
  }

  /** Closes all listeners that were registered, with their connections. */
  @Override
  public void close() throws IOException {
    for (Closeable each : fakes) {
      each.close();
    }
  }

  /** Creates a discovery that lists a primary; both are closed with this. */
  Discovery discovery(Primary primary) throws IOException {
    Discovery discovery = new Discovery(primary);
    fakes.addAll(List.of(primary, discovery));
    return discovery;
  }

  /** Writes a value; returns the messages of the answer. */
  List<String> write(Client client, String hex) throws IOException {
    return client.ask(
        "INSERT INTO kv (name, content) VALUES ('k', '\\x"
            + hex
            + "') RETURNING content"
            + " /* id=i"
            + nextRequest++
            + ",c=entry-write,d=20000,cluster=0 */");
  }

  /** Reads the value; returns the messages of the answer. */
  List<String> read(Client client) throws IOException {
    return client.ask(
        "SELECT content FROM kv WHERE name = 'k' /* id=i"
            + nextRequest++
            + ",c=entry-read,d=20000,cluster=0 */");
  }

  /** Returns the example's configuration with this discovery. */
  static GatewayConfig readConfig(Discovery discovery) throws IOException {
    return GatewayConfig.of(ConfigValues.ofJson(text(discovery).getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns the example's configuration with this discovery, as JSON. */
  static String text(Discovery discovery) throws IOException {
    return Files.readString(Path.of("deploy/example.json"))
        .replace("127.0.0.1:6543", "127.0.0.1:0")
        .replace("127.0.0.1:8500", "127.0.0.1:" + discovery.socket.getLocalPort());
  }

  /** Runs a task on a thread of its own until a socket of it is closed. */
  static void thread(IoTask task) {
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

  /** Returns the next message, with its type. */
  static String next(DataInputStream in) throws IOException {
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
