package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import weldcross.config.ConfigValues;
import weldcross.config.GatewayConfig;

/** Configuration reloads while the gateway serves, and changes of the discovery address by them. */
class ConfigReloadTest {

  @Test
  void newDiscoveryAddressReplacesTheOldOneAtItsFirstList() {
    GatewayHarness harness = GatewayHarness.serving();
    long old = harness.discovery;
    harness.dispatch(g -> g.discovery().connected(old));
    harness.listEndpoints(41, true, "active");
    harness.reload(2);
    long first = harness.discovery;
    harness.reload(3);
    long second = harness.discovery;
    assertTrue(harness.connections.get(first).dropped, "superseded by the second reload");
    harness.dispatch(g -> g.discovery().connected(second));
    assertTrue(
        harness.connections.get(second).takeReceived().startsWith("GET /catalog/members HTTP"),
        "requests the complete list, so that no change is missed");
    assertFalse(harness.connections.get(old).dropped, "kept until the new address responds");
    harness.discovery = old;
    harness.listEndpoints(42, false, "leaving");
    harness.discovery = second;
    harness.listEndpoints(42, true, "leaving");
    assertTrue(harness.connections.get(old).dropped);
    assertTrue(harness.connections.get(second).takeReceived().contains("?since=42&"));
    harness.dispatch(g -> g.discovery().closed(old));
    assertEquals(second, harness.discovery, "the old address is not used again");
  }

  @Test
  void oldDiscoveryAddressThatClosesFirstIsAbandoned() {
    GatewayHarness harness = GatewayHarness.serving();
    long old = harness.discovery;
    harness.dispatch(g -> g.discovery().connected(old));
    harness.listEndpoints(41, true, "active");
    harness.reload(2);
    long next = harness.discovery;
    harness.dispatch(g -> g.discovery().closed(old));
    harness.advance(1300);
    assertFalse(harness.discovery == next, "the new address does not respond and is reconnected");
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.listEndpoints(43, true, "active");
    harness.reload(2);
    harness.reload(1);
    long back = harness.discovery;
    harness.dispatch(g -> g.discovery().connected(back));
    harness.listEndpoints(44, true, "active");
    assertTrue(harness.connections.get(back).takeReceived().contains("?since=44&"));
    harness.reload(1);
    assertEquals(back, harness.discovery, "same address: no reconnect");
  }

  @Test
  void keysThatNeedARestartAreLogged() {
    GatewayHarness harness = GatewayHarness.serving();
    List<String> lines =
        GatewayHarness.logged(
            () -> {
              harness.dispatch(
                  g ->
                      g.configReload()
                          .reload(
                              GatewayConfig.of(
                                  ConfigValues.ofJson(
                                      TestConfig.json(
                                          "\"sockets\":1024",
                                          "\"sockets\":512",
                                          "\"tryLimit\":10",
                                          "\"tryLimit\":9",
                                          "8c1f",
                                          "8c20")))));
              harness.dispatch(g -> g.configReload().failed("limits.sockets: found 'x'"));
            });
    assertEquals(
        "configuration reloaded: restart needed for keys=limits.sockets,settings", lines.get(0));
    assertEquals(
        "configuration reload failed, keeping the current configuration:"
            + " reason=limits.sockets: found 'x'",
        lines.get(1));
    harness.request(harness.connect(), false, 500);
  }

  /** An endpoint list with an older revision must not undo a drain. */
  @Test
  void olderListFromANewDiscoveryAddressRevertsNothing() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.listEndpoints(42, true, "leaving");
    harness.reload(2);
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.listEndpoints(40, true, "active");
    assertTrue(
        harness
            .connections
            .get(harness.discovery)
            .takeReceived()
            .endsWith(
                "since=40&timeout_ms=1500 HTTP/1.1\r\nHost: 127.0.0.1:2"
                    + "\r\nAccept: application/json\r\n\r\n"),
        "watches from the revision of that list");
    assertFalse(serversOf(harness, 40).contains("s-1"), "request sent to a draining server");
    harness.listEndpoints(41, false, "active");
    assertFalse(serversOf(harness, 40).contains("s-1"), "request sent to a draining server");
    harness.listEndpoints(43, false, "active");
    assertTrue(serversOf(harness, 40).contains("s-1"), "a newer revision applies");
    harness.listEndpoints(45, false, "leaving");
    harness.reload(3);
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.listEndpoints(5, true, "active");
    harness.advance(5_000);
    harness.listEndpoints(5, false, "active");
    assertTrue(harness.connections.get(harness.discovery).takeReceived().contains("?since=5&"));
    harness.advance(5_000);
    harness.listEndpoints(5, false, "active");
    assertTrue(
        harness
            .connections
            .get(harness.discovery)
            .takeReceived()
            .contains("GET /catalog/members HTTP"),
        "requests the complete list again");
    assertFalse(serversOf(harness, 40).contains("s-1"));
    harness.listEndpoints(5, true, "active");
    assertTrue(serversOf(harness, 40).contains("s-1"));
  }

  /** A drain applies even if it is listed with an older revision. */
  @Test
  void drainInAnOlderListFromANewDiscoveryAddressApplies() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.listEndpoints(42, true, "active");
    harness.reload(2);
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.listEndpoints(7, true, "leaving");
    assertFalse(serversOf(harness, 40).contains("s-1"), "request sent to a draining server");
  }

  private static Set<String> serversOf(GatewayHarness harness, int requests) {
    Set<String> servers = new HashSet<>();
    long client = harness.connect();
    for (int k = 0; k < requests; k++) {
      harness.request(client, false, 500);
      harness
          .busyConnections()
          .forEach(
              connection -> {
                servers.add(harness.connections.get(connection).server);
                harness.answer(connection, null);
              });
      harness.advance(20);
    }
    return servers;
  }
}
