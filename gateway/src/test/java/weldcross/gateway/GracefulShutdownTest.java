package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.pgwire.MessageEncoder;

/** A stop, from its request to the last answer. */
class GracefulShutdownTest {

  @Test
  void stopAnswersOpenAndLateRequests() {
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

  /** Rule 1: an answer that is on its way is waited for. */
  @Test
  void stopWaitsWhileClientsReadTheirAnswers() {
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
          Gateway.Phase.DRAINING, harness.gateway.phase(), "an answer is still on its way");
      harness.slowReaders.remove(client);
      harness.completeWrites();
    }
    assertEquals(Gateway.Phase.STOPPED, harness.gateway.phase());
  }

  /** Rule 1: started now, it might still be open when the process is killed. */
  @Test
  void requestThatCrossesACloseInAStopIsToldToGoElsewhere() {
    GatewayHarness harness = GatewayHarness.serving();
    final long client = harness.connect();
    harness.dispatch(Gateway::stop);
    harness.advance(440);
    final String before = harness.request(harness.connect(), false, 2500);
    harness.readsDelayed = true;
    harness.advance(20);
    String crosses = harness.request(client, true, 2500);
    harness.finishReads();
    harness.readsDelayed = false;
    assertEquals("57P03", harness.history.answers.get(crosses));
    harness.answer(harness.connectionOf(before), null);
    assertEquals("ok", harness.history.answers.get(before));
    assertEquals(Gateway.Phase.STOPPED, harness.gateway.phase());
  }

  /** It is not reset at once, and not waited for long. */
  @Test
  void clientThatKeepsItsSideOpenIsDropped() {
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
  void clientThatNeverReadsDoesNotHoldUpAStop() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    harness.dispatch(g -> g.pipeline().emptyQueryReceived(client));
    harness.dispatch(Gateway::stop);
    harness.advance(3000);
    assertEquals(Gateway.Phase.STOPPED, harness.gateway.phase());
  }
}
