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

/** What is sent to servers for a request, how it ends and how it is answered. */
class AttemptTrackerTest {

  /**
   * Rule 5: decided within its bound and sent past it, as its connection took so long to come up.
   */
  @Test
  void readWhoseBoundPassesWhileConnectingIsRoutedAgain() {
    GatewayHarness harness = GatewayHarness.serving();
    List.copyOf(harness.connections.keySet()).stream()
        .filter(
            n ->
                n < 0
                    && harness.connections.get(n).discoveryPort == 0
                    && harness.connections.get(n).open)
        .forEach(harness::closeByServer);
    harness.advance(740);
    harness.unreachable.addAll(List.of("s-1", "s-2"));
    final String id = harness.request(harness.connect(), false, 1000);
    harness.advance(60);
    List<Long> slow =
        harness.connections.keySet().stream()
            .filter(
                n ->
                    n < 0
                        && harness.unreachable.contains(harness.connections.get(n).server)
                        && !harness.connections.get(n).open
                        && !harness.connections.get(n).dropped)
            .toList();
    assertFalse(slow.isEmpty(), "a connection to a replica is on its way");
    harness.unreachable.clear();
    slow.forEach(
        l -> {
          harness.connections.get(l).open = true;
          harness.dispatch(g -> g.serverConnections().connected(l));
          harness.completeWrites();
        });
    harness.advance(60);
    assertEquals(
        "s-0",
        harness.connections.get(harness.connectionOf(id)).server,
        "only the primary is within the bound");
    harness.answer(harness.connectionOf(id), null);
    assertEquals("ok", harness.history.answers.get(id));
  }

