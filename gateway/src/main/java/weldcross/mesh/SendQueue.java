package weldcross.mesh;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Optional;

/**
 * Bounded queue of messages for one peer. Also limits the bytes passed to the peer's connection and
 * not yet written to the network.
 */
final class SendQueue {

  record QueuedMessage(int subject, ByteBuffer content) {

    int size() {
      return content.remaining();
    }
  }

  private final MeshConfig config;
  private final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
  private int queuedBytes;
  private int unwrittenBytes;
  private long droppedCount;

  SendQueue(MeshConfig config) {
    this.config = config;
  }

  /**
   * Whether a message of this size may be passed to the connection without queueing: no message is
   * queued before it, and the unwritten bytes stay within the limit.
   */
  boolean canWriteNow(int size) {
    return queue.isEmpty() && unwrittenBytes + size <= config.maxQueuedBytes();
  }

  /** Records that bytes were passed to the connection and are not yet written to the network. */
  void onWriteStarted(int bytes) {
    unwrittenBytes += bytes;
  }

  /** Records that bytes were written to the network. */
  void onWriteCompleted(int bytes) {
    unwrittenBytes = Math.max(0, unwrittenBytes - bytes);
  }

  /**
   * Queues a message.
   *
   * @param dropOldest whether the oldest queued messages are dropped to make room for this one
   * @return false if the message was dropped because the queue is full
   */
  boolean offer(QueuedMessage message, boolean dropOldest) {
    while (dropOldest && !queue.isEmpty() && isFull(message.size())) {
      queuedBytes -= queue.poll().size();
      droppedCount++;
    }
    if (isFull(message.size())) {
      droppedCount++;
      return false;
    }
    queue.add(message);
    queuedBytes += message.size();
    return true;
  }

  private boolean isFull(int additionalBytes) {
    return queue.size() + 1 > config.maxQueuedMessages()
        || queuedBytes + additionalBytes > config.maxQueuedBytes();
  }

  /**
   * Removes and returns the next message that may be passed to the connection now; empty if there
   * is none. A message larger than the limit is returned only when no unwritten bytes are pending.
   */
  Optional<QueuedMessage> pollWritable() {
    QueuedMessage next = queue.peek();
    if (next == null
        || (unwrittenBytes > 0 && unwrittenBytes + next.size() > config.maxQueuedBytes())) {
      return Optional.empty();
    }
    queue.remove();
    queuedBytes -= next.size();
    unwrittenBytes += next.size();
    return Optional.of(next);
  }

  /** Resets the count of unwritten bytes after the connection ended. */
  void resetUnwritten() {
    unwrittenBytes = 0;
  }

  /** Drops all queued messages. */
  void dropAll() {
    droppedCount += queue.size();
    queue.clear();
    queuedBytes = 0;
  }

  int messageCount() {
    return queue.size();
  }

  /** Bytes queued plus bytes passed to the connection and not yet written to the network. */
  int totalBytes() {
    return queuedBytes + unwrittenBytes;
  }

  /** Messages dropped since the gateway started. */
  long droppedCount() {
    return droppedCount;
  }
}
