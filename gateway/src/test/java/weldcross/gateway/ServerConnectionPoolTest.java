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

/** Tests reuse, timeouts and failures of connections to servers. */
class ServerConnectionPoolTest {

  /** SQLSTATE with which the gateway rejects a request; it proves that no server executed it. */
  private static final String REJECTED = "53300";

  /**
   * Guards against a response that is taken for that of the next request: bytes that follow a
   * response must be detected before its connection is reused. A connection is therefore reused
   * only after nothing was received on it for a quiet period, here of about 4 ms.
   */
  @Test
  void bytesAfterAResponseCloseItsConnectionBeforeReuse() {
    GatewayHarness harness = GatewayHarness.serving();
    String first = harness.request(harness.connect(), true, 900);
    long connection = harness.connectionOf(first);
    answerSuccessfully(harness, connection);
    String second = harness.request(harness.connect(), true, 900);
    assertFalse(
        connection == harness.connectionOf(second), "reused before the quiet period is over");
    harness.serverSends(
        harness.connections.get(connection),
        ByteBuffer.wrap(ServerMessages.message('T', ServerMessages.ROW_DESCRIPTION_BODY)));
    assertTrue(harness.connections.get(connection).dropped);
    answerSuccessfully(harness, harness.connectionOf(second));
    harness.advance(10);
    assertTrue(
        harness.connections.get(harness.connectionOf(harness.request(harness.connect(), true, 900)))
            .open);
  }

