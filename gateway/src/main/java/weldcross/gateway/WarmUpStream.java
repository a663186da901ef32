package weldcross.gateway;

import java.nio.ByteBuffer;
import weldcross.pgwire.MessageEncoder;

/**
 * A client connection to this gateway itself that warms up its socket I/O: opens a session, sends
 * some empty queries, each after the response to the previous one, and closes.
 */
final class WarmUpStream extends Stream {

  private final long connectionId;
  private final Transport transport;
  private final Runnable onClosed;

  /** Number of reads until the connection is closed. */
  private int remainingReads;

  /**
   * Creates a client that is not yet connected.
   *
   * @param connectionId identifies the connection
   * @param transport writes to the connection and closes it
   * @param reads number of reads, including that of the startup response, before it closes
   * @param onClosed called when the connection is closed
   */
  WarmUpStream(long connectionId, Transport transport, int reads, Runnable onClosed) {
    this.connectionId = connectionId;
    this.transport = transport;
    this.remainingReads = reads;
    this.onClosed = onClosed;
  }

  @Override
  void opened() {
    transport.write(connectionId, MessageEncoder.startup());
  }

  @Override
  void read(ByteBuffer in) {
    if (--remainingReads > 0) {
      transport.write(connectionId, MessageEncoder.query(""));
    } else {
      transport.closeNow(connectionId);
    }
  }

  @Override
  void closed() {
    onClosed.run();
  }
}
