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

/** Each trouble between hosts really acts: one that does nothing would prove nothing. */
@Timeout(60)
class FaultProxyTest {

  private final InetAddress here = InetAddress.getLoopbackAddress();
  private FaultProxy proxy;
  private ServerSocket server;
  private Route route;
  private Socket near;
  private Socket far;

  @BeforeEach
  void connect() throws IOException {
    proxy = new FaultProxy(here, 1);
    server = new ServerSocket(0, 50, here);
    route = proxy.openRoute("a", "b", (InetSocketAddress) server.getLocalSocketAddress());
    near = new Socket(route.address().getAddress(), route.address().getPort());
    far = server.accept();
    passes(near, far, 1);
    passes(far, near, 2);
  }

  @AfterEach
  void end() throws IOException {
    near.close();
    far.close();
    server.close();
    proxy.close();
  }

  private static void passes(Socket from, Socket to, int value) throws IOException {
    from.getOutputStream().write(value);
    to.setSoTimeout(5000);
    assertEquals(value, to.getInputStream().read());
  }

  private static void doesNotPass(Socket from, Socket to, int value) throws IOException {
    from.getOutputStream().write(value);
    to.setSoTimeout(150);
    assertThrows(SocketTimeoutException.class, () -> to.getInputStream().read());
  }

  @Test
  void heldDirectionDeliversOnceOpen() throws IOException {
    proxy.setPath("a", "b", NetworkPath.OPEN.withHeld(true));
    doesNotPass(near, far, 7);
    passes(far, near, 8);
    Await.until("held", Duration.ofSeconds(5), () -> proxy.bytesBuffered() == 1);
    proxy.setPath("a", "b", NetworkPath.OPEN);
    far.setSoTimeout(5000);
    assertEquals(7, far.getInputStream().read());
  }

  @Test
  void cutIsSilentConnectsNobodyAndResetsSurvivors() throws IOException {
    proxy.setPath("a", "b", NetworkPath.OPEN.withCut(true));
    proxy.setPath("b", "a", NetworkPath.OPEN.withCut(true));
    doesNotPass(near, far, 7);
    doesNotPass(far, near, 8);
    assertTrue(proxy.bytesDropped() >= 2, "vanished: " + proxy.bytesDropped());
    try (Socket dial = new Socket()) {
      assertThrows(SocketTimeoutException.class, () -> dial.connect(route.address(), 400));
    }
    proxy.setPath("a", "b", NetworkPath.OPEN);
    proxy.setPath("b", "a", NetworkPath.OPEN);
    near.setSoTimeout(5000);
    assertThrows(
        SocketException.class,
        () -> {
          while (near.getInputStream().read() >= 0) {
            // Reads to the end.
          }
        });
    try (Socket again = new Socket(route.address().getAddress(), route.address().getPort());
        Socket taken = server.accept()) {
      passes(again, taken, 9);
    }
  }

  /**
   * A piece that is lost comes a retransmission later, and what was sent after it waits: nothing is
   * out of order.
   */
  @Test
  void lossDelaysStreamsInOrder() throws IOException {
    proxy.setPath("a", "b", NetworkPath.OPEN.withImpairment(Duration.ZERO, 1, 0, 0));
    long from = System.nanoTime();
    passes(near, far, 7);
    long late = System.nanoTime() - from;
    proxy.setPath("a", "b", NetworkPath.OPEN.withImpairment(Duration.ZERO, 0.5, 0, 0));
    for (int k = 0; k < 40; k++) {
      passes(near, far, k);
    }
    assertTrue(late >= 200_000_000L, "it came after " + late / 1_000_000 + " ms");
  }

