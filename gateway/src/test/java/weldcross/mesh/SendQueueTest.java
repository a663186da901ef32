package weldcross.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** The limits are 8 messages and 400 bytes. */
class SendQueueTest {

  private final SendQueue queue = new SendQueue(MeshSimulation.CONFIG);

  private static SendQueue.QueuedMessage message(int subject, int size) {
    return new SendQueue.QueuedMessage(subject, ByteBuffer.allocate(size));
  }

  private int nextSubject() {
    return queue.pollWritable().orElseThrow().subject();
  }

  @Test
  void messagesArePolledInTheOrderTheyWereQueued() {
    assertTrue(queue.offer(message(1, 10), false));
    assertTrue(queue.offer(message(2, 10), false));
    assertEquals(1, nextSubject());
    assertEquals(2, nextSubject());
    assertEquals(Optional.empty(), queue.pollWritable());
  }

  @Test
  void messageIsDroppedWhenTheMessageLimitIsReached() {
    for (int k = 0; k < 8; k++) {
      assertTrue(queue.offer(message(k, 1), false));
    }
    assertFalse(queue.offer(message(8, 1), false));
    assertEquals(8, queue.messageCount());
    assertEquals(1, queue.droppedCount());
  }

  @Test
  void messageQueuedWithDropOldestReplacesTheOldest() {
    for (int k = 0; k < 4; k++) {
      assertTrue(queue.offer(message(k, 100), false));
    }
    assertTrue(queue.offer(message(4, 150), true));
    assertEquals(2, queue.droppedCount());
    assertEquals(350, queue.totalBytes());
    assertEquals(2, nextSubject());
  }

  @Test
  void messageWaitsUntilEnoughBytesAreWritten() {
    queue.onWriteStarted(390);
    assertFalse(queue.canWriteNow(20));
    assertTrue(queue.offer(message(1, 20), false));
    assertEquals(Optional.empty(), queue.pollWritable());
    queue.onWriteCompleted(10);
    assertEquals(1, nextSubject());
    assertEquals(400, queue.totalBytes());
  }

  @Test
  void queuedMessagesAreSentBeforeLaterOnes() {
    assertTrue(queue.canWriteNow(10));
    assertTrue(queue.offer(message(1, 10), false));
    assertFalse(queue.canWriteNow(10));
  }

  @Test
  void resetAndDropAllEmptyTheQueue() {
    queue.onWriteStarted(100);
    assertTrue(queue.offer(message(1, 10), false));
    queue.resetUnwritten();
    queue.dropAll();
    assertEquals(0, queue.totalBytes());
    assertEquals(0, queue.messageCount());
    assertEquals(1, queue.droppedCount());
  }
}
