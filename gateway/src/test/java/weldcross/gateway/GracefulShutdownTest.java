package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.pgwire.MessageEncoder;

/** Graceful shutdown, from its request to the last response. */
class GracefulShutdownTest {

  @Test
  void shutdownServesOpenAndLateRequests() {
    GatewayHarness harness = GatewayHarness.serving();
    long busy = harness.connect();
    long idle = harness.connect();
    final String early = harness.request(busy, false, 2000);
    harness.dispatch(Gateway::stop);
    harness.advance(300);
    harness.send(idle, MessageEncoder.query(""));
    assertTrue(harness.connections.get(idle).takeReceived().contains("C57P03"), "no longer ready");
    final String late = harness.request(harness.connect(), false, 2000);
    harness.advance(100);
    assertTrue(harness.listening);
    harness.advance(100);
    assertFalse(harness.listening);
    assertTrue(harness.connections.get(idle).dropped);
    assertEquals(Gateway.Phase.DRAINING, harness.gateway.phase());
    List<String> lines =
        GatewayHarness.logged(
            () -> {
              for (String id : List.of(early, late)) {
                harness.answer(harness.connectionOf(id), null);
                assertEquals("ok", harness.history.answers.get(id));
              }
            });
    assertEquals(Gateway.Phase.STOPPED, harness.gateway.phase());
    assertTrue(lines.get(0).startsWith("stopped: 2 accepted, 2 ok, 0 rejected"), lines.toString());
  }

  /** Responses that clients are still reading must not be lost. */
  @Test
  void shutdownWaitsWhileClientsReadTheirResponses() {
    GatewayHarness harness = GatewayHarness.serving();
    List<Long> clients = List.of(harness.connect(), harness.connect(), harness.connect());
    harness.slowReaders.addAll(clients);
    List<String> ids = clients.stream().map(c -> harness.request(c, false, 2500)).toList();
    harness.dispatch(Gateway::stop);
    harness.advance(1000);
    ids.forEach(id -> harness.answer(harness.connectionOf(id), null));
    for (long client : clients) {
      harness.advance(400);
      assertEquals(
          Gateway.Phase.DRAINING, harness.gateway.phase(), "a response is still being read");
      harness.slowReaders.remove(client);
      harness.completeWrites();
    }
    assertEquals(Gateway.Phase.STOPPED, harness.gateway.phase());
  }

  /** If the request were started, it might still be unanswered when the process is killed. */
  @Test
  void requestThatArrivesAfterTheGracePeriodIsRejected() {
    GatewayHarness harness = GatewayHarness.serving();
    final long client = harness.connect();
    harness.dispatch(Gateway::stop);
    harness.advance(440);
    final String early = harness.request(harness.connect(), false, 2500);
    harness.readsDelayed = true;
    harness.advance(20);
    String late = harness.request(client, true, 2500);
    harness.completePendingReads();
    harness.readsDelayed = false;
    assertEquals("57P03", harness.history.answers.get(late));
    harness.answer(harness.connectionOf(early), null);
    assertEquals("ok", harness.history.answers.get(early));
    assertEquals(Gateway.Phase.STOPPED, harness.gateway.phase());
  }

  /** Such a client has time to read its last response, but does not delay shutdown further. */
  @Test
  void clientThatDoesNotCloseItsSideIsDisconnectedAfterTheLingerTime() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.clientsKeepOpen = true;
    final long idle = harness.connect();
    harness.dispatch(Gateway::stop);
    harness.advance(460);
    assertEquals(Gateway.Phase.DRAINING, harness.gateway.phase());
    assertFalse(harness.droppedConnections.contains(idle));
    harness.advance(250);
    assertTrue(harness.droppedConnections.contains(idle));
    assertEquals(Gateway.Phase.STOPPED, harness.gateway.phase());
  }

  @Test
  void clientThatNeverReadsDoesNotPreventShutdown() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    harness.dispatch(g -> g.pipeline().emptyQueryReceived(client));
    harness.dispatch(Gateway::stop);
    harness.advance(3000);
    assertEquals(Gateway.Phase.STOPPED, harness.gateway.phase());
  }
}
