package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.pgwire.MessageEncoder;

/** Admission, eviction, timeouts and closing of client connections. */
class ClientConnectionsTest {

  @Test
  void clientThatSendsNoCompleteStatementIsClosedAfterTheMessageTimeout() {
    GatewayHarness harness = GatewayHarness.serving();
    long silent = harness.accept();
    long partialStartup = harness.accept();
    harness.send(partialStartup, ByteBuffer.wrap(new byte[] {0, 0, 0}));
    long noStatement = harness.connect();
    long partialStatement = harness.connect();
    harness.send(partialStatement, ByteBuffer.wrap(new byte[] {'Q', 0, 0, 0, 99, 'S'}));
    long active = harness.connect();
    harness.send(active, MessageEncoder.query(""));
    harness.advance(1900);
    List<Long> timedOut = List.of(silent, partialStartup, noStatement, partialStatement);
    assertTrue(timedOut.stream().allMatch(c -> harness.connections.get(c).open));
    harness.advance(200);
    assertTrue(timedOut.stream().noneMatch(c -> harness.connections.get(c).open));
    assertEquals(
        "",
        harness.connections.get(silent).takeReceived(),
        "an error would be taken for the response to a first request");
    assertTrue(harness.connections.get(active).open);
    harness.send(active, ByteBuffer.wrap(new byte[] {'Q', 0, 0, 0, 99, 'S'}));
    harness.advance(2100);
    assertTrue(
        harness.calls.contains("closeGracefully " + active)
            && harness.connections.get(active).takeReceived().contains("SFATAL"),
        "partial statement on an active connection");
  }

