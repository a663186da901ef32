package weldcross.gateway;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.session.IoSession;
import weldcross.discovery.HttpResponseDecoder;

/**
 * Handles the I/O events of one connection. Methods are called by the processor's thread unless
 * their comment names another one.
 */
abstract class Stream {

  /** Number of writes that were requested and have not been completed. */
  final AtomicInteger pendingWrites = new AtomicInteger();

  /** Whether to half-close the connection when all pending writes are completed. */
  volatile boolean closeAfterWrite;

  /** Whether the connection failed, so that its end must not be taken for the end of a message. */
  boolean connectionFailed;

  /** The session of the connection; set before its first event. */
  volatile IoSession session;

  /** Called when the connection was opened. */
  abstract void opened();

  /**
   * Called when bytes were received.
   *
   * @param in the received bytes; the buffer is reused after the call
   * @throws HttpResponseDecoder.ProtocolException if discovery sent a malformed response
   */
  abstract void read(ByteBuffer in) throws HttpResponseDecoder.ProtocolException;

  /** Called when a write that could not be completed immediately is completed. */
  void written() {}

  /** Called when the connection was closed. */
  abstract void closed();

  /** Called by the connector's thread when the connection could not be opened. */
  void connectFailed() {
    closed();
  }

  /** Called by the connector's thread when the peer reset the connection while it was opened. */
  void resetOnConnect() {
    connectFailed();
  }
}
