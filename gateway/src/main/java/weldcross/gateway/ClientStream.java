package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Supplier;
import weldcross.pgwire.ClientMessageDecoder;

/**
 * A client's stream. While decoding is paused, bytes are read all the same, up to a limit, so that
 * the client's disconnect is seen. After the last response they are read and discarded, as closing
 * a socket with unread bytes resets the connection and takes that response back.
 */
final class ClientStream extends Stream {

  /** With more bytes buffered while decoding is paused, reading stops. */
  private static final int MAX_BUFFERED_BYTES = 16_384;

  /** Bytes of the buffer that are decoded at a time, so that decoding can be paused again. */
  private static final int DECODE_SLICE_BYTES = 1_024;

  /** With more bytes discarded after the last response, reading stops. */
  private static final int MAX_DISCARDED_BYTES = 1 << 18;

  private final long number;
  private final ReadBatch batch;
  private final GatheringIoProcessor processor;
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
   * @param number of the connection, positive
   * @param clock the time since the gateway's start
   */
  ClientStream(
      long number, ReadBatch batch, GatheringIoProcessor processor, Supplier<Duration> clock) {
    this.number = number;
    this.batch = batch;
    this.processor = processor;
    this.decoder =
        MessageDecoders.forClient(
            event -> batch.addForClient(number, event), batch::add, clock, number);
  }

  @Override
  void opened() {
    batch.clientAccepted(number);
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

  /** Pauses or resumes decoding; called by the gateway's thread. */
  void listen(boolean on) {
    paused = !on;
    if (on) {
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
      // As where MINA itself calls read: a fault in the decoder closes the connection.
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

  /** Whether no more than so many messages were received, and no byte of another. */
  boolean isQuiet(int messages) {
    return decoder.messageCount() <= messages && !decoder.isInMessage() && buffered.isEmpty();
  }

  /**
   * Posts an event if a message is still incomplete when a pass over all pending reads brings
   * nothing more of it; called by the gateway's thread.
   *
   * @param messages number of messages received before that one
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
            batch.addForClient(number, g -> g.clients().messageIncomplete(number, messages));
          }
        });
  }

  /** Discards all that is received from now on; may be called from any thread. */
  void discardInput() {
    discarding = true;
    session.resumeRead();
  }

  @Override
  void written() {
    batch.addForClient(number, g -> g.pipeline().responsesWritten(number));
  }

  @Override
  void closed() {
    batch.clientDisconnected(number);
  }
}
