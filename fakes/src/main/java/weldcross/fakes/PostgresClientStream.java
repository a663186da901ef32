package weldcross.fakes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.buffer.IoBuffer;

/**
 * Decodes the bytes that one client connection has sent into messages. Returns one query at a time:
 * the next one follows after {@link #queryCompleted}. Thread-safe.
 */
final class PostgresClientStream {

  private static final AtomicLong CONNECTION_COUNT = new AtomicLong();

  /** The type of the next message. */
  enum Kind {
    /** No complete message is available, or a query is being executed. */
    NONE,
    /** The startup message. */
    STARTUP,
    /** A simple query. */
    QUERY,
    /** Terminate, or a message type that is not supported. */
    TERMINATE
  }

  /**
   * A decoded message.
   *
   * @param kind the type of the message
   * @param text the statement of a query; empty otherwise
   */
  record Message(Kind kind, String text) {
    static final Message NONE = new Message(Kind.NONE, "");
  }

  private final long number = CONNECTION_COUNT.incrementAndGet();
  private byte[] buffered = new byte[0];
  private boolean started;
  private boolean executingQuery;

  /** Returns the number of this connection, unique in this process. */
  long number() {
    return number;
  }

  /** Appends bytes read from the connection. */
  synchronized void append(IoBuffer in) {
    byte[] all = new byte[buffered.length + in.remaining()];
    System.arraycopy(buffered, 0, all, 0, buffered.length);
    in.get(all, buffered.length, in.remaining());
    buffered = all;
  }

  /** Marks the last returned query as completed. */
  synchronized void queryCompleted() {
    executingQuery = false;
  }

  /** Removes and returns the next complete message, if no query is being executed. */
  synchronized Message next() {
    int typeBytes = started ? 1 : 0;
    if (executingQuery || buffered.length < typeBytes + 4) {
      return Message.NONE;
    }
    int length = ByteBuffer.wrap(buffered, typeBytes, 4).getInt();
    if (buffered.length < typeBytes + length) {
      return Message.NONE;
    }
    final char type = started ? (char) buffered[0] : 0;
    final String body =
        new String(buffered, typeBytes + 4, length - 4, StandardCharsets.ISO_8859_1);
    buffered = Arrays.copyOfRange(buffered, typeBytes + length, buffered.length);
    if (!started) {
      started = true;
      return new Message(Kind.STARTUP, "");
    }
    if (type != 'Q') {
      return new Message(Kind.TERMINATE, "");
    }
    executingQuery = true;
    return new Message(Kind.QUERY, body.substring(0, Math.max(0, body.length() - 1)));
  }
}