  @Test
  void malformedMessageClosesTheConnectionAndAnswersAllRequests() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    String id = harness.request(client, false, 3000);
    String second = harness.request(client, false, 3000);
    final long connection = harness.connectionOf(id);
    harness.answer(harness.connectionOf(second), null);
    harness.send(client, ByteBuffer.wrap(new byte[] {'Q', 127, 0, 0, 0}));
    assertEquals(
        List.of("58000", "ok"),
        List.copyOf(harness.history.answers.values()),
        "every request has a response");
    assertTrue(
        harness.connections.get(client).takeReceived().contains("C08P01")
            && harness.calls.contains("closeGracefully " + client));
    assertTrue(harness.connections.get(connection).dropped, "its attempt is cancelled");
    harness.advance(300);
    assertTrue(harness.connections.get(client).dropped, "closed after time to read the error");
  }

  @Test
  void silentClientsAreEvictedBeforeActiveOnes() {
    GatewayHarness harness = GatewayHarness.serving("\"sockets\":1024", "\"sockets\":64");
    List<Long> active = new ArrayList<>();
    for (int k = 0; k < 20; k++) {
      active.add(harness.connect());
      harness.send(active.get(k), MessageEncoder.query(""));
    }
    harness.advance(3000);
    for (int k = 0; k < 300; k++) {
      harness.accept();
    }
    for (long client : active) {
      harness.answer(harness.connectionOf(harness.request(client, true, 500)), null);
    }
    assertEquals(20, harness.history.answers.size());
    assertTrue(harness.gateway.describe().startsWith("24 clients"), harness.gateway.describe());
  }

  @Test
  void atTheLimitIdleClientsAreEvictedAndThenNewOnesRejected() {
    GatewayHarness harness = GatewayHarness.serving("\"sockets\":1024", "\"sockets\":64");
    List<Long> clients = new ArrayList<>();
    for (int k = 0; k < 24; k++) {
      clients.add(harness.connect());
      harness.send(clients.get(k), MessageEncoder.query(""));
      harness.advance(1);
    }
    harness.advance(2000);
    clients.add(harness.connect());
    assertTrue(harness.connections.get(clients.get(0)).dropped, "the one idle for longest");
    clients.subList(1, 25).forEach(c -> harness.request(c, false, 5000));
    assertTrue(harness.connections.get(clients.get(1)).open);
    long rejected = harness.accept();
    assertTrue(
        harness.connections.get(rejected).takeReceived().contains("C53300")
            && harness.calls.contains("closeGracefully " + rejected));
    assertTrue(
        harness.connections.entrySet().stream()
                .filter(e -> e.getKey() < 0 && e.getValue().open)
                .count()
            <= 24);
  }

  /** A request that arrives while its connection is being evicted must not be lost. */
  @Test
  void requestReceivedDuringEvictionIsServed() {
    GatewayHarness harness = GatewayHarness.serving("\"sockets\":1024", "\"sockets\":64");
    List<Long> clients = new ArrayList<>();
    for (int k = 0; k < 24; k++) {
      clients.add(harness.connect());
      harness.send(clients.get(k), MessageEncoder.query(""));
    }
    harness.advance(2500);
    harness.readsDelayed = true;
    for (int k = 24; k < 26; k++) {
      clients.add(harness.connect());
      harness.send(clients.get(k), MessageEncoder.query(""));
    }
    assertTrue(
        harness.pendingCloses.keySet().containsAll(clients.subList(0, 2)),
        harness.pendingCloses.toString());
    final String id = harness.request(clients.get(0), false, 900);
    harness.completePendingReads();
    assertTrue(
        harness.connections.get(clients.get(0)).open
            && harness.connections.get(clients.get(1)).dropped);
    harness.answerHealthChecks();
    harness.answer(harness.connectionOf(id), null);
    assertEquals("ok", harness.history.answers.get(id));
  }

  /** Clients that stay connected after a single request must not keep out new ones. */
  @Test
  void clientsWithOneRequestAreEvictedForNewOnes() {
    GatewayHarness harness = GatewayHarness.serving("\"sockets\":1024", "\"sockets\":64");
    long returning = harness.connect();
    harness.send(returning, MessageEncoder.query(""));
    harness.send(returning, MessageEncoder.query(""));
    for (int k = 0; k < 200; k++) {
      long client = harness.connect();
      assertTrue(harness.connections.get(client).open, "rejected: " + k);
      harness.send(client, MessageEncoder.query(""));
      harness.advance(k % 2);
    }
    List<Long> open =
        harness.connections.keySet().stream()
            .filter(id -> id > 0 && harness.connections.get(id).open)
            .toList();
    assertEquals(24, open.size());
    assertEquals(returning, open.get(0), "a client with several requests is evicted last");
    harness.connect();
    assertFalse(harness.connections.get(open.get(1)).open, "the one idle for longest goes first");
  }

  /** Every request read gets a response, despite few descriptors, silent clients and a shutdown. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void everyRequestIsAnsweredWhileConnectionsClose(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    GatewayHarness harness = GatewayHarness.serving("\"sockets\":1024", "\"sockets\":64");
    List<Long> clients = new ArrayList<>();
    for (int step = 0; step < 1500; step++) {
      int kind = random.nextInt(100);
      harness.readsDelayed = random.nextInt(3) > 0;
      clients.removeIf(c -> !harness.connections.get(c).open);
      if (kind < 6) {
        clients.add(harness.connect());
      } else if (kind < 8) {
        harness.accept();
      } else if (kind < 40
          && clients.stream().anyMatch(c -> !harness.history.hasUnansweredRequest(c))) {
        // Prefers clients with a pending close: a request read before the close must be served.
        List<Long> free =
            clients.stream().filter(c -> !harness.history.hasUnansweredRequest(c)).toList();
        List<Long> closing = free.stream().filter(harness.pendingCloses::containsKey).toList();
        List<Long> candidates = closing.isEmpty() || random.nextBoolean() ? free : closing;
        long client = candidates.get(random.nextInt(candidates.size()));
        harness.request(client, false, 100 + random.nextInt(2000));
      } else if (kind < 60) {
        harness.completePendingReads();
      } else if (kind < 85 && !harness.busyConnections().isEmpty()) {
        harness.answer(
            harness.busyConnections().get(random.nextInt(harness.busyConnections().size())), null);
      } else {
        harness.advance(random.nextInt(kind == 99 ? 3000 : 40));
      }
      if (step == 1400) {
        harness.dispatch(Gateway::stop);
      }
    }
    harness.readsDelayed = false;
    harness.completePendingReads();
    harness.advance(5000);
    harness
        .history
        .deadlines
        .keySet()
        .forEach(
            id ->
                RequestHistory.check(
                    harness.history.answers.containsKey(id), "request lost: " + id));
    assertTrue(
        harness.connections.values().stream().filter(connection -> connection.dropped).count() > 20,
        "too few connections were closed");
    assertEquals(Gateway.Phase.STOPPED, harness.gateway.phase());
  }
}
