package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.connections.ResponseMemoryPolicy;
import weldcross.pgwire.ResponseAccount;

/** Accounting for the responses of servers. */
class ResponseMemoryTest {

  private static final int LIMIT = 1 << 20;
  private static final int LONG_ROW = 60_000;

  private final ResponseMemory memory = new ResponseMemory(new ResponseMemoryPolicy(LIMIT));
  private final ResponseMemory.ClientAccount client = memory.openAccount();

  @Test
  void responseIsAccountedForUntilItIsReleased() {
    ResponseAccount response = client.expectResponse();
    assertTrue(response.admitRow(LONG_ROW));
    assertTrue(response.admitWaiting());
    long bytes = LONG_ROW + ResponseMemory.RESPONSE_OVERHEAD_BYTES;
    assertEquals(List.of(bytes, bytes), List.of(memory.heldBytes(), memory.waitingBytes()));
    response.stopWaiting();
    assertEquals(List.of(bytes, 0L), List.of(memory.heldBytes(), memory.waitingBytes()));
    response.release();
    response.release();
    response.add(LONG_ROW);
    assertEquals(0, memory.heldBytes());
  }

  @Test
  void rowThatIsRefusedIsNotAccountedFor() {
    assertFalse(client.expectResponse().admitRow(LIMIT));
    assertEquals(0, memory.heldBytes());
  }

  /** Guards against memory that stays accounted for, of which less and less would be left. */
  @Test
  void nothingIsHeldOnceResponsesAreWrittenOrTheirClientsDisconnect() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    harness.slowReaders.add(client);
    final String first = harness.request(client, false, 900);
    final String second = harness.request(client, false, 900);
    harness.answer(harness.connectionOf(second), null);
    ResponseMemory held = harness.gateway.responseMemory();
    assertTrue(held.waitingBytes() > 0, "the second response waits");
    harness.answer(harness.connectionOf(first), null);
    assertTrue(held.heldBytes() > 0, "the responses are not read yet");
    assertEquals(0, held.waitingBytes());
    harness.disconnect(client);
    assertEquals(0, held.heldBytes());
    long other = harness.connect();
    harness.answer(harness.connectionOf(harness.request(other, false, 900)), null);
    assertEquals(0, held.heldBytes());
  }

  /** Guards against the memory of a response that its server has begun and not ended. */
  @Test
  void nothingIsHeldOfAResponseWhoseConnectionCloses() {
    GatewayHarness harness = GatewayHarness.serving();
    long connection = harness.connectionOf(harness.request(harness.connect(), false, 900));
    byte[] rowDescription = ServerMessages.message('T', ServerMessages.ROW_DESCRIPTION_BODY);
    harness.serverSends(harness.connections.get(connection), ByteBuffer.wrap(rowDescription));
    assertTrue(harness.gateway.responseMemory().heldBytes() > 0);
    harness.closeByServer(connection);
    assertEquals(0, harness.gateway.responseMemory().heldBytes());
  }
}
