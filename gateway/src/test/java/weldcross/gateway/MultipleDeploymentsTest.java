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
import weldcross.gateway.GatewayTest.Wire;
import weldcross.gateway.GatewayTest.World;
import weldcross.pgwire.MessageEncoder;

/**
 * Two gateways of two customers in one process, the first told to read the other's configuration
 * while it serves: nothing of the one is found in the other.
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

  private final World one = World.serving();
  private final World other = World.serving(OTHER);
  private int named;

  @BeforeEach
  void firstReadsTheOthersConfiguration() {
    byte[] text = GatewayTest.config(OTHER);
    one.tell(g -> g.configReload().reload(GatewayConfig.of(ConfigValues.ofJson(text))));
  }

  /** Asks, and returns the client's connection. */
  private long ask(World w, boolean write, String method, String tenant) {
    String id = "a" + (900 + named++);
    long client = w.connect();
    w.deadlines.put(id, w.now.plusMillis(900));
    w.askedBy.put(id, client);
    String comment = " /* id=" + id + ",c=" + method + ",d=900,cluster=0,t=" + tenant + " */";
    w.say(
        client,
        MessageEncoder.query(
            write
                ? "INSERT INTO kv (name, content) VALUES ('k', '\\x00') RETURNING content" + comment
                : "SELECT content FROM kv WHERE name = 'k'" + comment));
    return client;
  }

  private static String answer(World w, long client) {
    return w.wires.get(client).take().replaceAll("(?s).*\0C(\\w{5})\0M([\\w, ]+)\0.*", "$1 $2");
  }

  private static List<Long> statements(World w) {
    return w.asked().stream().filter(l -> !w.wires.get(l).statement.startsWith("SHOW")).toList();
  }

  @Test
  void methodsAndTenantsOfTheOneAreUnknownToTheOther() {
    assertEquals("22023 unknown method", answer(one, ask(one, false, "browse", "acme")));
    assertEquals("22023 unknown tenant", answer(one, ask(one, false, "look", "zeta")));
    assertEquals("22023 unknown method", answer(other, ask(other, false, "look", "zeta")));
    assertEquals("22023 unknown tenant", answer(other, ask(other, false, "browse", "acme")));
    ask(one, false, "look", "acme");
    ask(other, false, "browse", "zeta");
    for (World w : List.of(one, other)) {
      assertEquals(1, statements(w).size());
    }
    assertTrue(one.wires.get(statements(one).get(0)).statement.contains("t=acme"));
    assertTrue(other.wires.get(statements(other).get(0)).statement.contains("t=zeta"));
  }

  /** What may be sent again at the one may never run twice at the other. */
  @Test
  void effectsStayWithTheirCustomer() {
    one.writes.add("a900");
    long mine = ask(one, true, "file", "acme");
    one.end(statements(one).get(0));
    assertEquals("58000 failed", answer(one, mine).substring(0, 12));
    assertTrue(statements(one).isEmpty());
    long theirs = ask(other, true, "order", "zeta");
    Wire wire = other.wires.get(statements(other).get(0));
    assertTrue(wire.statement.startsWith("INSERT"));
    // The model of the first customer's rules would take a second send for a broken rule.
    other.mayHaveRun.clear();
    other.outOn.clear();
    long link = statements(other).get(0);
    wire.statement = null;
    wire.open = false;
    other.tell(g -> g.serverConnections().closed(link, wire.reader.partialResponse()));
    other.flush();
    other.wait(150);
    assertFalse(statements(other).isEmpty(), "an idempotent write goes out again");
    assertEquals("", other.wires.get(theirs).take(), "and is not given up");
  }

  @Test
  void boundsStayWithTheirCustomer() {
    for (World w : List.of(one, other)) {
      w.wait(400);
    }
    ask(one, false, "look", "acme");
    assertFalse(one.wires.get(statements(one).get(0)).server.equals("s-0"), "within 800 ms");
    ask(other, false, "browse", "zeta");
    other.wait(60);
    assertEquals("s-0", other.wires.get(statements(other).get(0)).server, "past 150 ms");
  }

  /** What the one has learnt of servers of the same names the other has to learn by itself. */
  @Test
  void whatIsLearntStaysWithItsCustomer() {
    World fresh = World.listed(OTHER);
    ask(fresh, false, "browse", "zeta");
    assertTrue(statements(fresh).isEmpty(), "it knows no position yet");
    assertEquals(Duration.ZERO, fresh.now);
    assertTrue(fresh.gateway.describe().contains("s-0 0/6 ?"), fresh.gateway.describe());
    assertFalse(one.gateway.describe().contains("s-0 0/6 ?"), one.gateway.describe());
  }

  /** What a reload cannot change is said to wait for a restart, and none of it holds before. */
  @Test
  void onlyDiscoveryMovesWithAReload() {
    assertEquals(
        List.of("settings"),
        GatewayConfig.of(ConfigValues.ofJson(GatewayTest.config()))
            .keysThatNeedRestart(GatewayConfig.of(ConfigValues.ofJson(GatewayTest.config(OTHER)))));
    one.silent.addAll(List.of("s-0", "s-1", "s-2"));
    List.copyOf(one.wires.keySet()).stream()
        .filter(n -> n < 0 && one.wires.get(n).port == 0 && one.wires.get(n).open)
        .forEach(one::end);
    long client = ask(one, false, "look", "acme");
    one.wait(900);
    assertTrue(
        one.wires.get(client).take().contains("D500\0"),
        "come back after the first customer's time");
  }
}
