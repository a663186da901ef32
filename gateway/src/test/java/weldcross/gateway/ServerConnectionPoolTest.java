package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Connections to servers: reuse, ends and failures. */
class ServerConnectionPoolTest {

  @Test
  void bytesBehindAnAnswerCloseItsConnectionBeforeReuse() {
    GatewayHarness harness = GatewayHarness.serving();
    String first = harness.request(harness.connect(), true, 900);
    long connection = harness.connectionOf(first);
    harness.answer(connection, null);
    String second = harness.request(harness.connect(), true, 900);
    assertFalse(
        connection == harness.connectionOf(second),
        "too soon to tell whether more comes behind the answer");
    harness.serverSends(
        harness.connections.get(connection),
        ByteBuffer.wrap(ServerMessages.message('T', ServerMessages.COLUMNS)));
    assertTrue(harness.connections.get(connection).dropped);
    harness.answer(harness.connectionOf(second), null);
    harness.advance(10);
    assertTrue(
        harness.connections.get(harness.connectionOf(harness.request(harness.connect(), true, 900)))
            .open);
  }

  @Test
  void connectionThatOpensAfterItWasGivenUpIsClosed() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.unreachable.add("s-0");
    harness.connections.values().stream()
        .filter(x -> "s-0".equals(x.server))
        .forEach(x -> x.open = false);
    List.copyOf(harness.connections.keySet()).stream()
        .filter(n -> n < 0 && "s-0".equals(harness.connections.get(n).server))
        .forEach(harness::closeByServer);
    long client = harness.connect();
    harness.request(client, true, 900);
    long connection = harness.connections.keySet().stream().min(Long::compare).orElseThrow();
    harness.disconnect(client);
    harness.connections.get(connection).dropped = false;
    harness.dispatch(g -> g.serverConnections().connected(connection));
    assertTrue(harness.connections.get(connection).dropped);
  }

  @Test
  void errorBeforeTheWelcomeMeansNotSent() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.unreachable.add("s-0");
    List.copyOf(harness.connections.keySet()).stream()
        .filter(n -> n < 0 && "s-0".equals(harness.connections.get(n).server))
        .forEach(harness::closeByServer);
    harness.history.writes.add("a0");
    final String id = harness.request(harness.connect(), true, 900);
    long connection = harness.connections.keySet().stream().min(Long::compare).orElseThrow();
    harness.serverSends(
        harness.connections.get(connection),
        ByteBuffer.wrap(ServerMessages.message('E', "SFATAL\0C57P03\0\0")));
    harness.closeByServer(connection);
    harness.advance(900);
    assertEquals("53300", harness.history.answers.get(id), "it may not be said to have run");
  }

  @Test
  void movedServerIsConnectedAtItsNewAddress() {
    GatewayHarness harness = GatewayHarness.serving();
    String id = harness.request(harness.connect(), true, 500);
    long before = harness.connectionOf(id);
    harness.answer(before, null);
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    String text =
        "{\"revision\":8,\"complete\":false,\"members\":["
            + TestConfig.member(0, "active").replace("7000", "7008")
            + "]}";
    harness.dispatch(
        g ->
            g.discovery()
                .responseReceived(harness.discovery, 200, text.getBytes(StandardCharsets.UTF_8)));
    harness.completeWrites();
    assertTrue(harness.connections.get(before).dropped);
    assertEquals(
        "s-8",
        harness.connections.get(harness.connectionOf(harness.request(harness.connect(), true, 500)))
            .server);
  }

  @Test
  void mostRecentlyUsedConnectionIsReused() {
    GatewayHarness harness = GatewayHarness.serving();
    Set<Long> used = new HashSet<>();
    for (int k = 0; k < 30; k++) {
      String id = harness.request(harness.connect(), true, 500);
      used.add(harness.connectionOf(id));
      harness.answer(harness.connectionOf(id), null);
      harness.advance(5);
    }
    assertEquals(1, used.size());
  }

  /** Connections idle for 0.1 s are lost; the pool learns not to use such. */
  @Test
  void idleTimeThatLosesConnectionsIsLearned() {
    GatewayHarness harness = GatewayHarness.serving();
    int lost = 0;
    for (int k = 0; k < 60; k++) {
      String id = harness.request(harness.connect(), false, 900);
      harness.answerHealthChecks();
      long connection = harness.connectionOf(id);
      Duration idled = harness.idleBefore.get(connection);
      if (idled != null && idled.compareTo(Duration.ofMillis(100)) > 0) {
        lost++;
        harness.closeByServer(connection);
        harness.answerHealthChecks();
        connection = harness.connectionOf(id);
      }
      harness.answer(connection, null);
      assertEquals("ok", harness.history.answers.get(id));
      harness.advance(130);
    }
    assertTrue(lost > 1 && lost < 12, "lost " + lost);
    assertNoEndpointEjectedOrWarmingUp(harness);
    long open =
        harness.connections.entrySet().stream()
            .filter(e -> e.getKey() < 0 && e.getValue().open)
            .count();
    assertTrue(open < 9, "those given up are ended: " + open);
  }

  /** A process was there, and nothing ran. */
  @Test
  void resetOnConnectDoesNotEjectTheServer() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.unreachable.add("s-0");
    List.copyOf(harness.connections.keySet()).stream()
        .filter(n -> n < 0 && "s-0".equals(harness.connections.get(n).server))
        .forEach(harness::closeByServer);
    final String id = harness.request(harness.connect(), true, 900);
    long connection = harness.connections.keySet().stream().min(Long::compare).orElseThrow();
    harness.unreachable.clear();
    harness.dispatch(g -> g.serverConnections().connectionReset(connection));
    assertNoEndpointEjectedOrWarmingUp(harness);
    harness.advance(30);
    harness.answer(harness.connectionOf(id), null);
    assertEquals("ok", harness.history.answers.get(id), "asked again, as nothing ran");
  }

  @Test
  void idleConnectionIsClosedBeforeItsServerClosesIt() {
    GatewayHarness harness = GatewayHarness.serving();
    String id = harness.request(harness.connect(), true, 500);
    long connection = harness.connectionOf(id);
    harness.answer(connection, null);
    harness.advance(26_000);
    assertFalse(harness.connections.get(connection).dropped);
    harness.advance(3_000);
    assertTrue(harness.connections.get(connection).dropped, "idle for 29 of 30 s");
  }

  @Test
  void serverWithoutWelcomeIsReportedUnreachable() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.unreachable.addAll(List.of("s-1", "s-2"));
    harness.busyConnections().forEach(harness::closeByServer);
    List.copyOf(harness.connections.keySet()).stream()
        .filter(n -> n < 0 && n != harness.discovery && harness.connections.get(n).open)
        .forEach(harness::closeByServer);
    final String id = harness.request(harness.connect(), false, 2000);
    harness.advance(300);
    harness.answerHealthChecks();
    harness.advance(600);
    assertTrue(
        harness.calls.stream().anyMatch(t -> t.startsWith("tell 7947 s-")),
        "no gossip was sent: " + harness.calls);
    harness.busyConnections().forEach(l -> harness.answer(l, null));
    assertEquals("ok", harness.history.answers.get(id));
  }

  @Test
  void delayedReadsAreNotTakenForSilentServers() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.unreachable.add("s-0");
    List.copyOf(harness.connections.keySet()).stream()
        .filter(n -> n < 0 && "s-0".equals(harness.connections.get(n).server))
        .forEach(harness::closeByServer);
    final String id = harness.request(harness.connect(), true, 2000);
    long connection = harness.connections.keySet().stream().min(Long::compare).orElseThrow();
    harness.readsDelayed = true;
    harness.advance(300);
    assertFalse(harness.connections.get(connection).dropped, "what came in has not been read");
    harness.connections.get(connection).open = true;
    harness.dispatch(g -> g.serverConnections().connected(connection));
    harness.answer(connection, null);
    assertEquals("ok", harness.history.answers.get(id));
    harness.request(harness.connect(), true, 2000);
    harness.advance(400);
    long other = harness.connections.keySet().stream().min(Long::compare).orElseThrow();
    harness.dispatch(g -> g.serverConnections().pendingReadsDone(other));
    assertTrue(harness.connections.get(other).dropped, "all was read, and it said nothing");
  }

  /** Whole words are looked for, as the totals of the state name rejected requests. */
  private static void assertNoEndpointEjectedOrWarmingUp(GatewayHarness harness) {
    String state = harness.gateway.describe();
    assertFalse(Pattern.compile("\\b(warming-up|ejected)\\b").matcher(state).find(), state);
  }
}
