package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Supplier;
import weldcross.pgwire.ClientMessageDecoder;

/**
 * The byte stream of a client connection. While decoding is paused, input is still read and
 * buffered up to a limit, so that a disconnect is detected. After the last response, input is read
 * and discarded: closing a socket with unread input resets the connection, and the client may lose
 * the response.
 */
final class ClientStream extends Stream {

  /** Reading stops when this much input is buffered while decoding is paused. */
  private static final int MAX_BUFFERED_BYTES = 16_384;

  /**
   * Buffered input is decoded in slices of this size, so that decoding can be paused in between.
   */
  private static final int DECODE_SLICE_BYTES = 1_024;

  /** Reading stops when more than this much input has been discarded after the last response. */
  private static final int MAX_DISCARDED_BYTES = 1 << 18;

  private final long connectionId;
  private final ReadBatch batch;
  private final GatheringIoProcessor processor;
  private final ClientMemory.Account memory;
  private final ClientMessageDecoder decoder;
  private final ArrayDeque<ByteBuffer> buffered = new ArrayDeque<>();
  private int bufferedBytes;
  private long receivedBytes;
  private int discardedBytes;
  private volatile boolean paused;
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
    this.processor = processor;
    this.memory = memory;
    this.decoder =
        MessageDecoders.forClient(
            event -> batch.addForClient(connectionId, event),
            batch::add,
            clock,
            connectionId,
            memory);
  }

  @Override
  void opened() {
    batch.clientAccepted(connectionId);
  }

  @Override
  void read(ByteBuffer in) {
    receivedBytes += in.remaining();
    if (discarding) {
      buffered.clear();
      discardedBytes += in.remaining();
      if (discardedBytes > MAX_DISCARDED_BYTES) {
        session.suspendRead();
      }
    } else if (paused || !buffered.isEmpty()) {
      bufferedBytes += in.remaining();
      buffered.add(ByteBuffer.allocate(in.remaining()).put(in).flip());
      if (bufferedBytes >= MAX_BUFFERED_BYTES) {
        session.suspendRead();
      }
    } else {
      decoder.feed(in);
    }
  }

  /** Pauses or resumes decoding; called on the event loop's thread. */
  void setDecoding(boolean enabled) {
    paused = !enabled;
    if (enabled) {
      processor.afterPendingReads(this::decodeBuffered);
    }
  }

  private void decodeBuffered() {
    ByteBuffer next = paused || discarding ? null : buffered.peek();
    if (next == null) {
      return;
    }
    int size = Math.min(DECODE_SLICE_BYTES, next.remaining());
    try {
      decoder.feed(next.slice(next.position(), size));
    } catch (RuntimeException e) {
      // A decoder failure closes the connection, as it does when MINA itself calls read.
      connectionFailed = true;
      session.closeNow();
      return;
    }
    next.position(next.position() + size);
    bufferedBytes -= size;
    if (!next.hasRemaining()) {
      buffered.poll();
    }
    if (bufferedBytes < MAX_BUFFERED_BYTES) {
      session.resumeRead();
    }
    processor.afterPendingReads(this::decodeBuffered);
  }

  /** Whether at most this many messages, and no part of a further one, have been received. */
  boolean isQuiet(int messages) {
    return decoder.messageCount() <= messages && !decoder.isInMessage() && buffered.isEmpty();
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
          if (receivedBytes > receivedBefore || !buffered.isEmpty()) {
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
