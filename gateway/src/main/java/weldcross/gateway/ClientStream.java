package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Supplier;
import weldcross.connections.UnreadInputPolicy;
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

  private final long connectionId;
  private final ReadBatch batch;
  private final Supplier<Duration> clock;
  private final GatheringIoProcessor processor;
  private final ClientMemory.Account memory;
  private final ClientMessageDecoder decoder;
  private final ClientInbox inbox;
  private long receivedBytes;
  private int discardedBytes;

  /** The last pass in which the connection was readable; 0 if there was none. */
  private long lastReadablePass;

  /** The last pass in which the connection was chosen while its queries were refused. */
  private long lastTurn;

  /** Since when input that may have arrived has been left unread; null if all was read. */
  private volatile Duration unreadSince;

  /** When a read took all that had arrived; null if the last one may have left input unread. */
  private Duration emptiedAt;

  /** Whether received messages are held back until it is known if the connection has ended. */
  private boolean heldBack;

  /** Whether the event loop was notified that reading is behind. */
  private boolean behindReported;

  private volatile boolean closed;

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
    deferred = false;
    if (discarding) {
      inbox.clear();
      discardedBytes += in.remaining();
      if (discardedBytes > MAX_DISCARDED_BYTES) {
        session.suspendRead();
      }
    } else {
      // A read that leaves room in its buffer has taken all bytes that had arrived. The end of the
      // connection may follow them; only a pass that finds nothing to read shows that it does not.
      boolean leavesRoom = in.limit() < in.capacity();
      recordMoreInput();
      emptiedAt = leavesRoom ? clock.get() : null;
      if (!leavesRoom || unreadSince != null) {
        recordUnread();
      }
      decoder.feed(in);
      deliver(leavesRoom);
    }
  }

  /**
   * Records that input follows what was read before. If that was all that had arrived by then, the
   * connection had not ended, and nothing that is older is unread.
   */
  private void recordMoreInput() {
    if (unreadSince != null && emptiedAt != null) {
      unreadSince = emptiedAt;
      behindReported = false;
      memory.inputDrained();
    }
  }

  /**
   * Delivers what was received. If that is all that had arrived, but came in over a long time, it
   * is held back until the next pass or read shows whether the connection has ended; a long message
   * would be refused otherwise.
   */
  private void deliver(boolean allRead) {
    heldBack = allRead && !heldBack && mayBeDisconnected();
    if (!heldBack) {
      inbox.deliver();
    }
  }

  /** Records that more may have arrived than was read. */
  private void recordUnread() {
    if (unreadSince == null) {
      unreadSince = clock.get();
      processor.inputLeftUnread(this);
    } else if (!behindReported && mayBeDisconnected()) {
      behindReported = true;
      memory.refuseUntilDrained();
      batch.addForClient(connectionId, g -> g.pipeline().inputFellBehind(connectionId));
    }
  }

  /** Records that all that had arrived was read. */
  void inputDrained() {
    unreadSince = null;
    behindReported = false;
    memory.inputDrained();
    if (heldBack) {
      heldBack = false;
      inbox.deliver();
    }
  }

  /**
   * Returns whether the client has disconnected, or may have behind unread input. Evaluated at the
   * time of the call, as the next read may be delayed, and the event loop may handle a disconnect
   * late. May be called by any thread.
   */
  boolean mayBeDisconnected() {
    return closed || UnreadInputPolicy.mayHideDisconnect(clock.get(), unreadSince);
  }

  /** Records that the connection is readable in a pass. */
  void readableIn(long pass) {
    lastReadablePass = pass;
  }

  /** Returns whether the connection is readable in a pass; if not, all input was read before. */
  boolean isReadableIn(long pass) {
    return lastReadablePass == pass;
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
    closed = true;
    memory.close();
    batch.clientDisconnected(connectionId);
  }
}
