package weldcross.gateway;

import java.nio.ByteBuffer;
import weldcross.pgwire.MessageEncoder;

/**
 * A client of the gateway itself: opens a session, sends some empty queries, each after the answer
 * to the one before it, and closes.
 */
final class WarmUpStream extends Stream {

  private final long number;
  private final Transport transport;
  private final Runnable onClosed;

  /** Reads that are left until the end. */
  private int remaining;

  /**
   * Creates a client that has yet to be connected.
   *
   * @param number identifies the connection
   * @param transport writes and closes
   * @param reads number of reads after which it closes, the session's start included
   * @param onClosed called when its connection is closed
   */
  WarmUpStream(long number, Transport transport, int reads, Runnable onClosed) {
    this.number = number;
    this.transport = transport;
    this.remaining = reads;
    this.onClosed = onClosed;
  }

  @Override
  void opened() {
    transport.write(number, MessageEncoder.startup());
  }

  @Override
  void read(ByteBuffer in) {
    if (--remaining > 0) {
      transport.write(number, MessageEncoder.query(""));
    } else {
      transport.closeNow(number);
    }
  }

  @Override
  void closed() {
    onClosed.run();
  }
}
