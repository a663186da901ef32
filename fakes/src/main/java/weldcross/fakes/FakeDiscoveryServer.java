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
 * Discovery as one gateway sees it: the list and its watch over HTTP/1.1, with addresses of its
 * own.
 */
public final class FakeDiscoveryServer implements AutoCloseable {

  private static final Pattern WATCH =
      Pattern.compile("GET /catalog/members\\?since=(-?\\d+)&timeout_ms=(\\d+) HTTP/1.1");

  private final FakeDiscoveryCatalog catalog;
  private final Function<String, String> address;
  private final ServerSocket socket;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  /**
   * @param address of each server, host and port, as this gateway reaches it
   */
  public FakeDiscoveryServer(
      FakeDiscoveryCatalog catalog, InetAddress at, Function<String, String> address)
      throws IOException {
    this.catalog = catalog;
    this.address = address;
    this.socket = new ServerSocket(0, 50, at);
    thread(
        () -> {
          while (true) {
            Socket connection = socket.accept();
            open.add(connection);
            thread(() -> serve(connection));
          }
        });
  }

  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  private static void thread(Step step) {
    Thread thread =
        new Thread(
            () -> {
              try {
                step.run();
              } catch (IOException | InterruptedException e) {
                // Its connection or this agent has ended.
              }
            },
            "discovery");
    thread.setDaemon(true);
    thread.start();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  private void serve(Socket connection) throws IOException, InterruptedException {
    try (connection) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      for (String asked = in.readLine(); asked != null; asked = in.readLine()) {
        for (String head = in.readLine(); head != null && !head.isEmpty(); ) {
          head = in.readLine();
        }
        Matcher watch = WATCH.matcher(asked);
        String body =
            watch.matches()
                ? catalog.after(
                    Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)), address)
                : catalog.whole(address);
        connection
            .getOutputStream()
            .write(
                ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                    .getBytes(StandardCharsets.US_ASCII));
      }
    } finally {
      open.remove(connection);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
    for (Socket each : open) {
      each.close();
    }
  }
}
