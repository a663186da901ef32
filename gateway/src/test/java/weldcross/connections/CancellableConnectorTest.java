package weldcross.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Attempts over loopback sockets that are cancelled at the moments at which MINA miscounts them.
 */
@Timeout(60)
class CancellableConnectorTest {

  private final NioSocketConnector minaConnector = new NioSocketConnector(1);
  private final CancellableConnector connector = new CancellableConnector(minaConnector);
  private final LinkedBlockingQueue<IoSession> connected = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<Throwable> failed = new LinkedBlockingQueue<>();
  private ServerSocket server;
  private InetSocketAddress address;

  @BeforeEach
  void listen() throws IOException {
    minaConnector.setHandler(new IoHandlerAdapter());
    server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    Thread accepting =
        new Thread(
            () -> {
              try {
                while (true) {
                  server.accept().close();
                }
              } catch (IOException e) {
                // Closed at the end of the test.
              }
            });
    accepting.setDaemon(true);
    accepting.start();
  }

  @AfterEach
  void end() throws IOException {
    server.close();
    minaConnector.dispose();
  }

  private void connectAndClose(long number) throws InterruptedException {
    connector.connect(number, address, connected::add, failed::add);
    closeConnected("attempt " + number);
  }

  private void closeConnected(String attempt) throws InterruptedException {
    IoSession session = connected.poll(20, TimeUnit.SECONDS);
    assertNotNull(session, attempt + " did not connect, failed " + failed);
    session.closeNow();
  }

  /**
   * An attempt that MINA counts off twice makes its thread leave the next one: the gateway stalls.
   */
  @Test
  void cancelWhileConnectingSucceedsKeepsLaterAttemptsWorking() throws InterruptedException {
    for (long k = 1; k <= 20; k++) {
      long number = k;
      connector.connect(
          number,
          address,
          session -> {
            assertFalse(connector.cancel(number), "it is connected");
            connected.add(session);
          },
          failed::add);
      closeConnected("attempt " + k);
      connectAndClose(-k);
    }
  }

  /** Cancelled before or after its registration with the connector thread. */
  @Test
  void cancelAtOnceKeepsLaterAttemptsWorking() throws InterruptedException {
    List<IoSession> cancelledButConnected = Collections.synchronizedList(new ArrayList<>());
    for (long k = 1; k <= 300; k++) {
      connector.connect(k, address, cancelledButConnected::add, failed::add);
      connector.cancel(k);
      assertFalse(connector.cancel(k), "cancelled already");
      connectAndClose(-k);
    }
    assertEquals(List.of(), List.copyOf(failed));
    assertEquals(0, connector.pendingCount());
    synchronized (cancelledButConnected) {
      cancelledButConnected.forEach(IoSession::closeNow);
    }
  }

  /** An attempt that nobody accepts stays pending until it is cancelled; others succeed. */
  @Test
  void hangingAttemptDoesNotDelayOthers() throws Exception {
    List<Socket> queued = new ArrayList<>();
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress fullAddress =
          new InetSocketAddress(full.getInetAddress(), full.getLocalPort());
      try {
        while (true) {
          Socket next = new Socket();
          queued.add(next);
          next.connect(fullAddress, 200);
        }
      } catch (IOException e) {
        // The backlog is full.
      }
      connector.connect(1, fullAddress, connected::add, failed::add);
      for (long k = 2; k < 10; k++) {
        connectAndClose(k);
      }
      assertEquals(1, connector.pendingCount());
      assertTrue(connector.cancel(1));
      assertEquals(0, connector.pendingCount());
      connectAndClose(10);
      assertEquals(List.of(), List.copyOf(failed));
    } finally {
      for (Socket each : queued) {
        each.close();
      }
    }
  }

  @Test
  void refusedAttemptIsReportedAndCannotBeCancelled() throws Exception {
    // Bound and not listening: refused for sure, as no other process can take the port meanwhile.
    try (Socket reserved = new Socket()) {
      reserved.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      InetSocketAddress refusing = (InetSocketAddress) reserved.getLocalSocketAddress();
      connector.connect(1, refusing, connected::add, failed::add);
      assertNotNull(failed.poll(20, TimeUnit.SECONDS));
      assertFalse(connector.cancel(1));
    }
  }
}
