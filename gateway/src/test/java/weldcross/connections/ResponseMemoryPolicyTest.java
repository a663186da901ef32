package weldcross.connections;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which rows of servers may be held in memory. */
class ResponseMemoryPolicyTest {

  private static final long LIMIT = 24 << 20;
  private static final int LONG_ROW = 65_600;

  private final ResponseMemoryPolicy policy = new ResponseMemoryPolicy(LIMIT);

  /** Lets a client's long rows wait until one is refused; returns what all hold then. */
  private long fillWaiting(long waitingBytes) {
    long clientBytes = 0;
    while (policy.mayWait(clientBytes, waitingBytes + clientBytes, LONG_ROW)) {
      clientBytes += LONG_ROW;
    }
    return waitingBytes + clientBytes;
  }

  @Test
  void clientIsServedWhateverRowsOfOthersWait() {
    long waiting = 0;
    for (int client = 0; client < 400; client++) {
      waiting = fillWaiting(waiting);
    }
    assertFalse(policy.mayWait(0, waiting, LONG_ROW));
    assertTrue(policy.mayReceive(0, waiting, LONG_ROW));
  }

  /** A third of 1,024 descriptors may be clients with a request. */
  @Test
  void eachOfManyClientsMayReceiveOneLongRow() {
    for (int client = 0; client < 341; client++) {
      assertTrue(policy.mayReceive(0, (long) client * LONG_ROW, LONG_ROW), "client " + client);
    }
  }

  @Test
  void shortRowIsHeldInAnyCase() {
    assertTrue(policy.mayReceive(LIMIT, 2 * LIMIT, 1_024));
    assertTrue(policy.mayWait(LIMIT, 2 * LIMIT, 1_024));
    assertFalse(policy.mayReceive(0, LIMIT, 1_025));
    assertFalse(policy.mayWait(0, LIMIT, 1_025));
  }
}
