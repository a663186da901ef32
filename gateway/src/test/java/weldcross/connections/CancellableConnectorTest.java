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
 * Tests cancellation of connect attempts on loopback sockets, at the moments at which MINA's own
 * cancellation decrements its number of pending attempts twice.
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
  void startServer() throws IOException {
    minaConnector.setHandler(new IoHandlerAdapter());
    server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    Thread acceptor =
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
    acceptor.setDaemon(true);
    acceptor.start();
  }

  @AfterEach
  void stopServer() throws IOException {
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
   * Guards against a gateway that cannot connect any more: if MINA decrements its number of pending
   * attempts twice, its thread ends and leaves the next attempt pending.
   */
  @Test
  void cancelDuringSuccessDoesNotBlockLaterAttempts() throws InterruptedException {
    for (long round = 1; round <= 20; round++) {
      long number = round;
      connector.connect(
          number,
          address,
          session -> {
            assertFalse(connector.cancel(number), "cancelled although connected");
            connected.add(session);
          },
          failed::add);
      closeConnected("attempt " + number);
      connectAndClose(-number);
    }
  }

  /** The attempts are cancelled before or after their registration with the connector's thread. */
  @Test
  void immediateCancelDoesNotBlockLaterAttempts() throws InterruptedException {
    List<IoSession> cancelledButConnected = Collections.synchronizedList(new ArrayList<>());
    for (long number = 1; number <= 300; number++) {
      connector.connect(number, address, cancelledButConnected::add, failed::add);
      connector.cancel(number);
      assertFalse(connector.cancel(number), "cancelled twice");
      connectAndClose(-number);
    }
    assertEquals(List.of(), List.copyOf(failed));
    assertEquals(0, connector.pendingCount());
    synchronized (cancelledButConnected) {
      cancelledButConnected.forEach(IoSession::closeNow);
    }
  }

  /** An attempt that is not accepted stays pending until it is cancelled; others succeed. */
  @Test
  void pendingAttemptDoesNotDelayOthers() throws Exception {
    List<Socket> queued = new ArrayList<>();
    try (ServerSocket fullListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress fullAddress =
          new InetSocketAddress(fullListener.getInetAddress(), fullListener.getLocalPort());
      try {
        while (true) {
          Socket socket = new Socket();
          queued.add(socket);
          socket.connect(fullAddress, 200);
        }
      } catch (IOException e) {
        // The accept queue is full.
      }
      connector.connect(1, fullAddress, connected::add, failed::add);
      for (long number = 2; number < 10; number++) {
        connectAndClose(number);
      }
      assertEquals(1, connector.pendingCount());
      assertTrue(connector.cancel(1));
      assertEquals(0, connector.pendingCount());
      connectAndClose(10);
      assertEquals(List.of(), List.copyOf(failed));
    } finally {
      for (Socket socket : queued) {
        socket.close();
      }
    }
  }

  @Test
  void refusedAttemptIsReportedAndCannotBeCancelled() throws Exception {
    // The port is bound but not listening, so that no other process can use it during the test.
    try (Socket boundSocket = new Socket()) {
      boundSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      InetSocketAddress refusingAddress = (InetSocketAddress) boundSocket.getLocalSocketAddress();
      connector.connect(1, refusingAddress, connected::add, failed::add);
      assertNotNull(failed.poll(20, TimeUnit.SECONDS));
      assertFalse(connector.cancel(1));
    }
  }
}
