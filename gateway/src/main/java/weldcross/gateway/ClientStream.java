package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Supplier;
import weldcross.pgwire.ClientMessageDecoder;

/**
 * A client's stream. While it is not listened to it is read all the same, up to a bound, so that
 * its end is seen; after its last answer what it says is read and left, as a close over what is
 * unread resets the connection and takes that answer back.
 */
final class ClientStream extends Stream {

  /**
   * So much of what it sends while it is not listened to is kept; with more, the network has to
   * wait.
   */
  private static final int KEPT = 16_384;

  /** Of what was kept so much is told at a time, so that it may be stopped again. */
  private static final int SLICE = 1_024;

  /** So much is read of it after its last answer. */
  private static final int LEFT = 1 << 18;

  private final long number;
  private final ReadBatch round;
  private final GatheringIoProcessor processor;
  private final ClientMessageDecoder reader;
  private final ArrayDeque<ByteBuffer> kept = new ArrayDeque<>();
  private int keptBytes, leftBytes;
  private volatile boolean waits, over;

  ClientStream(
      long number, ReadBatch round, GatheringIoProcessor processor, Supplier<Duration> clock) {
    this.number = number;
    this.round = round;
    this.processor = processor;
    this.reader = Streams.client(event -> round.tell(number, event), round::tell, clock, number);
  }

  @Override
  void opened() {
    round.came(number);
  }

  @Override
  void read(ByteBuffer in) {
    if (over) {
      kept.clear();
      leftBytes += in.remaining();
      if (leftBytes > LEFT) {
        session.suspendRead();
      }
    } else if (waits || !kept.isEmpty()) {
      keptBytes += in.remaining();
      kept.add(ByteBuffer.allocate(in.remaining()).put(in).flip());
      if (keptBytes >= KEPT) {
        session.suspendRead();
      }
    } else {
      reader.feed(in);
    }
  }

  /** Whether what it says is told; called by the thread that asks. */
  void listen(boolean on) {
    waits = !on;
    if (on) {
      processor.afterReading(this::goOn);
    }
  }

  private void goOn() {
    ByteBuffer next = waits || over ? null : kept.peek();
    if (next == null) {
      return;
    }
    int size = Math.min(SLICE, next.remaining());
    try {
      reader.feed(next.slice(next.position(), size));
    } catch (RuntimeException e) {
      // As where it is read by MINA itself: what cannot be read on ends its connection.
      broken = true;
      session.closeNow();
      return;
    }
    next.position(next.position() + size);
    keptBytes -= size;
    if (!next.hasRemaining()) {
      kept.poll();
    }
    if (keptBytes < KEPT) {
      session.resumeRead();
    }
    processor.afterReading(this::goOn);
  }

  /** Whether it has said no more than so many messages, and nothing of another. */
  boolean isQuiet(int messages) {
    return reader.told() <= messages && !reader.isWithin() && kept.isEmpty();
  }

  /** Nothing that it says from now on counts; called by any thread. */
  void endListening() {
    over = true;
    session.resumeRead();
  }

  @Override
  void written() {
    round.tell(number, g -> g.pipeline().responsesWritten(number));
  }

  @Override
  void gone() {
    round.went(number);
  }
}
