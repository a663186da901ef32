package weldcross.fakes;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fake discovery service for one gateway. Serves the endpoint list and long polls over HTTP/1.1,
 * with the addresses through which this gateway reaches the endpoints.
 */
public final class FakeDiscoveryServer implements AutoCloseable {

  private static final Pattern LONG_POLL =
      Pattern.compile("GET /catalog/members\\?since=(-?\\d+)&timeout_ms=(\\d+) HTTP/1.1");

  private static final int ACCEPT_BACKLOG = 50;

  private final FakeDiscoveryCatalog catalog;
  private final Function<String, String> addressOf;
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  /**
   * Starts a server on a free port.
   *
   * @param catalog the list to serve
   * @param host the address to listen on
   * @param addressOf returns host and port through which this gateway reaches an endpoint, by name
   * @throws IOException if it cannot listen there
   */
  public FakeDiscoveryServer(
      FakeDiscoveryCatalog catalog, InetAddress host, Function<String, String> addressOf)
      throws IOException {
    this.catalog = catalog;
    this.addressOf = addressOf;
    this.listener = new ServerSocket(0, ACCEPT_BACKLOG, host);
    startThread(this::acceptAll);
  }

  /** A task that ends when its connection or this server is closed. */
  @FunctionalInterface
  private interface ConnectionTask {
    void run() throws IOException, InterruptedException;
  }

  private static void startThread(ConnectionTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The connection or this server has been closed.
              }
            },
            "fake-discovery");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Returns the address on which this server listens.
   *
   * @return the address with the assigned port
   */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket connection = listener.accept();
      connections.add(connection);
      startThread(() -> serve(connection));
    }
  }

  private void serve(Socket connection) throws IOException, InterruptedException {
    try (connection) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        skipHeaders(in);
        byte[] response = response(body(line)).getBytes(StandardCharsets.US_ASCII);
        connection.getOutputStream().write(response);
      }
    } finally {
      connections.remove(connection);
    }
  }

  private static void skipHeaders(BufferedReader in) throws IOException {
    String header = in.readLine();
    while (header != null && !header.isEmpty()) {
      header = in.readLine();
    }
  }

  private String body(String requestLine) throws InterruptedException {
    Matcher longPoll = LONG_POLL.matcher(requestLine);
    if (!longPoll.matches()) {
      return catalog.snapshot(addressOf);
    }
    long since = Long.parseLong(longPoll.group(1));
    long timeoutMillis = Long.parseLong(longPoll.group(2));
    return catalog.awaitChangesSince(since, timeoutMillis, addressOf);
  }

  private static String response(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
