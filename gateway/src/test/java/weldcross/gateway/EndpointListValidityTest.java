package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.pgwire.MessageEncoder;

/** How long the gateway sends by an endpoint list, as discovery answers or fails. */
class EndpointListValidityTest {

  @Test
  void listStaysValidWhileDiscoveryIsSilentOrMalformed() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.discoveryAnswers = false;
    long first = harness.discovery;
    harness.advanceWithSilentDiscovery(5_500);
    assertFalse(first == harness.discovery, "dialled again after silence");
    long second = harness.discovery;
    byte[] nonsense = "{\"revision\":".getBytes(StandardCharsets.UTF_8);
    harness.dispatch(g -> g.discovery().responseReceived(second, 200, nonsense));
    assertTrue(harness.connections.get(second).dropped);
    harness.advance(300);
    long third = harness.discovery;
    harness.dispatch(g -> g.discovery().connected(third));
    harness.dispatch(g -> g.discovery().responseReceived(third, 503, nonsense));
    harness.advance(300);
    long fourth = harness.discovery;
    harness.dispatch(g -> g.discovery().connected(fourth));
    harness.dispatch(
        g -> g.discovery().responseReceived(fourth, 200, "{}".getBytes(StandardCharsets.UTF_8)));
    assertTrue(harness.connections.get(fourth).dropped, "an object without a list in it");
    String id = harness.request(harness.connect(), true, 500);
    harness.answer(harness.connectionOf(id), null);
    assertEquals("ok", harness.history.answers.get(id));
  }

  @Test
  void watchResumesAtItsRevisionAfterDiscoveryCloses() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.listEndpoints(41, true, "active");
    long before = harness.discovery;
    harness.dispatch(g -> g.discovery().closed(before));
    assertFalse(before == harness.discovery, "dialled again in the same moment");
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    assertTrue(harness.connections.get(harness.discovery).takeReceived().contains("?since=41&"));
  }

  /** Rule 3: the initial list may lack a drain. */
  @Test
  void initialListSendsNothingUntilDiscoveryAnswers() {
    GatewayHarness harness = new GatewayHarness();
    harness.onSent = server -> RequestHistory.check(!server.equals("s-1"), "rule 3: it drains");
    harness.advance(5);
    harness.answerHealthChecks();
    List<String> ids = new ArrayList<>();
    for (int k = 0; k < 20; k++) {
      ids.add(harness.request(harness.connect(), k % 5 == 0, 500));
    }
    assertTrue(harness.history.openAttempts.isEmpty(), "sent by a list that may be old");
    long client = harness.connect();
    harness.send(client, MessageEncoder.query(""));
    assertTrue(
        harness.connections.get(client).takeReceived().contains("C57P03"), "it is not ready");
    harness.advance(100);
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.listEndpoints(2, false, "leaving");
    for (int k = 0; k < 20; k++) {
      harness.busyConnections().forEach(l -> harness.answer(l, null));
      harness.advance(20);
    }
    assertTrue(
        ids.stream().allMatch(id -> "ok".equals(harness.history.answers.get(id))),
        "held until then: " + harness.history.answers);
    assertEquals(Gateway.Phase.SERVING, harness.gateway.phase());
  }

  /** Rule 3: a drain that should be listed by now counts as listed. */
  @Test
  void silentDiscoveryEndsTheListOnceADrainMayBeMissed() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.discoveryAnswers = false;
    harness.advanceWithSilentDiscovery(6_500);
    String id = harness.request(harness.connect(), false, 500);
    harness.answerHealthChecks();
    harness.busyConnections().forEach(l -> harness.answer(l, null));
    assertEquals("ok", harness.history.answers.get(id), "nothing can be owed yet");
    harness.advanceWithSilentDiscovery(1_500);
    id = harness.request(harness.connect(), false, 500);
    assertFalse(harness.history.openAttempts.containsKey(id));
    harness.advance(400);
    assertEquals("53300", harness.history.answers.get(id));
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.listEndpoints(3, true, "leaving");
    harness.advance(100);
    harness.answerHealthChecks();
    id = harness.request(harness.connect(), false, 500);
    harness.answerHealthChecks();
    harness.busyConnections().forEach(l -> harness.answer(l, null));
    assertEquals("ok", harness.history.answers.get(id));
  }

  /** Rule 3: where it cannot be asked either it may have what nobody could tell. */
  @Test
  void unreachableDiscoveryEndsTheList() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.discoveryAnswers = false;
    harness.advance(4_000);
    assertTrue(harness.gateway.discovery().isListValid());
    harness.advance(600);
    assertFalse(harness.gateway.discovery().isListValid());
  }

  /** Rule 3: a discovery that begins to answer has something to list. */
  @Test
  void partialDiscoveryAnswerIsNotSilence() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.discoveryAnswers = false;
    harness.advanceWithSilentDiscovery(2_600);
    long asked = harness.discovery;
    harness.dispatch(g -> g.discovery().responseStarted(asked));
    harness.advanceWithSilentDiscovery(3_500);
    assertFalse(harness.gateway.discovery().isListValid(), "a drain may have been listed by now");
  }

  /** Rule 3: the same after it was taken for down. */
  @Test
  void partialDiscoveryAnswerAfterSilenceEndsTheList() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.discoveryAnswers = false;
    harness.advanceWithSilentDiscovery(4_600);
    assertTrue(harness.gateway.discovery().isListValid(), "it is down");
    long asked = harness.discovery;
    harness.dispatch(g -> g.discovery().responseStarted(asked));
    harness.advance(2_100);
    assertFalse(harness.gateway.discovery().isListValid(), "a drain may have been listed by now");
  }

  /** Rule 3: an answer may be received and not read yet. */
  @Test
  void delayedReadsAreNotTakenForDiscoveryDown() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.discoveryAnswers = false;
    harness.advanceWithSilentDiscovery(2_600);
    harness.readsDelayed = true;
    harness.advanceWithSilentDiscovery(2_500);
    assertFalse(harness.gateway.discovery().isListValid(), "a drain may have been listed by now");
  }

  @Test
  void drainingServerGetsNoRequests() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.listEndpoints(42, false, "leaving");
    for (int k = 0; k < 20; k++) {
      String id = harness.request(harness.connect(), false, 500);
      assertFalse(harness.connections.get(harness.connectionOf(id)).server.equals("s-1"));
      harness.answer(harness.connectionOf(id), null);
    }
  }
}