  /**
   * A process being started has a copy of every descriptor for a moment: what was closed listens on
   * in it.
   */
  @Test
  void cutsWorkWhileProcessesAreStarted() throws Exception {
    AtomicBoolean over = new AtomicBoolean();
    AtomicInteger started = new AtomicInteger();
    CompletableFuture<Void> starts =
        CompletableFuture.runAsync(
            () -> {
              try {
                while (!over.get()) {
                  new ProcessBuilder("true").start().waitFor();
                  started.incrementAndGet();
                }
              } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
    try {
      // Goes on until enough processes were started meanwhile; the class's timeout bounds it.
      for (int change = 0; change < 300 || started.get() <= 10; change++) {
        proxy.setPath("a", "b", NetworkPath.OPEN.withCut(change % 2 == 0));
      }
      proxy.setPath("a", "b", NetworkPath.OPEN);
    } finally {
      over.set(true);
    }
    starts.get();
    assertTrue(started.get() > 10, "processes were started meanwhile");
    try (Socket again = new Socket(route.address().getAddress(), route.address().getPort());
        Socket taken = server.accept()) {
      passes(again, taken, 9);
    }
  }

  /** An end is not told while the way is cut: the other side sees an open, silent connection. */
  @Test
  void closeDoesNotCrossACut() throws IOException {
    proxy.setPath("a", "b", NetworkPath.OPEN.withCut(true));
    near.close();
    far.setSoTimeout(300);
    assertThrows(SocketTimeoutException.class, () -> far.getInputStream().read());
  }

  @Test
  void connectionsAreResetAndRefused() throws IOException {
    assertEquals(1, proxy.resetConnections("a", "b"));
    near.setSoTimeout(5000);
    assertThrows(SocketException.class, () -> near.getInputStream().read());
    proxy.refuseConnections("a", "b", true);
    try (Socket dial = new Socket()) {
      assertThrows(ConnectException.class, () -> dial.connect(route.address(), 1000));
    }
    proxy.refuseConnections("a", "b", false);
    try (Socket again = new Socket(route.address().getAddress(), route.address().getPort());
        Socket taken = server.accept()) {
      passes(again, taken, 9);
    }
  }

  /**
   * Where nobody listens any more dials are refused, as without a proxy, and taken again once
   * somebody does.
   */
  @Test
  void connectionsAreRefusedUntilTheTargetListens() throws IOException {
    int port = server.getLocalPort();
    server.close();
    Await.until(
        "refused",
        Duration.ofSeconds(10),
        () -> {
          try (Socket dial = new Socket()) {
            dial.connect(route.address(), 1000);
            return false;
          } catch (ConnectException e) {
            return true;
          } catch (IOException e) {
            return false;
          }
        });
    server = new ServerSocket(port, 50, here);
    Await.until(
        "taken again",
        Duration.ofSeconds(10),
        () -> {
          try (Socket dial = new Socket()) {
            dial.connect(route.address(), 1000);
            return true;
          } catch (IOException e) {
            return false;
          }
        });
  }

  @Test
  void delayedBytesArriveLate() throws IOException {
    proxy.setPath("a", "b", NetworkPath.OPEN.withImpairment(Duration.ofMillis(120), 0, 0, 0));
    long began = System.nanoTime();
    passes(near, far, 7);
    long took = (System.nanoTime() - began) / 1_000_000;
    assertTrue(took >= 119, took + " ms");
  }

  @Test
  void datagramsAreLostRepeatedAndReordered() throws IOException {
    try (DatagramSocket to = new DatagramSocket(0, here);
        DatagramSocket from = new DatagramSocket(0, here)) {
      InetSocketAddress way =
          proxy.openDatagramRoute("a", "b", (InetSocketAddress) to.getLocalSocketAddress());
      proxy.setPath("a", "b", NetworkPath.OPEN.withImpairment(Duration.ZERO, 0.3, 0.3, 0.3));
      int sent = 200;
      for (int k = 0; k < sent; k++) {
        from.send(new DatagramPacket(new byte[] {(byte) k}, 1, way));
      }
      to.setSoTimeout(1000);
      int came = 0;
      int overtaken = 0;
      int last = -1;
      try {
        while (true) {
          DatagramPacket packet = new DatagramPacket(new byte[10], 10);
          to.receive(packet);
          came++;
          int number = packet.getData()[0] & 0xff;
          overtaken += number < last ? 1 : 0;
          last = Math.max(last, number);
        }
      } catch (SocketTimeoutException e) {
        // All that comes has come.
      }
      assertEquals(sent - proxy.datagramsLost() + proxy.datagramsRepeated(), came);
      assertTrue(
          proxy.datagramsLost() > 20 && proxy.datagramsRepeated() > 20 && overtaken > 20,
          proxy.datagramsLost()
              + " lost, "
              + proxy.datagramsRepeated()
              + " repeated, "
              + overtaken);
    }
  }
}
