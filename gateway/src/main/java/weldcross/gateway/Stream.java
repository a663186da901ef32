package weldcross.gateway;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.session.IoSession;
import weldcross.discovery.HttpResponseDecoder;

/** What reads one connection's stream, on the processor's thread. */
abstract class Stream {

  /** Messages asked for that are not out, and whether none comes after them. */
  final AtomicInteger unwritten = new AtomicInteger();

  volatile boolean last;

  /**
   * Whether its connection was reset or failed, so that its end is no end of what was being said.
   */
  boolean broken;

  /** Set before anything is read. */
  volatile IoSession session;

  abstract void opened();

  abstract void read(ByteBuffer in) throws HttpResponseDecoder.ProtocolException;

  /** Called by the thread that asks, before its words are written. */
  void writing() {}

  /** What could not go out at once is out. */
  void written() {}

  abstract void gone();

  /** Nothing was reached; told by the thread that dialled. */
  void notReached() {
    gone();
  }

  /** Taken up and ended before it was known here. */
  void dialReset() {
    notReached();
  }
}
