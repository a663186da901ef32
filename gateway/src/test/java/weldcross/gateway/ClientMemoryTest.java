package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import weldcross.connections.ClientMemoryPolicy;
import weldcross.pgwire.ClientMessageDecoder;
import weldcross.pgwire.MessageEncoder;

/** What is accounted for a client's messages, and when it is given back. */
class ClientMemoryTest {

  private static final int MESSAGE = 10_000;
  private static final long HELD = MESSAGE + ClientMemory.REQUEST_OVERHEAD_BYTES;

  private final ClientMemory memory = new ClientMemory(new ClientMemoryPolicy(1 << 20));
  private final ClientMemory.Account account = memory.openAccount();

  private ClientMemory.RequestMemory receive() {
    assertTrue(account.admit(MESSAGE));
    return account.messageReceived();
  }

  @Test
  void memoryIsHeldFromTheHeaderToTheEndOfTheRequest() {
    assertTrue(account.admit(MESSAGE));
    assertEquals(HELD, memory.heldBytes());
    ClientMemory.RequestMemory request = account.messageReceived();
    request.start();
    assertEquals(HELD, memory.heldBytes());
    request.release();
    request.release();
    assertEquals(0, memory.heldBytes());
  }

  /** A message that waits is dropped with its connection; one whose request started is not yet. */
  @Test
  void closeGivesBackWhatNoStartedRequestNeeds() {
    ClientMemory.RequestMemory started = receive();
    started.start();
    final ClientMemory.RequestMemory waiting = receive();
    assertTrue(account.admit(MESSAGE));
    account.close();
    assertEquals(HELD, memory.heldBytes());
    waiting.release();
    started.release();
    assertEquals(0, memory.heldBytes());
  }

  /** The event loop may handle a message before it learns that the connection has closed. */
  @Test
  void requestThatStartsAfterTheCloseIsHeldUntilItEnds() {
    ClientMemory.RequestMemory request = receive();
    account.close();
    request.start();
    assertEquals(HELD, memory.heldBytes());
    request.release();
    assertEquals(0, memory.heldBytes());
  }

  /** Guards against long keys, whose text is held beside their message and was not counted. */
  @Test
  void textOfAStatementIsHeldBesideItsMessage() {
    ByteBuffer query =
        MessageEncoder.query(
            "SELECT content FROM kv WHERE name = '"
                + "k".repeat(MESSAGE)
                + "' /* id=a,c=look,d=900,cluster=0 */");
    long messageBytes = query.remaining();
    ClientMessageQueue queue = ClientMessageQueue.direct(1, event -> {});
    ClientMessageDecoder decoder =
        MessageDecoders.forClient(queue, event -> {}, () -> Duration.ZERO, 1, account);
    decoder.feed(MessageEncoder.startup());
    decoder.feed(query);
    assertTrue(memory.heldBytes() >= messageBytes + MESSAGE, memory.describe());
    account.close();
    assertEquals(0, memory.heldBytes());
  }

  @Test
  void refusedMessageIsNotHeld() {
    while (account.admit(MESSAGE)) {
      account.messageReceived();
    }
    long held = memory.heldBytes();
    assertFalse(account.admit(MESSAGE));
    assertEquals(held, memory.heldBytes());
    assertTrue(memory.describe().endsWith(" 2 messages refused"), memory.describe());
  }
}
