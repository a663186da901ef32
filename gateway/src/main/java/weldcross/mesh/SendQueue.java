package weldcross.mesh;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Optional;

/**
 * Messages that are queued for one peer, and the bytes written to its connection and not yet taken
 * by the network. Both are bounded.
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
  private long dropped;

  SendQueue(MeshConfig config) {
    this.config = config;
  }

  /** Whether a message may go out at once: nothing is queued before it and the network keeps up. */
  boolean canWriteNow(int size) {
    return queue.isEmpty() && unwrittenBytes + size <= config.maxQueuedBytes();
  }

  /** Counts bytes written and not yet taken by the network. */
  void writing(int bytes) {
    unwrittenBytes += bytes;
  }

  /** Counts bytes as taken by the network. */
  void written(int bytes) {
    unwrittenBytes = Math.max(0, unwrittenBytes - bytes);
  }

  /**
   * Queues a message.
   *
   * @param mayBeLost whether the oldest messages are dropped where there is no room for it
   * @return false where it was dropped, as there is no room
   */
  boolean offer(QueuedMessage message, boolean mayBeLost) {
    while (mayBeLost && !queue.isEmpty() && isFull(message.size())) {
      queuedBytes -= queue.poll().size();
      dropped++;
    }
    if (isFull(message.size())) {
      dropped++;
      return false;
    }
    queue.add(message);
    queuedBytes += message.size();
    return true;
  }

  private boolean isFull(int moreBytes) {
    return queue.size() + 1 > config.maxQueuedMessages()
        || queuedBytes + moreBytes > config.maxQueuedBytes();
  }

  /**
   * Takes the next message that may be written now; empty where there is none. A message longer
   * than the bound may be written when nothing else is on its way.
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

  /** The connection ended: what was written to it is not waited for any more. */
  void forgetUnwritten() {
    unwrittenBytes = 0;
  }

  /** Drops all queued messages. */
  void dropAll() {
    dropped += queue.size();
    queue.clear();
    queuedBytes = 0;
  }

  int messages() {
    return queue.size();
  }

  /** Bytes queued, and bytes written and not yet taken by the network. */
  int bytes() {
    return queuedBytes + unwrittenBytes;
  }

  /** How many messages were dropped since the start. */
  long dropped() {
    return dropped;
  }
}
