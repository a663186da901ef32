package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import weldcross.pgwire.MessageEncoder;

/** Tests what is sent to servers for a request, how its attempts end and how it is answered. */
class AttemptTrackerTest {

  /**
   * Guards against a read from a replica that has become too stale: the read is within its
   * staleness bound when it is routed, and beyond it once the slow connection is established.
   */
  @Test
  void readIsReroutedIfItsStalenessBoundExpiresWhileConnecting() {
    GatewayHarness harness = GatewayHarness.serving();
    List.copyOf(harness.connections.keySet()).stream()
        .filter(
            number ->
                number < 0
                    && harness.connections.get(number).discoveryPort == 0
                    && harness.connections.get(number).open)
        .forEach(harness::closeByServer);
    harness.advance(740);
    harness.unreachable.addAll(List.of("s-1", "s-2"));
    final String id = harness.request(harness.connect(), false, 1000);
    harness.advance(60);
    List<Long> connecting =
        harness.connections.keySet().stream()
            .filter(
                number ->
                    number < 0
                        && harness.unreachable.contains(harness.connections.get(number).server)
                        && !harness.connections.get(number).open
                        && !harness.connections.get(number).dropped)
            .toList();
    assertFalse(connecting.isEmpty(), "no pending connection to a replica");
    harness.unreachable.clear();
    connecting.forEach(
        number -> {
          harness.connections.get(number).open = true;
          harness.dispatch(g -> g.serverConnections().connected(number));
          harness.completeWrites();
        });
    harness.advance(60);
    assertEquals(
        "s-0",
        harness.connections.get(harness.connectionOf(id)).server,
        "only the primary is within the staleness bound");
    harness.answer(harness.connectionOf(id), null);
    assertEquals("ok", harness.history.answers.get(id));
  }

