package weldcross.gateway;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.session.IoSession;
import weldcross.discovery.HttpResponseDecoder;

/** Reads the stream of one connection; called by the processor's thread unless said otherwise. */
abstract class Stream {

  /** Number of writes that were requested and are not completed. */
  final AtomicInteger pendingWrites = new AtomicInteger();

  /** Whether sending ends when all pending writes are completed. */
  volatile boolean closeAfterWrite;

  /** Whether the connection was reset or failed, so that its end completes no message. */
  boolean connectionFailed;

  /** Set before anything is read. */
  volatile IoSession session;

  /** The connection is open. */
  abstract void opened();

  /** Bytes were received; the buffer is used again after the call. */
  abstract void read(ByteBuffer in) throws HttpResponseDecoder.ProtocolException;

  /** A write is about to begin; called by the thread that requested it. */
  void writing() {}

  /** A write that could not be completed at once is completed. */
  void written() {}

  /** The connection is closed. */
  abstract void closed();

  /** The connection could not be opened; called by the connector's thread. */
  void connectFailed() {
    closed();
  }

  /** The connection was opened and reset before its session began. */
  void resetOnConnect() {
    connectFailed();
  }
}
