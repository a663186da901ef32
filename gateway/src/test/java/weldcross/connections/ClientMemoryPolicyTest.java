package weldcross.connections;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which messages of clients may be held in memory. */
class ClientMemoryPolicyTest {

  private static final long LIMIT = 24 << 20;
  private static final int LONG_MESSAGE = 132_000;
  private static final int SHORT_MESSAGE = 1_200;

  private final ClientMemoryPolicy policy = new ClientMemoryPolicy(LIMIT);

  /** Admits messages of clients in turn until each is refused; returns what they hold together. */
  private long fill(int clients, int messageBytes) {
    long[] held = new long[clients];
    long total = 0;
    for (boolean admitted = true; admitted; ) {
      admitted = false;
      for (int client = 0; client < clients; client++) {
        if (policy.admits(held[client], total, messageBytes)) {
          held[client] += messageBytes;
          total += messageBytes;
          admitted = true;
        }
      }
    }
    return total;
  }

  @Test
  void clientsThatSendMuchStayWithinTheLimitHoweverMany() {
    for (int clients = 1; clients <= 400; clients++) {
      assertTrue(fill(clients, LONG_MESSAGE) <= LIMIT, clients + " clients");
    }
  }

  @Test
  void oneClientMayHoldHundredsOfMessages() {
    assertTrue(fill(1, SHORT_MESSAGE) / SHORT_MESSAGE > 500);
  }

  /** Guards usual clients against a flood: what the others hold leaves them their first request. */
  @Test
  void furtherClientIsServedBesideManyThatSendMuch() {
    long held = fill(383, SHORT_MESSAGE);
    assertTrue(policy.admits(0, held, SHORT_MESSAGE));
    assertTrue(policy.admits(0, LIMIT, SHORT_MESSAGE), "from its reserve");
    assertFalse(policy.admits(ClientMemoryPolicy.RESERVED_BYTES, LIMIT, SHORT_MESSAGE));
    assertFalse(policy.admits(0, LIMIT, LONG_MESSAGE));
  }
}