  /** Guards against a leaked connection: cancelling it may come too late to prevent it. */
  @Test
  void connectionEstablishedAfterItsCancellationIsClosed() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.unreachable.add("s-0");
    harness.connections.values().stream()
        .filter(connection -> "s-0".equals(connection.server))
        .forEach(connection -> connection.open = false);
    harness.closeAllOf("s-0");
    long client = harness.connect();
    harness.request(client, true, 900);
    long connection = harness.newestServerConnection();
    harness.disconnect(client);
    // Cancelling the request has already closed the connection once; a second close must follow.
    harness.connections.get(connection).dropped = false;
    harness.dispatch(g -> g.serverConnections().connected(connection));
    assertTrue(harness.connections.get(connection).dropped);
  }

  @Test
  void errorBeforeTheSessionIsReadyProvesThatNothingWasExecuted() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.unreachable.add("s-0");
    harness.closeAllOf("s-0");
    // The id of the request sent next, which the history then checks as one that must not be
    // rejected if a server may have executed it.
    harness.history.writes.add("a0");
    final String id = harness.request(harness.connect(), true, 900);
    long connection = harness.newestServerConnection();
    harness.serverSends(
        harness.connections.get(connection),
        ByteBuffer.wrap(ServerMessages.message('E', "SFATAL\0C57P03\0\0")));
    harness.closeByServer(connection);
    harness.advance(900);
    assertEquals(
        REJECTED,
        harness.history.answers.get(id),
        "rejected, not failed: the write cannot have been executed");
  }

  @Test
  void serverWithAChangedAddressIsConnectedAtTheNewAddress() {
    GatewayHarness harness = GatewayHarness.serving();
    String id = harness.request(harness.connect(), true, 500);
    long before = harness.connectionOf(id);
    answerSuccessfully(harness, before);
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
    // The fake transport names servers after their ports: s-8 is the server at port 7008.
    assertEquals(
        "s-8",
        harness.connections.get(harness.connectionOf(harness.request(harness.connect(), true, 500)))
            .server);
  }

  @Test
  void mostRecentlyUsedConnectionIsReused() {
    GatewayHarness harness = GatewayHarness.serving();
    Set<Long> used = new HashSet<>();
    for (int round = 0; round < 30; round++) {
      String id = harness.request(harness.connect(), true, 500);
      used.add(harness.connectionOf(id));
      answerSuccessfully(harness, harness.connectionOf(id));
      harness.advance(5);
    }
    assertEquals(1, used.size());
  }

  /**
   * Requests on connections that were idle for more than 100 ms are lost; the pool must learn to
   * avoid such connections, without ejecting their servers.
   */
  @Test
  void poolLearnsAfterWhichIdleTimeConnectionsAreLost() {
    GatewayHarness harness = GatewayHarness.serving();
    int lost = 0;
    for (int round = 0; round < 60; round++) {
      String id = harness.request(harness.connect(), false, 900);
      harness.answerHealthChecks();
      long connection = harness.connectionOf(id);
      Duration idleTime = harness.idleTimeBeforeStatement.get(connection);
      if (idleTime != null && idleTime.compareTo(Duration.ofMillis(100)) > 0) {
        lost++;
        harness.closeByServer(connection);
        harness.answerHealthChecks();
        connection = harness.connectionOf(id);
      }
      answerSuccessfully(harness, connection);
      assertEquals("ok", harness.history.answers.get(id));
      harness.advance(130);
    }
    assertTrue(lost > 1 && lost < 12, lost + " requests lost");
    assertNoEndpointEjectedOrWarmingUp(harness);
    long open =
        harness.connections.keySet().stream()
            .filter(number -> isOpenOutboundConnection(harness, number))
            .count();
    assertTrue(open < 9, open + " connections open, avoided ones are not closed");
  }

  /** A reset proves that the server process is running and that it executed nothing. */
  @Test
  void resetOnConnectDoesNotEjectTheServer() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.unreachable.add("s-0");
    harness.closeAllOf("s-0");
    final String id = harness.request(harness.connect(), true, 900);
    long connection = harness.newestServerConnection();
    harness.unreachable.clear();
    harness.dispatch(g -> g.serverConnections().connectionReset(connection));
    assertNoEndpointEjectedOrWarmingUp(harness);
    harness.advance(30);
    answerSuccessfully(harness, harness.connectionOf(id));
    assertEquals(
        "ok", harness.history.answers.get(id), "not retried although nothing was executed");
  }

  @Test
  void idleConnectionIsClosedBeforeItsServerClosesIt() {
    GatewayHarness harness = GatewayHarness.serving();
    String id = harness.request(harness.connect(), true, 500);
    long connection = harness.connectionOf(id);
    answerSuccessfully(harness, connection);
    harness.advance(26_000);
    assertFalse(harness.connections.get(connection).dropped);
    harness.advance(3_000);
    assertTrue(harness.connections.get(connection).dropped, "idle for 29 of 30 s");
  }

  @Test
  void serverThatDoesNotAcceptConnectionsIsReportedByGossip() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.unreachable.addAll(List.of("s-1", "s-2"));
    harness.busyConnections().forEach(harness::closeByServer);
    List.copyOf(harness.connections.keySet()).stream()
        .filter(number -> number != harness.discovery && isOpenOutboundConnection(harness, number))
        .forEach(harness::closeByServer);
    final String id = harness.request(harness.connect(), false, 2000);
    harness.advance(300);
    harness.answerHealthChecks();
    harness.advance(600);
    assertTrue(
        harness.calls.stream().anyMatch(call -> call.startsWith("sendGossip 7947 s-")),
        "no gossip was sent: " + harness.calls);
    harness.busyConnections().forEach(number -> answerSuccessfully(harness, number));
    assertEquals("ok", harness.history.answers.get(id));
  }

  /**
   * Guards against a gateway that lacks CPU time and takes servers for unresponsive, whose messages
   * were received in time and have not been read yet.
   */
  @Test
  void delayedReadsDoNotTimeOutConnections() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.unreachable.add("s-0");
    harness.closeAllOf("s-0");
    final String id = harness.request(harness.connect(), true, 2000);
    long connection = harness.newestServerConnection();
    harness.readsDelayed = true;
    harness.advance(300);
    assertFalse(
        harness.connections.get(connection).dropped, "timed out although reads are pending");
    harness.connections.get(connection).open = true;
    harness.dispatch(g -> g.serverConnections().connected(connection));
    answerSuccessfully(harness, connection);
    assertEquals("ok", harness.history.answers.get(id));
    harness.request(harness.connect(), true, 2000);
    harness.advance(400);
    long other = harness.newestServerConnection();
    harness.dispatch(g -> g.serverConnections().pendingReadsDone(other));
    assertTrue(
        harness.connections.get(other).dropped, "not timed out after all pending reads were done");
  }

  /** Answers the statement in progress on a connection to a server with a row. */
  private static void answerSuccessfully(GatewayHarness harness, long connection) {
    String noSqlState = null;
    harness.answer(connection, noSqlState);
  }

  /**
   * Returns whether a connection is open and leads to a server or to discovery. The numbers of such
   * connections are negative; those of client connections are positive.
   */
  private static boolean isOpenOutboundConnection(GatewayHarness harness, long number) {
    return number < 0 && harness.connections.get(number).open;
  }

  /** Matches whole words, because "ejected" is also a part of "rejected" in the totals. */
  private static void assertNoEndpointEjectedOrWarmingUp(GatewayHarness harness) {
    String state = harness.gateway.describe();
    assertFalse(Pattern.compile("\\b(warming-up|ejected)\\b").matcher(state).find(), state);
  }
}
