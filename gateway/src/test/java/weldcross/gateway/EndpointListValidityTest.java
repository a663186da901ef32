package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.pgwire.MessageEncoder;

/** Tests how long the gateway uses an endpoint list while discovery responds or fails. */
class EndpointListValidityTest {

  @Test
  void listStaysValidWhileDiscoveryIsUnresponsiveOrInvalid() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.discoveryAnswers = false;
    long first = harness.discovery;
    harness.advanceWithSilentDiscovery(5_500);
    assertFalse(first == harness.discovery, "reconnected after the response timed out");
    long second = harness.discovery;
    byte[] invalid = "{\"revision\":".getBytes(StandardCharsets.UTF_8);
    harness.dispatch(g -> g.discovery().responseReceived(second, 200, invalid));
    assertTrue(harness.connections.get(second).dropped);
    harness.advance(300);
    long third = harness.discovery;
    harness.dispatch(g -> g.discovery().connected(third));
    harness.dispatch(g -> g.discovery().responseReceived(third, 503, invalid));
    harness.advance(300);
    long fourth = harness.discovery;
    harness.dispatch(g -> g.discovery().connected(fourth));
    harness.dispatch(
        g -> g.discovery().responseReceived(fourth, 200, "{}".getBytes(StandardCharsets.UTF_8)));
    assertTrue(harness.connections.get(fourth).dropped, "closed after an object without a list");
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
    assertFalse(before == harness.discovery, "reconnected immediately");
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    assertTrue(harness.connections.get(harness.discovery).takeReceived().contains("?since=41&"));
  }

  /** The list of the previous run may lack a drain. */
  @Test
  void nothingIsSentByInitialListUntilDiscoveryResponds() {
    GatewayHarness harness = new GatewayHarness();
    harness.onSent =
        server -> RequestHistory.check(!server.equals("s-1"), "request sent to a draining server");
    harness.advance(5);
    harness.answerHealthChecks();
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      ids.add(harness.request(harness.connect(), i % 5 == 0, 500));
    }
    assertTrue(
        harness.history.openAttempts.isEmpty(), "request sent by a list that may be outdated");
    long client = harness.connect();
    harness.send(client, MessageEncoder.query(""));
    assertTrue(
        harness.connections.get(client).takeReceived().contains("C57P03"), "reported as not ready");
    harness.advance(100);
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.listEndpoints(2, false, "leaving");
    for (int i = 0; i < 20; i++) {
      harness.busyConnections().forEach(number -> harness.answer(number, null));
      harness.advance(20);
    }
    assertTrue(
        ids.stream().allMatch(id -> "ok".equals(harness.history.answers.get(id))),
        "requests wait for the response: " + harness.history.answers);
    assertEquals(Gateway.Phase.SERVING, harness.gateway.phase());
  }

  /** A drain that discovery should have sent by now is considered delivered. */
  @Test
  void unresponsiveDiscoveryInvalidatesListOnceDrainMayBeMissed() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.discoveryAnswers = false;
    harness.advanceWithSilentDiscovery(6_500);
    String id = harness.request(harness.connect(), false, 500);
    harness.answerHealthChecks();
    harness.busyConnections().forEach(number -> harness.answer(number, null));
    assertEquals("ok", harness.history.answers.get(id), "no drain can have been missed yet");
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
    harness.busyConnections().forEach(number -> harness.answer(number, null));
    assertEquals("ok", harness.history.answers.get(id));
  }

  /** Discovery may have changes that it cannot send while the gateway cannot connect to it. */
  @Test
  void unreachableDiscoveryInvalidatesList() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.discoveryAnswers = false;
    harness.advance(4_000);
    assertTrue(harness.gateway.discovery().isListValid());
    harness.advance(600);
    assertFalse(harness.gateway.discovery().isListValid());
  }

  /** A partial response shows that discovery has a change. */
  @Test
  void partialResponseInvalidatesListAfterGracePeriod() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.discoveryAnswers = false;
    harness.advanceWithSilentDiscovery(2_600);
    long connection = harness.discovery;
    harness.dispatch(g -> g.discovery().responseStarted(connection));
    harness.advanceWithSilentDiscovery(3_500);
    assertFalse(
        harness.gateway.discovery().isListValid(), "a drain may have been delivered by now");
  }

  /** A partial response shows that discovery has a change, also after it was considered down. */
  @Test
  void partialResponseAfterDiscoveryWasDownInvalidatesList() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.discoveryAnswers = false;
    harness.advanceWithSilentDiscovery(4_600);
    assertTrue(harness.gateway.discovery().isListValid(), "discovery is considered down");
    long connection = harness.discovery;
    harness.dispatch(g -> g.discovery().responseStarted(connection));
    harness.advance(2_100);
    assertFalse(
        harness.gateway.discovery().isListValid(), "a drain may have been delivered by now");
  }

  /** A response may have arrived without having been read yet. */
  @Test
  void delayedReadsDoNotCountAsDiscoveryDown() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.discoveryAnswers = false;
    harness.advanceWithSilentDiscovery(2_600);
    harness.readsDelayed = true;
    harness.advanceWithSilentDiscovery(2_500);
    assertFalse(
        harness.gateway.discovery().isListValid(), "a drain may have been delivered by now");
  }

  @Test
  void drainingServerGetsNoRequests() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.listEndpoints(42, false, "leaving");
    for (int i = 0; i < 20; i++) {
      String id = harness.request(harness.connect(), false, 500);
      assertFalse(harness.connections.get(harness.connectionOf(id)).server.equals("s-1"));
      harness.answer(harness.connectionOf(id), null);
    }
  }
}
