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

/** Accepting, evicting and closing the connections of clients. */
class ClientConnectionsTest {

  @Test
  void silentClientIsClosedInTime() {
    GatewayHarness harness = GatewayHarness.serving();
    long silent = harness.accept();
    long half = harness.accept();
    harness.send(half, ByteBuffer.wrap(new byte[] {0, 0, 0}));
    long started = harness.connect();
    long unfinished = harness.connect();
    harness.send(unfinished, ByteBuffer.wrap(new byte[] {'Q', 0, 0, 0, 99, 'S'}));
    long usual = harness.connect();
    harness.send(usual, MessageEncoder.query(""));
    harness.advance(1900);
    List<Long> bad = List.of(silent, half, started, unfinished);
    assertTrue(bad.stream().allMatch(c -> harness.connections.get(c).open));
    harness.advance(200);
    assertTrue(bad.stream().noneMatch(c -> harness.connections.get(c).open));
    assertEquals(
        "",
        harness.connections.get(silent).takeReceived(),
        "an error would be taken for the answer to a first request");
    assertTrue(harness.connections.get(usual).open);
    harness.send(usual, ByteBuffer.wrap(new byte[] {'Q', 0, 0, 0, 99, 'S'}));
    harness.advance(2100);
    assertTrue(
        harness.calls.contains("closeGracefully " + usual)
            && harness.connections.get(usual).takeReceived().contains("SFATAL"),
        "half a statement on a connection in use");
  }

  @Test
  void malformedMessageClosesTheConnectionAndAnswersAll() {
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
        "none is left without an answer");
    assertTrue(
        harness.connections.get(client).takeReceived().contains("C08P01")
            && harness.calls.contains("closeGracefully " + client));
    assertTrue(
        harness.connections.get(connection).dropped, "nobody waits for its request any more");
    harness.advance(300);
    assertTrue(harness.connections.get(client).dropped, "it had a moment to read the error");
  }

  @Test
  void silentClientsAreEvictedBeforeActiveOnes() {
    GatewayHarness harness = GatewayHarness.serving("\"sockets\":1024", "\"sockets\":64");
    List<Long> usual = new ArrayList<>();
    for (int k = 0; k < 20; k++) {
      usual.add(harness.connect());
      harness.send(usual.get(k), MessageEncoder.query(""));
    }
    harness.advance(3000);
    for (int k = 0; k < 300; k++) {
      harness.accept();
    }
    for (long client : usual) {
      harness.answer(harness.connectionOf(harness.request(client, true, 500)), null);
    }
    assertEquals(20, harness.history.answers.size());
    assertTrue(harness.gateway.describe().startsWith("24 clients"), harness.gateway.describe());
  }

  @Test
  void atTheLimitIdleClientsAreEvictedThenNewOnesRejected() {
    GatewayHarness harness = GatewayHarness.serving("\"sockets\":1024", "\"sockets\":64");
    List<Long> clients = new ArrayList<>();
    for (int k = 0; k < 24; k++) {
      clients.add(harness.connect());
      harness.send(clients.get(k), MessageEncoder.query(""));
      harness.advance(1);
    }
    harness.advance(2000);
    clients.add(harness.connect());
    assertTrue(harness.connections.get(clients.get(0)).dropped, "the longest idle one");
    clients.subList(1, 25).forEach(c -> harness.request(c, false, 5000));
    assertTrue(harness.connections.get(clients.get(1)).open);
    long number = harness.accept();
    assertTrue(
        harness.connections.get(number).takeReceived().contains("C53300")
            && harness.calls.contains("closeGracefully " + number));
    assertTrue(
        harness.connections.entrySet().stream()
                .filter(e -> e.getKey() < 0 && e.getValue().open)
                .count()
            <= 24);
  }

  /** Rule 1: what was read before its connection was closed is answered. */
  @Test
  void requestThatCrossesAnEvictionIsServed() {
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
    harness.finishReads();
    assertTrue(
        harness.connections.get(clients.get(0)).open
            && harness.connections.get(clients.get(1)).dropped);
    harness.answerHealthChecks();
    harness.answer(harness.connectionOf(id), null);
    assertEquals("ok", harness.history.answers.get(id));
  }

  /** Clients that ask once and stay must not keep new ones out. */
  @Test
  void clientsWithOneRequestAreEvictedForNewOnes() {
    GatewayHarness harness = GatewayHarness.serving("\"sockets\":1024", "\"sockets\":64");
    long usual = harness.connect();
    harness.send(usual, MessageEncoder.query(""));
    harness.send(usual, MessageEncoder.query(""));
    for (int k = 0; k < 200; k++) {
      long client = harness.connect();
      assertTrue(harness.connections.get(client).open, "turned away: " + k);
      harness.send(client, MessageEncoder.query(""));
      harness.advance(k % 2);
    }
    List<Long> open =
        harness.connections.keySet().stream()
            .filter(n -> n > 0 && harness.connections.get(n).open)
            .toList();
    assertEquals(24, open.size());
    assertEquals(usual, open.get(0), "whoever comes again keeps its place as long as it may");
    harness.connect();
    assertFalse(harness.connections.get(open.get(1)).open, "the longest idle goes first");
  }

  /** Few descriptors, many silent clients and a stop: whatever was read has an answer. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void everyRequestIsAnsweredWhileConnectionsClose(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    GatewayHarness harness = GatewayHarness.serving("\"sockets\":1024", "\"sockets\":64");
    List<Long> usual = new ArrayList<>();
    for (int step = 0; step < 1500; step++) {
      int kind = random.nextInt(100);
      harness.readsDelayed = random.nextInt(3) > 0;
      usual.removeIf(c -> !harness.connections.get(c).open);
      if (kind < 6) {
        usual.add(harness.connect());
      } else if (kind < 8) {
        harness.accept();
      } else if (kind < 40 && usual.stream().anyMatch(c -> !harness.history.isWaiting(c))) {
        // Prefers those about to be closed: what was read counts before that.
        List<Long> free = usual.stream().filter(c -> !harness.history.isWaiting(c)).toList();
        List<Long> parting = free.stream().filter(harness.pendingCloses::containsKey).toList();
        List<Long> from = parting.isEmpty() || random.nextBoolean() ? free : parting;
        harness.request(from.get(random.nextInt(from.size())), false, 100 + random.nextInt(2000));
      } else if (kind < 60) {
        harness.finishReads();
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
    harness.finishReads();
    harness.advance(5000);
    harness
        .history
        .deadlines
        .keySet()
        .forEach(
            id ->
                RequestHistory.check(
                    harness.history.answers.containsKey(id), "rule 1: lost " + id));
    assertTrue(
        harness.connections.values().stream().filter(connection -> connection.dropped).count() > 20,
        "hardly any ended");
    assertEquals(Gateway.Phase.STOPPED, harness.gateway.phase());
  }
}
