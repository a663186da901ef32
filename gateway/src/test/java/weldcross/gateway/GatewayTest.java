package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.pgwire.MessageEncoder;

/** Invariants of a gateway, checked through random events on a {@link GatewayHarness}. */
class GatewayTest {

  /** Clients send, disconnect and wait; servers answer, fail, close, hang or are unreachable. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void requestInvariantsHoldThroughRandomEvents(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    GatewayHarness harness =
        GatewayHarness.serving(
            "\"parallelTries\":true", "\"parallelTries\":" + random.nextBoolean());
    List<Long> clients = new ArrayList<>();
    for (int step = 0; step < 2000; step++) {
      int kind = random.nextInt(100);
      List<Long> busy = harness.busyConnections();
      if (kind < 25) {
        sendRandomRequest(harness, clients, random);
      } else if (kind < 27 && !clients.isEmpty()) {
        harness.disconnect(clients.remove(random.nextInt(clients.size())));
      } else if (kind < 70 && !busy.isEmpty()) {
        answerAtRandom(harness, busy.get(random.nextInt(busy.size())), random);
      } else if (kind == 71) {
        String server = "s-" + random.nextInt(3);
        if (!harness.unreachable.remove(server)) {
          harness.unreachable.add(server);
        }
      } else {
        harness.advance(random.nextInt(30));
      }
    }
    harness.advance(5000);
    harness
        .history
        .deadlines
        .keySet()
        .forEach(
            id ->
                RequestHistory.check(
                    harness.history.answers.containsKey(id)
                        || harness.history.abandoned.contains(id),
                    "request lost: " + id));
    assertTrue(
        harness.history.answers.values().stream().filter("ok"::equals).count() > 100,
        "too few requests served: " + harness.history.answers);
  }

  private static void sendRandomRequest(
      GatewayHarness harness, List<Long> clients, SplittableRandom random) {
    List<Long> free =
        clients.stream().filter(c -> !harness.history.hasUnansweredRequest(c)).toList();
    long client =
        free.isEmpty() || random.nextInt(4) == 0
            ? harness.connect()
            : free.get(random.nextInt(free.size()));
    clients.remove(client);
    boolean write = random.nextInt(3) == 0;
    if (write) {
      harness.history.writes.add("a" + harness.nextRequest);
    }
    harness.request(client, write, 50 + random.nextInt(2000));
    clients.add(client);
  }

  /** Answers with a row in most cases; a replica answers a write with SQLSTATE 25006. */
  private static void answerAtRandom(GatewayHarness harness, long number, SplittableRandom random) {
    int kind = random.nextInt(40);
    FakeConnection connection = harness.connections.get(number);
    boolean writeAtReplica =
        RequestHistory.idOf(connection.statement) != null
            && connection.statement.startsWith("INSERT")
            && !connection.server.equals("s-0");
    if (kind == 0) {
      harness.closeByServer(number);
      return;
    }
    String failure =
        switch (kind) {
          case 1 -> "XX000";
          case 2 -> "53300";
          case 3 -> "99999";
          default -> null;
        };
    harness.answer(number, writeAtReplica ? "25006" : failure);
  }

  /** The state must not grow with the request ids, clients and servers seen over time. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void stateIsBoundedByOpenConnectionsAndListedEndpoints(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    GatewayHarness harness = GatewayHarness.serving();
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    for (int revision = 3; revision < 1500; revision++) {
      String text =
          "{\"revision\":"
              + revision
              + ",\"complete\":"
              + random.nextBoolean()
              + ",\"members\":["
              + TestConfig.member(0, "active")
              + ","
              + TestConfig.member(revision - 1, "left")
              + ","
              + TestConfig.member(revision, "active")
              + ","
              + TestConfig.member(revision + 1, "active")
              + "]}";
      harness.dispatch(
          g ->
              g.discovery()
                  .responseReceived(harness.discovery, 200, text.getBytes(StandardCharsets.UTF_8)));
      harness.completeWrites();
      long client = harness.connect();
      for (int n = random.nextInt(4); n >= 0; n--) {
        harness.request(client, false, 300);
      }
      harness.advance(random.nextInt(20));
      harness
          .busyConnections()
          .forEach(
              connection -> harness.answer(connection, random.nextInt(9) == 0 ? "XX000" : null));
      harness.advance(random.nextInt(40));
      if (random.nextInt(3) > 0) {
        harness.disconnect(client);
      }
      harness.connections.entrySet().removeIf(e -> e.getKey() < 0 && e.getValue().dropped);
    }
    harness.advance(17_300);
    String state = harness.gateway.describe();
    Matcher sizes =
        Pattern.compile("(\\d+) clients, (\\d+) requests, (\\d+) servers, (\\d+) timers;.*")
            .matcher(state);
    assertTrue(sizes.matches(), state);
    assertTrue(
        Integer.parseInt(sizes.group(1)) <= 384 && Integer.parseInt(sizes.group(2)) == 0, state);
    assertTrue(
        Integer.parseInt(sizes.group(3)) <= 4 && Integer.parseInt(sizes.group(4)) < 20, state);
    assertTrue(state.split("s-\\d+ ").length < 12, state);
  }

  @Test
  void gatewayIsReadyOnlyWithAnEndpointList() {
    GatewayHarness harness =
        new GatewayHarness("\"members\":[{\"id\"", "\"members\":[],\"x\":[{\"id\"");
    long client = harness.connect();
    harness.send(client, MessageEncoder.query(""));
    assertTrue(harness.connections.get(client).takeReceived().contains("C57P03"));
    assertEquals(Gateway.Phase.LISTENING, harness.gateway.phase());
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    assertTrue(
        harness
            .connections
            .get(harness.discovery)
            .takeReceived()
            .startsWith("GET /catalog/members HTTP/1.1\r\n"));
    harness.listEndpoints(41, true, "active");
    harness.send(client, MessageEncoder.query(""));
    assertTrue(harness.connections.get(client).takeReceived().startsWith("I"));
    assertTrue(
        harness
            .connections
            .get(harness.discovery)
            .takeReceived()
            .startsWith("GET /catalog/members?since=41&timeout_ms=1500 "));
  }
}