  /** Rule 5: in an event that takes long a read is sent later than it was decided. */
  @Test
  void readInALongEventIsCheckedByTheClock() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.advance(700);
    harness.eventDuration = Duration.ofMillis(150);
    String id = harness.request(harness.connect(), false, 1000);
    harness.advance(60);
    assertEquals(
        "s-0",
        harness.connections.get(harness.connectionOf(id)).server,
        "only the primary is within the bound when it is sent");
  }

  /** Rule 5: a write at this very moment is a write: no replica is known to have it. */
  @Test
  void readInTheMillisecondOfItsSessionsWriteSeesIt() {
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
        "no replica is known to hold it");
  }

  /** Rule 5: a commit time in whole milliseconds may be one too early for a replica at it. */
  @Test
  void replicaWithinTheMillisecondOfACommitIsNotFreshEnough() {
    GatewayHarness harness =
        GatewayHarness.serving("[\"bounded\",\"write\"]", "[\"session\",\"write\"]");
    long client = harness.connect();
    String write = harness.request(client, true, 1000);
    harness.advance(300);
    final String asked = harness.connections.get(harness.connectionOf(write)).statement;
    long millis = GatewayHarness.START_UNIX_MILLIS + harness.now.toMillis();
    FakeConnection connection = harness.connections.get(harness.connectionOf(write));
    harness.advance(3);
    for (byte[] part :
        List.of(
            ServerMessages.message('T', ServerMessages.COLUMNS),
            ServerMessages.message('D', "\0\1\0\0\0\1v"),
            ServerMessages.message('C', "INSERT 0 1\0"),
            ServerMessages.message('S', "mode\0read-write\0"),
            ServerMessages.message('S', "wal_time\0" + millis + "\0"),
            ServerMessages.message('Z', "I"))) {
      harness.serverSends(connection, ByteBuffer.wrap(part));
    }
    connection.statement = null;
    assertTrue(asked.startsWith("INSERT"));
    final String read = harness.request(client, false, 1000);
    List<Long> checks = harness.busyConnections();
    assertFalse(checks.isEmpty(), "a replica is asked for its position");
    for (long check : checks) {
      harness.answerRow(check, "x0=" + new BigDecimal(millis).movePointLeft(3) + ",x1=0", "SHOW");
    }
    harness.advance(60);
    assertEquals("s-0", harness.connections.get(harness.connectionOf(read)).server);
  }

  @Test
  void malformedAnswerIsAFailedAttemptThatMayHaveRun() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.history.writes.add("a0");
    String write = harness.request(harness.connect(), true, 900);
    long connection = harness.connectionOf(write);
    harness.serverSends(
        harness.connections.get(connection), ByteBuffer.wrap(new byte[] {1, 2, 3, 4, 5}));
    assertEquals("58000", harness.history.answers.get(write), "an INSERT that may have run");
    assertTrue(harness.connections.get(connection).dropped);
    String read = harness.request(harness.connect(), false, 900);
    long first = harness.connectionOf(read);
    byte[] wrong = ServerMessages.message('T', ServerMessages.COLUMNS);
    harness.serverSends(harness.connections.get(first), ByteBuffer.wrap(wrong));
    harness.advance(200);
    assertFalse(harness.connections.get(first).dropped);
    harness.advance(60);
    assertTrue(harness.connections.get(first).dropped, "an answer that began and did not go on");
    harness.answer(harness.connectionOf(read), null);
    assertEquals("ok", harness.history.answers.get(read));
  }

  @Test
  void rowCompletedAsAnotherStatementIsNotServed() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.history.writes.add("a0");
    String write = harness.request(harness.connect(), true, 900);
    FakeConnection connection = harness.connections.get(harness.connectionOf(write));
    for (byte[] part :
        List.of(
            ServerMessages.message('T', ServerMessages.COLUMNS),
            ServerMessages.message('D', "\0\1\0\0\0\4v-a0"),
            ServerMessages.message('C', "SELECT 1\0"),
            ServerMessages.message('Z', "I"))) {
      harness.serverSends(connection, ByteBuffer.wrap(part));
    }
    assertEquals("58000", harness.history.answers.get(write));
  }

  @Test
  void writeCutOffBeforeItsLastByteIsRetried() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    harness.history.writes.add("a" + harness.nextRequest);
    harness.history.deadlines.put("a" + harness.nextRequest, harness.now.plusMillis(2000));
    // Written, but not out: the flush that the world does after each step is what is left out here.
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
    for (int k = 0; k < 30 && harness.history.openAttempts.get("a0").isEmpty(); k++) {
      harness.advance(50);
      harness.answerHealthChecks();
    }
    harness.connectionOf("a0");
  }

  @Test
  void writeCutOffAfterItsLastByteFails() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.history.writes.add("a0");
    String id = harness.request(harness.connect(), true, 900);
    harness.closeByServer(harness.connectionOf(id));
    harness.advance(1000);
    assertEquals("58000", harness.history.answers.get(id));
  }

  /** Rule 2: a write whose bytes are all sent may have run, so it is not sent again. */
  @Test
  void completedWriteIsKnownBeforeItsConnectionEnds() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.writesCompleteAtOnce = true;
    harness.history.writes.add("a0");
    String id = harness.request(harness.connect(), true, 900);
    assertEquals("a0", id);
    harness.closeByServer(harness.connectionOf(id));
    assertEquals("58000", harness.history.answers.get(id));
  }

  /** A request queued for the last of them is not started as the first makes room. */
  @Test
  void clientsThatDisconnectTogetherHaveNothingStarted() {
    GatewayHarness harness = GatewayHarness.serving();
    Map<String, Long> clients = new LinkedHashMap<>();
    for (int k = 0; k < 60; k++) {
      long client = harness.connect();
      clients.put(harness.request(client, false, 1500), client);
    }
    assertTrue(harness.history.openAttempts.size() < 60, "some are held");
    final Set<String> sentBefore = Set.copyOf(harness.history.openAttempts.keySet());
    harness.history.abandoned.addAll(clients.keySet());
    harness.dispatch(g -> clients.values().forEach(g.clients()::disconnected));
    harness.advance(50);
    assertEquals(sentBefore, harness.history.openAttempts.keySet());
  }

  @Test
  void disconnectOfAClientCancelsItsAttempt() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    String id = harness.request(client, false, 900);
    long connection = harness.connectionOf(id);
    harness.disconnect(client);
    assertTrue(harness.connections.get(connection).dropped);
  }

  @Test
  void rejectedRequestIsToldWhenToRetry() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.history.writes.add("a0");
    long client = harness.connect();
    String id = harness.request(client, true, 900);
    for (long connection : harness.busyConnections()) {
      harness.answer(connection, "53300");
    }
    for (int k = 0; k < 40 && !harness.history.answers.containsKey(id); k++) {
      harness.advance(25);
      harness
          .busyConnections()
          .forEach(
              l ->
                  harness.answer(
                      l,
                      RequestHistory.idOf(harness.connections.get(l).statement) == null
                          ? null
                          : "53300"));
    }
    assertEquals("53300", harness.history.answers.get(id));
    assertTrue(harness.connections.get(client).takeReceived().contains("\0D500\0"));
  }
}
