package weldcross.gateway;

import static weldcross.gateway.ServerMessages.message;

import java.io.ByteArrayOutputStream;
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

/** A fake server, fake discovery and clients on loopback sockets, for tests of a whole process. */
final class LoopbackFakes implements AutoCloseable {

  private final List<Closeable> listeners = new ArrayList<>();
  private int nextRequest;

  /** Accepts connections until it is closed; each is served by its own thread. */
  abstract static class FakeListener implements Closeable {
    final ServerSocket socket;
    final List<Socket> open = new ArrayList<>();

    FakeListener() throws IOException {
      socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      startThread(
          () -> {
            while (true) {
              Socket connection = socket.accept();
              synchronized (open) {
                open.add(connection);
              }
              startThread(
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

  /** A primary that stores the rows written to it and reports a current replication position. */
  static final class Primary extends FakeListener {
    final Map<String, String> rows = new ConcurrentHashMap<>();

    /** Writes are not answered until this latch reaches zero. */
    volatile CountDownLatch writeLatch = new CountDownLatch(0);

    Primary() throws IOException {}

    @Override
    void serve(DataInputStream in, OutputStream out) throws IOException {
      in.readFully(new byte[in.readInt() - 4]);
      out.write(message('R', "\0\0\0\0"));
      out.write(message('Z', "I"));
      while (true) {
        String query = readMessage(in).substring(1);
        String value;
        if (query.startsWith("SHOW")) {
          value = "x0=" + System.currentTimeMillis() / 1000.0 + ",x1=1";
        } else if (query.startsWith("INSERT")) {
          value = query.split("\\\\x|'\\) ", -1)[1];
          awaitLatch(writeLatch);
          rows.put(query.split("'", -1)[1], value);
        } else {
          value = rows.getOrDefault(query.split("'", -1)[1], "");
        }
        out.write(row(value, query.startsWith("INSERT") ? "INSERT 0 1" : "SELECT 1"));
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

  /** A discovery whose endpoint list contains one primary per group and never changes. */
  static final class Discovery extends FakeListener {
    private final String endpointList;

    Discovery(Primary... primaries) throws IOException {
      List<String> members = new ArrayList<>();
      for (Primary primary : primaries) {
        members.add(member(members.size(), primary));
      }
      endpointList =
          "{\"revision\":7,\"complete\":true,\"members\":[" + String.join(",", members) + "]}";
    }

    private static String member(int group, Primary primary) {
      return "{\"id\":\"s-"
          + group
          + "\",\"host_port\":\"127.0.0.1:"
          + primary.socket.getLocalPort()
          + "\",\"locality\":\"a\",\"cell\":"
          + group
          + ",\"phase\":\"active\"}";
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
            ("HTTP/1.1 200 OK\r\nContent-Length: "
                    + endpointList.length()
                    + "\r\n\r\n"
                    + endpointList)
                .getBytes(StandardCharsets.US_ASCII));
      }
      // Reads the request of a watch, which is not answered as nothing changes.
      in.readLine();
    }
  }

  /** A client with blocking I/O and an open session. */
  static final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final DataInputStream in;

    Client(InetSocketAddress address) throws IOException {
      socket.connect(address);
      in = new DataInputStream(socket.getInputStream());
      send(MessageEncoder.startup());
      readResponse();
    }

    void send(ByteBuffer bytes) throws IOException {
      byte[] message = new byte[bytes.remaining()];
      bytes.duplicate().get(message);
      socket.getOutputStream().write(message);
    }

    /** Returns the messages up to and including ReadyForQuery, each preceded by its type. */
    List<String> readResponse() throws IOException {
      List<String> messages = new ArrayList<>();
      do {
        messages.add(readMessage(in));
      } while (!messages.get(messages.size() - 1).startsWith("Z"));
      return messages;
    }

    /** Sends a query; returns the messages of the response. */
    List<String> query(String text) throws IOException {
      send(MessageEncoder.query(text));
      return readResponse();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** A task for {@link #startThread}. */
  interface IoTask {
    void run() throws IOException;
  }

  /** Closes the listeners created by {@link #discovery}, with their connections. */
  @Override
  public void close() throws IOException {
    for (Closeable listener : listeners) {
      listener.close();
    }
  }

  /** Creates a discovery that lists primaries, one per group; {@link #close} closes them all. */
  Discovery discovery(Primary... primaries) throws IOException {
    Discovery discovery = new Discovery(primaries);
    listeners.addAll(List.of(primaries));
    listeners.add(discovery);
    return discovery;
  }

  /** Writes a value; returns the messages of the response. */
  List<String> write(Client client, String hex) throws IOException {
    return client.query(
        "INSERT INTO kv (name, content) VALUES ('k', '\\x"
            + hex
            + "') RETURNING content"
            + " /* id=i"
            + nextRequest++
            + ",c=entry-write,d=20000,cluster=0 */");
  }

  /** Reads the value; returns the messages of the response. */
  List<String> read(Client client) throws IOException {
    return client.query(
        "SELECT content FROM kv WHERE name = 'k' /* id=i"
            + nextRequest++
            + ",c=entry-read,d=20000,cluster=0 */");
  }

  /** Returns the example configuration with this discovery. */
  static GatewayConfig readConfig(Discovery discovery) throws IOException {
    return GatewayConfig.of(
        ConfigValues.ofJson(configJson(discovery).getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns the example configuration with this discovery, as JSON. */
  static String configJson(Discovery discovery) throws IOException {
    return Files.readString(Path.of("deploy/example.json"))
        .replace("127.0.0.1:6543", "127.0.0.1:0")
        .replace("127.0.0.1:8500", "127.0.0.1:" + discovery.socket.getLocalPort());
  }

  /** Runs a task on a new daemon thread; an {@link IOException} ends it. */
  static void startThread(IoTask task) {
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

  /** Returns the next message, preceded by its type. */
  static String readMessage(DataInputStream in) throws IOException {
    char type = (char) in.readByte();
    byte[] body = new byte[in.readInt() - 4];
    in.readFully(body);
    return type + new String(body, StandardCharsets.ISO_8859_1);
  }

  private static byte[] row(String value, String tag) {
    ByteBuffer dataRow =
        ByteBuffer.allocate(Short.BYTES + Integer.BYTES + value.length())
            .putShort((short) 1)
            .putInt(value.length())
            .put(value.getBytes(StandardCharsets.ISO_8859_1));
    return concat(
        message('T', ServerMessages.ROW_DESCRIPTION_BODY),
        message('D', new String(dataRow.array(), StandardCharsets.ISO_8859_1)),
        message('C', tag + "\0"));
  }

  private static byte[] concat(byte[]... messages) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (byte[] message : messages) {
      bytes.writeBytes(message);
    }
    return bytes.toByteArray();
  }
}
