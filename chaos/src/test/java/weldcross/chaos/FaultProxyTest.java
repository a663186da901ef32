package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import weldcross.chaos.process.Await;
import weldcross.chaos.proxy.FaultProxy;
import weldcross.chaos.proxy.NetworkPath;
import weldcross.chaos.proxy.Route;

/**
 * Each network fault takes effect. A fault without effect would let chaos runs pass that tested
 * nothing.
 */
@Timeout(60)
class FaultProxyTest {

  private final InetAddress loopback = InetAddress.getLoopbackAddress();
  private FaultProxy proxy;
  private ServerSocket server;
  private Route route;
  private Socket client;
  private Socket accepted;

  @BeforeEach
  void connect() throws IOException {
    proxy = new FaultProxy(loopback, 1);
    server = new ServerSocket(0, 50, loopback);
    route = proxy.openRoute("a", "b", (InetSocketAddress) server.getLocalSocketAddress());
    client = new Socket(route.address().getAddress(), route.address().getPort());
    accepted = server.accept();
    assertDelivered(client, accepted, 1);
    assertDelivered(accepted, client, 2);
  }

  @AfterEach
  void closeAll() throws IOException {
    client.close();
    accepted.close();
    server.close();
    proxy.close();
  }

  private static void assertDelivered(Socket from, Socket to, int value) throws IOException {
    from.getOutputStream().write(value);
    to.setSoTimeout(5000);
    assertEquals(value, to.getInputStream().read());
  }

  private static void assertNotDelivered(Socket from, Socket to, int value) throws IOException {
    from.getOutputStream().write(value);
    to.setSoTimeout(150);
    assertThrows(SocketTimeoutException.class, () -> to.getInputStream().read());
  }

  @Test
  void stalledDirectionDeliversOnceOpen() throws IOException {
    proxy.setPath("a", "b", NetworkPath.OPEN.withStalled(true));
    assertNotDelivered(client, accepted, 7);
    assertDelivered(accepted, client, 8);
    Await.until("the byte is buffered", Duration.ofSeconds(5), () -> proxy.bytesBuffered() == 1);
    proxy.setPath("a", "b", NetworkPath.OPEN);
    accepted.setSoTimeout(5000);
    assertEquals(7, accepted.getInputStream().read());
  }

  @Test
  void cutDropsDataBlocksConnectsAndResetsOpenConnectionsAfterwards() throws IOException {
    proxy.setPath("a", "b", NetworkPath.OPEN.withCut(true));
    proxy.setPath("b", "a", NetworkPath.OPEN.withCut(true));
    assertNotDelivered(client, accepted, 7);
    assertNotDelivered(accepted, client, 8);
    assertTrue(proxy.bytesDropped() >= 2, "bytes dropped: " + proxy.bytesDropped());
    try (Socket socket = new Socket()) {
      assertThrows(SocketTimeoutException.class, () -> socket.connect(route.address(), 400));
    }
    proxy.setPath("a", "b", NetworkPath.OPEN);
    proxy.setPath("b", "a", NetworkPath.OPEN);
    client.setSoTimeout(5000);
    assertThrows(
        SocketException.class,
        () -> {
          while (client.getInputStream().read() >= 0) {
            // Reads until the connection is reset.
          }
        });
    try (Socket newClient = new Socket(route.address().getAddress(), route.address().getPort());
        Socket newAccepted = server.accept()) {
      assertDelivered(newClient, newAccepted, 9);
    }
  }

  /**
   * A lost chunk of a stream is delivered after a retransmission delay, and the chunks behind it
   * wait, so that the bytes stay in order.
   */
  @Test
  void lossDelaysStreamsInOrder() throws IOException {
    proxy.setPath("a", "b", NetworkPath.OPEN.withImpairment(Duration.ZERO, 1, 0, 0));
    long startNanos = System.nanoTime();
    assertDelivered(client, accepted, 7);
    long elapsedNanos = System.nanoTime() - startNanos;
    proxy.setPath("a", "b", NetworkPath.OPEN.withImpairment(Duration.ZERO, 0.5, 0, 0));
    for (int value = 0; value < 40; value++) {
      assertDelivered(client, accepted, value);
    }
    assertTrue(elapsedNanos >= 200_000_000L, "delivered after " + elapsedNanos / 1_000_000 + " ms");
  }

