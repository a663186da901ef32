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
 * Dials over loopback sockets, given up in the instants in which something is owed to the next
 * ones.
 */
@Timeout(60)
class CancellableConnectorTest {

  private final NioSocketConnector connector = new NioSocketConnector(1);
  private final CancellableConnector dials = new CancellableConnector(connector);
  private final LinkedBlockingQueue<IoSession> up = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<Throwable> failed = new LinkedBlockingQueue<>();
  private ServerSocket server;
  private InetSocketAddress at;

  @BeforeEach
  void listen() throws IOException {
    connector.setHandler(new IoHandlerAdapter());
    server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    at = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
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
    connector.dispose();
  }

  private void comesUpAndEnds(long number) throws InterruptedException {
    dials.dial(number, at, up::add, failed::add);
    endWhatIsUp("dial " + number);
  }

  private void endWhatIsUp(String which) throws InterruptedException {
    IoSession session = up.poll(20, TimeUnit.SECONDS);
    assertNotNull(session, which + " did not come up, failed " + failed);
    session.closeNow();
  }

  /**
   * Found as gateways that stood still: counted off twice, the next dial was left by the dialling
   * thread.
   */
  @Test
  void dialGivenUpAsItComesUpLeavesNoOtherBehind() throws InterruptedException {
    for (long k = 1; k <= 20; k++) {
      long number = k;
      dials.dial(
          number,
          at,
          session -> {
            assertFalse(dials.giveUp(number), "it is up");
            up.add(session);
          },
          failed::add);
      endWhatIsUp("dial " + k);
      comesUpAndEnds(-k);
    }
  }

  /** Given up on its way, before the dialling thread has taken it up or after. */
  @Test
  void dialsGivenUpAtOnceLeaveTheNextItsWay() throws InterruptedException {
    List<IoSession> crossed = Collections.synchronizedList(new ArrayList<>());
    for (long k = 1; k <= 300; k++) {
      dials.dial(k, at, crossed::add, failed::add);
      dials.giveUp(k);
      assertFalse(dials.giveUp(k), "once");
      comesUpAndEnds(-k);
    }
    assertEquals(List.of(), List.copyOf(failed));
    assertEquals(0, dials.underWay());
    synchronized (crossed) {
      crossed.forEach(IoSession::closeNow);
    }
  }

  /** What no server takes up stays under way until it is given up; others come up meanwhile. */
  @Test
  void dialThatHangsHoldsUpNoOther() throws Exception {
    List<Socket> queued = new ArrayList<>();
    try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress there = new InetSocketAddress(deaf.getInetAddress(), deaf.getLocalPort());
      try {
        while (true) {
          Socket next = new Socket();
          queued.add(next);
          next.connect(there, 200);
        }
      } catch (IOException e) {
        // Its queue is full.
      }
      dials.dial(1, there, up::add, failed::add);
      for (long k = 2; k < 10; k++) {
        comesUpAndEnds(k);
      }
      assertEquals(1, dials.underWay());
      assertTrue(dials.giveUp(1));
      assertEquals(0, dials.underWay());
      comesUpAndEnds(10);
      assertEquals(List.of(), List.copyOf(failed));
    } finally {
      for (Socket each : queued) {
        each.close();
      }
    }
  }

  @Test
  void refusedDialIsToldAndCannotBeGivenUp() throws Exception {
    server.close();
    dials.dial(1, at, up::add, failed::add);
    assertNotNull(failed.poll(20, TimeUnit.SECONDS));
    assertFalse(dials.giveUp(1));
  }
}
