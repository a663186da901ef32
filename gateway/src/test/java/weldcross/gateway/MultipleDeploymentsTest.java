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
 * Two gateways with different configurations in one process, of which the first reloads the
 * configuration of the second while it serves, must not affect each other.
 */
class MultipleDeploymentsTest {

  /**
   * Changes to the request classes, effects, staleness bounds, tenants, Retry-After limit and
   * connect timeout of {@link TestConfig#json}.
   */
  private static final String[] SECOND_CONFIG = {
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

  private final GatewayHarness first = GatewayHarness.serving();
  private final GatewayHarness second = GatewayHarness.serving(SECOND_CONFIG);
  private int nextRequest;

  @BeforeEach
  void reloadFirstGatewayWithConfigOfSecond() {
    byte[] config = TestConfig.json(SECOND_CONFIG);
    first.dispatch(g -> g.configReload().reload(GatewayConfig.of(ConfigValues.ofJson(config))));
  }

  /** Sends a request from a new client; returns the client's connection. */
  private long sendRequest(
      GatewayHarness harness, boolean write, String requestClass, String tenant) {
    String id = "a" + (900 + nextRequest++);
    long client = harness.connect();
    harness.history.requestSent(id, client, harness.now.plusMillis(900));
    String comment = " /* id=" + id + ",c=" + requestClass + ",d=900,cluster=0,t=" + tenant + " */";
    harness.send(
        client,
        MessageEncoder.query(
            write
                ? "INSERT INTO kv (name, content) VALUES ('k', '\\x00') RETURNING content" + comment
                : "SELECT content FROM kv WHERE name = 'k'" + comment));
    return client;
  }

  /** Returns the SQLSTATE and message of the error that a client received. */
  private static String takeError(GatewayHarness harness, long client) {
    return harness
        .connections
        .get(client)
        .takeReceived()
        .replaceAll("(?s).*\0C(\\w{5})\0M([\\w, ]+)\0.*", "$1 $2");
  }

  /** Returns the server connections with a client's statement in progress. */
  private static List<Long> connectionsWithStatements(GatewayHarness harness) {
    return harness.busyConnections().stream()
        .filter(connection -> !harness.connections.get(connection).statement.startsWith("SHOW"))
        .toList();
  }

  @Test
  void requestClassesAndTenantsAreUnknownToOtherDeployments() {
    assertEquals(
        "22023 unknown method", takeError(first, sendRequest(first, false, "browse", "acme")));
    assertEquals(
        "22023 unknown tenant", takeError(first, sendRequest(first, false, "look", "zeta")));
    assertEquals(
        "22023 unknown method", takeError(second, sendRequest(second, false, "look", "zeta")));
    assertEquals(
        "22023 unknown tenant", takeError(second, sendRequest(second, false, "browse", "acme")));
    sendRequest(first, false, "look", "acme");
    sendRequest(second, false, "browse", "zeta");
    for (GatewayHarness harness : List.of(first, second)) {
      assertEquals(1, connectionsWithStatements(harness).size());
    }
    assertTrue(
        first
            .connections
            .get(connectionsWithStatements(first).get(0))
            .statement
            .contains("t=acme"));
    assertTrue(
        second
            .connections
            .get(connectionsWithStatements(second).get(0))
            .statement
            .contains("t=zeta"));
  }

  /** A write that may be retried in one deployment may have to run at most once in the other. */
  @Test
  void retrySafetyOfWritesIsSpecificToItsDeployment() {
    first.history.writes.add("a900");
    long firstClient = sendRequest(first, true, "file", "acme");
    first.closeByServer(connectionsWithStatements(first).get(0));
    assertEquals("58000 failed", takeError(first, firstClient).substring(0, 12));
    assertTrue(connectionsWithStatements(first).isEmpty());
    final long secondClient = sendRequest(second, true, "order", "zeta");
    FakeConnection interrupted = second.connections.get(connectionsWithStatements(second).get(0));
    assertTrue(interrupted.statement.startsWith("INSERT"));
    // The history would report the second attempt as a violation, as it treats all writes as
    // non-idempotent.
    second.history.mayHaveRun.clear();
    second.history.openAttempts.clear();
    long connection = connectionsWithStatements(second).get(0);
    interrupted.statement = null;
    interrupted.open = false;
    second.dispatch(
        g -> g.serverConnections().closed(connection, interrupted.serverDecoder.partialResponse()));
    second.completeWrites();
    second.advance(150);
    assertFalse(connectionsWithStatements(second).isEmpty(), "an idempotent write is retried");
    assertEquals("", second.connections.get(secondClient).takeReceived(), "and not failed");
  }

  @Test
  void stalenessBoundsAreSpecificToTheirDeployment() {
    for (GatewayHarness harness : List.of(first, second)) {
      harness.advance(400);
    }
    sendRequest(first, false, "look", "acme");
    assertFalse(
        first.connections.get(connectionsWithStatements(first).get(0)).server.equals("s-0"),
        "within the bound of 800 ms");
    sendRequest(second, false, "browse", "zeta");
    second.advance(60);
    assertEquals(
        "s-0",
        second.connections.get(connectionsWithStatements(second).get(0)).server,
        "past the bound of 150 ms");
  }

  /** Deployments do not share observations about servers with equal names. */
  @Test
  void observationsOfServersAreSpecificToTheirDeployment() {
    GatewayHarness fresh = GatewayHarness.withEndpointList(SECOND_CONFIG);
    sendRequest(fresh, false, "browse", "zeta");
    assertTrue(connectionsWithStatements(fresh).isEmpty(), "no replication position is known yet");
    assertEquals(Duration.ZERO, fresh.now);
    assertTrue(fresh.gateway.describe().contains("s-0 0/6 ?"), fresh.gateway.describe());
    assertFalse(first.gateway.describe().contains("s-0 0/6 ?"), first.gateway.describe());
  }

  /** Settings that need a restart are reported and keep their old values until then. */
  @Test
  void reloadChangesOnlyTheDiscoveryAddress() {
    assertEquals(
        List.of("settings"),
        GatewayConfig.of(ConfigValues.ofJson(TestConfig.json()))
            .keysThatNeedRestart(
                GatewayConfig.of(ConfigValues.ofJson(TestConfig.json(SECOND_CONFIG)))));
    first.unreachable.addAll(List.of("s-0", "s-1", "s-2"));
    List.copyOf(first.connections.keySet()).stream()
        .filter(
            id ->
                id < 0
                    && first.connections.get(id).discoveryPort == 0
                    && first.connections.get(id).open)
        .forEach(first::closeByServer);
    long client = sendRequest(first, false, "look", "acme");
    first.advance(900);
    assertTrue(
        first.connections.get(client).takeReceived().contains("D500\0"),
        "Retry-After limit of the first configuration");
  }
}