  /**
   * A child process inherits all descriptors between fork and exec, so a listener that the proxy
   * has closed may stay open there for a moment and block the address.
   */
  @Test
  void cutsWorkWhileProcessesAreStarted() throws Exception {
    AtomicBoolean finished = new AtomicBoolean();
    AtomicInteger started = new AtomicInteger();
    CompletableFuture<Void> starts =
        CompletableFuture.runAsync(
            () -> {
              try {
                while (!finished.get()) {
                  new ProcessBuilder("true").start().waitFor();
                  started.incrementAndGet();
                }
              } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
    try {
      // Repeats until enough processes were started concurrently, limited by the class timeout.
      for (int change = 0; change < 300 || started.get() <= 10; change++) {
        proxy.setPath("a", "b", NetworkPath.OPEN.withCut(change % 2 == 0));
      }
      proxy.setPath("a", "b", NetworkPath.OPEN);
    } finally {
      finished.set(true);
    }
    starts.get();
    assertTrue(started.get() > 10, "processes were started concurrently");
    try (Socket newClient = new Socket(route.address().getAddress(), route.address().getPort());
        Socket newAccepted = server.accept()) {
      assertDelivered(newClient, newAccepted, 9);
    }
  }

  /** A close is not forwarded while the path is cut: the other side sees an idle connection. */
  @Test
  void closeIsNotForwardedAcrossACut() throws IOException {
    proxy.setPath("a", "b", NetworkPath.OPEN.withCut(true));
    client.close();
    accepted.setSoTimeout(300);
    assertThrows(SocketTimeoutException.class, () -> accepted.getInputStream().read());
  }

  @Test
  void connectionsAreResetAndRefused() throws IOException {
    assertEquals(1, proxy.resetConnections("a", "b"));
    client.setSoTimeout(5000);
    assertThrows(SocketException.class, () -> client.getInputStream().read());
    proxy.refuseConnections("a", "b", true);
    try (Socket socket = new Socket()) {
      assertThrows(ConnectException.class, () -> socket.connect(route.address(), 1000));
    }
    proxy.refuseConnections("a", "b", false);
    try (Socket newClient = new Socket(route.address().getAddress(), route.address().getPort());
        Socket newAccepted = server.accept()) {
      assertDelivered(newClient, newAccepted, 9);
    }
  }

  /**
   * While the target does not listen, the proxy refuses connections as the target itself would, and
   * accepts them again once the target listens.
   */
  @Test
  void connectionsAreRefusedUntilTheTargetListens() throws IOException {
    int port = server.getLocalPort();
    server.close();
    Await.until(
        "connections are refused",
        Duration.ofSeconds(10),
        () -> {
          try (Socket socket = new Socket()) {
            socket.connect(route.address(), 1000);
            return false;
          } catch (ConnectException e) {
            return true;
          } catch (IOException e) {
            return false;
          }
        });
    server = new ServerSocket(port, 50, loopback);
    Await.until(
        "connections are accepted again",
        Duration.ofSeconds(10),
        () -> {
          try (Socket socket = new Socket()) {
            socket.connect(route.address(), 1000);
            return true;
          } catch (IOException e) {
            return false;
          }
        });
  }

  @Test
  void delayedBytesArriveLate() throws IOException {
    proxy.setPath("a", "b", NetworkPath.OPEN.withImpairment(Duration.ofMillis(120), 0, 0, 0));
    long startNanos = System.nanoTime();
    assertDelivered(client, accepted, 7);
    long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
    assertTrue(elapsedMillis >= 119, "delivered after " + elapsedMillis + " ms");
  }

  @Test
  void datagramsAreLostDuplicatedAndReordered() throws IOException {
    try (DatagramSocket receiver = new DatagramSocket(0, loopback);
        DatagramSocket sender = new DatagramSocket(0, loopback)) {
      InetSocketAddress address =
          proxy.openDatagramRoute("a", "b", (InetSocketAddress) receiver.getLocalSocketAddress());
      proxy.setPath("a", "b", NetworkPath.OPEN.withImpairment(Duration.ZERO, 0.3, 0.3, 0.3));
      int sent = 200;
      for (int value = 0; value < sent; value++) {
        sender.send(new DatagramPacket(new byte[] {(byte) value}, 1, address));
      }
      receiver.setSoTimeout(1000);
      int received = 0;
      int overtaken = 0;
      int highest = -1;
      try {
        while (true) {
          DatagramPacket packet = new DatagramPacket(new byte[10], 10);
          receiver.receive(packet);
          received++;
          int number = packet.getData()[0] & 0xff;
          overtaken += number < highest ? 1 : 0;
          highest = Math.max(highest, number);
        }
      } catch (SocketTimeoutException e) {
        // No more datagrams arrive.
      }
      assertEquals(sent - proxy.datagramsLost() + proxy.datagramsDuplicated(), received);
      assertTrue(
          proxy.datagramsLost() > 20 && proxy.datagramsDuplicated() > 20 && overtaken > 20,
          proxy.datagramsLost()
              + " lost, "
              + proxy.datagramsDuplicated()
              + " duplicated, "
              + overtaken
              + " overtaken");
    }
  }
}