  /**
   * Guards against a stale read in a long event: the event lasts 150 ms, so the read is sent that
   * much later than it was routed, when the replicas are beyond its staleness bound.
   */
  @Test
  void eligibilityIsCheckedAtTheTimeOfSending() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.advance(700);
    harness.eventDuration = Duration.ofMillis(150);
    String id = harness.request(harness.connect(), false, 1000);
    harness.advance(60);
    assertEquals(
        "s-0",
        harness.connections.get(harness.connectionOf(id)).server,
        "only the primary is within the staleness bound at the time of sending");
  }

  /**
   * Guards against a session that does not read its own write: a session token with the current
   * time stands for a write that no replica is known to have applied.
   */
  @Test
  void readInTheSameMillisecondAsItsSessionsWriteUsesThePrimary() {
    GatewayHarness harness =
        GatewayHarness.serving(
            "[\"bounded\",\"write\"]", "[\"session\",\"write\"]", "remembered", "carried");
    String id =
        harness.request(
            harness.connect(),
            false,
            1000,
            ",after=" + (GatewayHarness.START_UNIX_MILLIS + harness.now.toMillis()));
    harness.advance(60);
    assertEquals(
        "s-0",
        harness.connections.get(harness.connectionOf(id)).server,
        "no replica is known to have the write");
  }

  /**
   * Guards against a read that misses its session's write: a commit time in whole milliseconds may
   * be up to 1 ms early, so a replica at exactly that position may not have the write.
   */
  @Test
  void replicaAtTheMillisecondOfACommitIsNotFreshEnough() {
    GatewayHarness harness =
        GatewayHarness.serving("[\"bounded\",\"write\"]", "[\"session\",\"write\"]");
    long client = harness.connect();
    String write = harness.request(client, true, 1000);
    harness.advance(300);
    final String statement = harness.connections.get(harness.connectionOf(write)).statement;
    long commitMillis = GatewayHarness.START_UNIX_MILLIS + harness.now.toMillis();
    FakeConnection connection = harness.connections.get(harness.connectionOf(write));
    harness.advance(3);
    for (byte[] part :
        List.of(
            ServerMessages.message('T', ServerMessages.ROW_DESCRIPTION_BODY),
            ServerMessages.message('D', "\0\1\0\0\0\1v"),
            ServerMessages.message('C', "INSERT 0 1\0"),
            ServerMessages.message('S', "mode\0read-write\0"),
            ServerMessages.message('S', "wal_time\0" + commitMillis + "\0"),
            ServerMessages.message('Z', "I"))) {
      harness.serverSends(connection, ByteBuffer.wrap(part));
    }
    connection.statement = null;
    assertTrue(statement.startsWith("INSERT"));
    final String read = harness.request(client, false, 1000);
    List<Long> healthChecks = harness.busyConnections();
    assertFalse(healthChecks.isEmpty(), "no replica is asked for its position");
    String position = new BigDecimal(commitMillis).movePointLeft(3).toString();
    for (long healthCheck : healthChecks) {
      harness.answerRow(healthCheck, "x0=" + position + ",x1=0", "SHOW");
    }
    harness.advance(60);
    assertEquals("s-0", harness.connections.get(harness.connectionOf(read)).server);
  }

  @Test
  void malformedResponseFailsAWriteAndRetriesARead() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.history.writes.add("a0");
    String write = harness.request(harness.connect(), true, 900);
    long connection = harness.connectionOf(write);
    harness.serverSends(
        harness.connections.get(connection), ByteBuffer.wrap(new byte[] {1, 2, 3, 4, 5}));
    assertEquals("58000", harness.history.answers.get(write), "the INSERT may have been executed");
    assertTrue(harness.connections.get(connection).dropped);
    String read = harness.request(harness.connect(), false, 900);
    long first = harness.connectionOf(read);
    byte[] rowDescription = ServerMessages.message('T', ServerMessages.ROW_DESCRIPTION_BODY);
    harness.serverSends(harness.connections.get(first), ByteBuffer.wrap(rowDescription));
    harness.advance(200);
    assertFalse(harness.connections.get(first).dropped);
    harness.advance(60);
    assertTrue(harness.connections.get(first).dropped, "the response was not completed in time");
    harness.answer(harness.connectionOf(read), null);
    assertEquals("ok", harness.history.answers.get(read));
  }

  @Test
  void responseWithTheWrongCommandTagIsNotForwarded() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.history.writes.add("a0");
    String write = harness.request(harness.connect(), true, 900);
    FakeConnection connection = harness.connections.get(harness.connectionOf(write));
    for (byte[] part :
        List.of(
            ServerMessages.message('T', ServerMessages.ROW_DESCRIPTION_BODY),
            ServerMessages.message('D', "\0\1\0\0\0\4v-a0"),
            ServerMessages.message('C', "SELECT 1\0"),
            ServerMessages.message('Z', "I"))) {
      harness.serverSends(connection, ByteBuffer.wrap(part));
    }
    assertEquals("58000", harness.history.answers.get(write));
  }

  /** A server cannot execute a statement that it has not received completely. */
  @Test
  void writeIsRetriedIfItsConnectionClosesBeforeItIsFullySent() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    harness.history.writes.add("a" + harness.nextRequest);
    harness.history.deadlines.put("a" + harness.nextRequest, harness.now.plusMillis(2000));
    // Fed to the decoder directly, as harness.send() would also complete the write to the server.
    harness
        .connections
        .get(client)
        .clientDecoder
        .feed(
            MessageEncoder.query(
                "INSERT INTO kv (name, content) VALUES ('k', "
                    + "'\\x00') "
                    + "RETURNING content /* id=a0,c=file,d=2000,cluster=0 */"));
    harness.history.clientOf.put("a0", client);
    harness.loop.runPending(harness.gateway);
    long connection = harness.connectionOf("a0");
    harness.pendingWrites.clear();
    harness.connections.get(connection).statement = null;
    harness.history.openAttempts.get("a0").clear();
    harness.closeByServer(connection);
    for (int round = 0; round < 30 && harness.history.openAttempts.get("a0").isEmpty(); round++) {
      harness.advance(50);
      harness.answerHealthChecks();
    }
    harness.connectionOf("a0");
  }

  @Test
  void writeFailsIfItsConnectionClosesAfterItIsFullySent() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.history.writes.add("a0");
    String id = harness.request(harness.connect(), true, 900);
    harness.closeByServer(harness.connectionOf(id));
    harness.advance(1000);
    assertEquals("58000", harness.history.answers.get(id));
  }

  /**
   * Guards against a write that is executed twice: it was sent at once and completely, so the
   * server may have executed it, although its connection closed before any other event.
   */
  @Test
  void writeSentAtOnceIsNotRetriedWhenItsConnectionCloses() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.writesCompleteImmediately = true;
    harness.history.writes.add("a0");
    String id = harness.request(harness.connect(), true, 900);
    assertEquals("a0", id);
    harness.closeByServer(harness.connectionOf(id));
    assertEquals("58000", harness.history.answers.get(id));
  }

  /**
   * Guards against useless attempts: the disconnect of one client frees capacity, which must not go
   * to a queued request of a client that disconnects at the same time.
   */
  @Test
  void simultaneousDisconnectsDoNotStartQueuedRequests() {
    GatewayHarness harness = GatewayHarness.serving();
    Map<String, Long> clients = new LinkedHashMap<>();
    for (int index = 0; index < 60; index++) {
      long client = harness.connect();
      clients.put(harness.request(client, false, 1500), client);
    }
    assertTrue(harness.history.openAttempts.size() < 60, "no request is queued");
    final Set<String> sentBefore = Set.copyOf(harness.history.openAttempts.keySet());
    harness.history.abandoned.addAll(clients.keySet());
    harness.dispatch(g -> clients.values().forEach(g.clients()::disconnected));
    harness.advance(50);
    assertEquals(sentBefore, harness.history.openAttempts.keySet());
  }

  @Test
  void clientDisconnectCancelsItsAttempt() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    String id = harness.request(client, false, 900);
    long connection = harness.connectionOf(id);
    harness.disconnect(client);
    assertTrue(harness.connections.get(connection).dropped);
  }

  @Test
  void rejectionContainsRetryAfter() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.history.writes.add("a0");
    long client = harness.connect();
    String id = harness.request(client, true, 900);
    for (long connection : harness.busyConnections()) {
      harness.answer(connection, "53300");
    }
    for (int round = 0; round < 40 && !harness.history.answers.containsKey(id); round++) {
      harness.advance(25);
      harness
          .busyConnections()
          .forEach(
              number ->
                  harness.answer(
                      number,
                      RequestHistory.idOf(harness.connections.get(number).statement) == null
                          ? null
                          : "53300"));
    }
    assertEquals("53300", harness.history.answers.get(id));
    assertTrue(harness.connections.get(client).takeReceived().contains("\0D500\0"));
  }

  /**
   * Guards against an effect that happens twice, as a client leaves before it has its answer and
   * comes back with the same request.
   */
  @Test
  void repeatedWriteIsNotSentAgainAfterItsClientDisconnects() {
    GatewayHarness harness = GatewayHarness.serving();
    long first = harness.connect();
    String id = harness.request(first, true, 900);
    harness.connectionOf(id);
    harness.disconnect(first);
    harness.advance(50);
    long second = harness.connect();
    harness.nextRequest--;
    assertEquals(id, harness.request(second, true, 900));
    assertTrue(
        harness.busyConnections().stream()
            .noneMatch(
                number ->
                    id.equals(RequestHistory.idOf(harness.connections.get(number).statement))),
        "the write is not sent again");
    String answer = harness.connections.get(second).takeReceived();
    assertTrue(answer.contains("C58000"), answer);
  }
}
