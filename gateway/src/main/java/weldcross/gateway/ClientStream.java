package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Supplier;
import weldcross.pgwire.ClientMessageDecoder;

/**
 * The byte stream of a client connection. Input is read and decoded even while the event loop takes
 * no messages, so that a disconnect is detected however much the client has sent before; {@link
 * ClientMemory} limits what is held of it. After the last response, input is read and discarded:
 * closing a socket with unread input resets the connection, and the client may lose the response.
 */
final class ClientStream extends Stream {

  /** Reading stops when more than this much input has been discarded after the last response. */
  private static final int MAX_DISCARDED_BYTES = 1 << 18;

  /**
   * How long input may be left unread until nothing more is begun for the client: half of the time
   * in which nothing may be begun any more for a client that has disconnected.
   */
  private static final Duration MAX_UNREAD_TIME = Duration.ofMillis(50);

  private final long connectionId;
  private final ReadBatch batch;
  private final Supplier<Duration> clock;
  private final GatheringIoProcessor processor;
  private final ClientMemory.Account memory;
  private final ClientMessageDecoder decoder;
  private final ClientInbox inbox;
  private long receivedBytes;
  private int discardedBytes;

  /** The pass in which the connection was last read; 0 if never. */
  private long lastReadPass;

  /** The last pass in which the connection was chosen while its queries were refused. */
  private long lastTurn;

  /** Since when input that had arrived has been left unread; null if all was read. */
  private Duration unreadSince;

  private volatile boolean inputBehind;

  /** Whether the connection was readable in the last pass and not read. */
  private boolean deferred;

  private volatile boolean discarding;

  /**
   * Creates the stream of an accepted connection.
   *
   * @param connectionId the connection's positive id
   * @param clock the time since the gateway's start
   * @param memory accounts for the client's messages
   */
  ClientStream(
      long connectionId,
      ReadBatch batch,
      GatheringIoProcessor processor,
      Supplier<Duration> clock,
      ClientMemory.Account memory) {
    this.connectionId = connectionId;
    this.batch = batch;
    this.clock = clock;
    this.processor = processor;
    this.memory = memory;
    this.inbox =
        new ClientInbox(
            connectionId,
            event -> batch.addForClient(connectionId, event),
            processor::afterPendingReads);
    this.decoder = MessageDecoders.forClient(inbox, batch::add, clock, connectionId, memory);
  }

  @Override
  void opened() {
    batch.clientAccepted(connectionId);
  }

  @Override
  void read(ByteBuffer in) {
    receivedBytes += in.remaining();
    // A connection that the pass before did not select had no more input then.
    boolean drainedBefore = !deferred && processor.pass() > lastReadPass + 1;
    lastReadPass = processor.pass();
    deferred = false;
    if (discarding) {
      inbox.clear();
      discardedBytes += in.remaining();
      if (discardedBytes > MAX_DISCARDED_BYTES) {
        session.suspendRead();
      }
    } else {
      // A read that leaves room in its buffer has taken all that had arrived.
      boolean drained = in.limit() < in.capacity();
      recordProgress(drained, drainedBefore);
      decoder.feed(in);
      if (drained) {
        memory.inputDrained();
      }
      inbox.deliver();
    }
  }

  /** Records whether all input that had arrived is read now, or was before this read. */
  private void recordProgress(boolean drained, boolean drainedBefore) {
    if (drained || drainedBefore) {
      unreadSince = null;
      inputBehind = false;
      memory.inputDrained();
    }
    if (drained) {
      return;
    }
    Duration now = clock.get();
    if (unreadSince == null) {
      unreadSince = now;
    } else if (!inputBehind && now.minus(unreadSince).compareTo(MAX_UNREAD_TIME) > 0) {
      inputBehind = true;
      memory.refuseUntilDrained();
      batch.addForClient(connectionId, g -> g.pipeline().inputFellBehind(connectionId));
    }
  }

  /**
   * Returns whether input of this client has been left unread for longer than {@link
   * #MAX_UNREAD_TIME}; may be called by any thread.
   */
  boolean isInputBehind() {
    return inputBehind;
  }

  /** Pauses or resumes passing on messages; called on the event loop's thread. */
  void setDelivering(boolean enabled) {
    inbox.setDelivering(enabled);
  }

  /** Returns whether queries are being refused until all input that has arrived is read. */
  boolean isRefusing() {
    return memory.isRefusing();
  }

  long lastTurn() {
    return lastTurn;
  }

  /** Records that the connection is one of those chosen in a pass while its queries are refused. */
  void takeTurn(long pass) {
    lastTurn = pass;
  }

  /** Records that the connection is readable and left to a later pass. */
  void defer() {
    deferred = true;
  }

  /** Whether at most this many messages, and no part of a further one, have been received. */
  boolean isQuiet(int messages) {
    return !deferred
        && decoder.messageCount() <= messages
        && !decoder.isInMessage()
        && inbox.isEmpty();
  }

  /**
   * Posts an event if a message is still incomplete once all input that has arrived is read, that
   * is, after a pass over all pending reads that brought no input of this client. Otherwise a
   * gateway that lacks CPU time would time out clients whose input has arrived. Called on the event
   * loop's thread.
   *
   * @param messages number of messages received before the incomplete one
   */
  void checkMessageIncomplete(int messages) {
    processor.afterPendingReads(() -> checkMessageIncomplete(messages, receivedBytes));
  }

  private void checkMessageIncomplete(int messages, long receivedBefore) {
    processor.afterPendingReads(
        () -> {
          if (decoder.messageCount() > messages || !decoder.isInMessage()) {
            return;
          }
          if (deferred || receivedBytes > receivedBefore) {
            checkMessageIncomplete(messages, receivedBytes);
          } else {
            batch.addForClient(
                connectionId, g -> g.clients().messageIncomplete(connectionId, messages));
          }
        });
  }

  /** Discards all further input; may be called from any thread. */
  void discardInput() {
    discarding = true;
    session.resumeRead();
  }

  @Override
  void written() {
    batch.addForClient(connectionId, g -> g.pipeline().responsesWritten(connectionId));
  }

  @Override
  void closed() {
    memory.close();
    batch.clientDisconnected(connectionId);
  }
}
