package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import weldcross.config.ConfigValues;
import weldcross.config.GatewayConfig;
import weldcross.pgwire.MessageEncoder;

/**
 * Two gateways with different configurations in one process, of which the first reloads the other's
 * while it serves: neither affects the other.
 */
class MultipleDeploymentsTest {

  /**
   * Other methods, effects, bounds, tenants, times to come back and dial times than {@link
   * GatewayTest#config}.
   */
  private static final String[] OTHER = {
    "\"name\":\"look\"",
    "\"name\":\"browse\"",
    "\"name\":\"file\"",
    "\"name\":\"order\"",
    "at_most_once",
    "idempotent",
    "[800000,0]",
    "[150000,0]",
    "acme",
    "zeta",
    "\"maxRetryAfter\":500000",
    "\"maxRetryAfter\":90000",
    "\"connectTimeout\":250000",
    "\"connectTimeout\":400000"
  };

  private final GatewayHarness one = GatewayHarness.serving();
  private final GatewayHarness other = GatewayHarness.serving(OTHER);
  private int nextRequest;

  @BeforeEach
  void firstReadsTheOthersConfiguration() {
    byte[] text = TestConfig.json(OTHER);
    one.dispatch(g -> g.configReload().reload(GatewayConfig.of(ConfigValues.ofJson(text))));
  }

  /** Asks, and returns the client's connection. */
  private long ask(GatewayHarness harness, boolean write, String method, String tenant) {
    String id = "a" + (900 + nextRequest++);
    long client = harness.connect();
    harness.history.deadlines.put(id, harness.now.plusMillis(900));
    harness.history.clientOf.put(id, client);
    String comment = " /* id=" + id + ",c=" + method + ",d=900,cluster=0,t=" + tenant + " */";
    harness.send(
        client,
        MessageEncoder.query(
            write
                ? "INSERT INTO kv (name, content) VALUES ('k', '\\x00') RETURNING content" + comment
                : "SELECT content FROM kv WHERE name = 'k'" + comment));
    return client;
  }

  private static String answer(GatewayHarness harness, long client) {
    return harness
        .connections
        .get(client)
        .takeReceived()
        .replaceAll("(?s).*\0C(\\w{5})\0M([\\w, ]+)\0.*", "$1 $2");
  }

  private static List<Long> statements(GatewayHarness harness) {
    return harness.busyConnections().stream()
        .filter(l -> !harness.connections.get(l).statement.startsWith("SHOW"))
        .toList();
  }

  @Test
  void requestClassesAndTenantsAreUnknownToOtherDeployments() {
    assertEquals("22023 unknown method", answer(one, ask(one, false, "browse", "acme")));
    assertEquals("22023 unknown tenant", answer(one, ask(one, false, "look", "zeta")));
    assertEquals("22023 unknown method", answer(other, ask(other, false, "look", "zeta")));
    assertEquals("22023 unknown tenant", answer(other, ask(other, false, "browse", "acme")));
    ask(one, false, "look", "acme");
    ask(other, false, "browse", "zeta");
    for (GatewayHarness harness : List.of(one, other)) {
      assertEquals(1, statements(harness).size());
    }
    assertTrue(one.connections.get(statements(one).get(0)).statement.contains("t=acme"));
    assertTrue(other.connections.get(statements(other).get(0)).statement.contains("t=zeta"));
  }

  /** What may be sent again at the one may never run twice at the other. */
  @Test
  void effectsStayWithTheirDeployment() {
    one.history.writes.add("a900");
    long mine = ask(one, true, "file", "acme");
    one.closeByServer(statements(one).get(0));
    assertEquals("58000 failed", answer(one, mine).substring(0, 12));
    assertTrue(statements(one).isEmpty());
    final long theirs = ask(other, true, "order", "zeta");
    FakeConnection carrying = other.connections.get(statements(other).get(0));
    assertTrue(carrying.statement.startsWith("INSERT"));
    // The model of the first customer's rules would take a second send for a broken rule.
    other.history.mayHaveRun.clear();
    other.history.openAttempts.clear();
    long connection = statements(other).get(0);
    carrying.statement = null;
    carrying.open = false;
    other.dispatch(
        g -> g.serverConnections().closed(connection, carrying.serverDecoder.partialResponse()));
    other.completeWrites();
    other.advance(150);
    assertFalse(statements(other).isEmpty(), "an idempotent write goes out again");
    assertEquals("", other.connections.get(theirs).takeReceived(), "and is not given up");
  }

  @Test
  void stalenessBoundsStayWithTheirDeployment() {
    for (GatewayHarness harness : List.of(one, other)) {
      harness.advance(400);
    }
    ask(one, false, "look", "acme");
    assertFalse(one.connections.get(statements(one).get(0)).server.equals("s-0"), "within 800 ms");
    ask(other, false, "browse", "zeta");
    other.advance(60);
    assertEquals("s-0", other.connections.get(statements(other).get(0)).server, "past 150 ms");
  }

  /** What the one has learnt of servers of the same names the other has to learn by itself. */
  @Test
  void learnedStateStaysWithItsDeployment() {
    GatewayHarness fresh = GatewayHarness.withEndpointList(OTHER);
    ask(fresh, false, "browse", "zeta");
    assertTrue(statements(fresh).isEmpty(), "it knows no position yet");
    assertEquals(Duration.ZERO, fresh.now);
    assertTrue(fresh.gateway.describe().contains("s-0 0/6 ?"), fresh.gateway.describe());
    assertFalse(one.gateway.describe().contains("s-0 0/6 ?"), one.gateway.describe());
  }

  /** What a reload cannot change is said to wait for a restart, and none of it holds before. */
  @Test
  void reloadChangesOnlyTheDiscoveryAddress() {
    assertEquals(
        List.of("settings"),
        GatewayConfig.of(ConfigValues.ofJson(TestConfig.json()))
            .keysThatNeedRestart(GatewayConfig.of(ConfigValues.ofJson(TestConfig.json(OTHER)))));
    one.unreachable.addAll(List.of("s-0", "s-1", "s-2"));
    List.copyOf(one.connections.keySet()).stream()
        .filter(
            n -> n < 0 && one.connections.get(n).discoveryPort == 0 && one.connections.get(n).open)
        .forEach(one::closeByServer);
    long client = ask(one, false, "look", "acme");
    one.advance(900);
    assertTrue(
        one.connections.get(client).takeReceived().contains("D500\0"),
        "come back after the first customer's time");
  }
}
