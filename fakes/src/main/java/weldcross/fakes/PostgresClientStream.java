package weldcross.fakes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.buffer.IoBuffer;

/**
 * The bytes that one client connection has sent, cut into messages. One query is handed out at a
 * time; the next one only after {@link #queryAnswered}. Safe for use by several threads.
 */
final class PostgresClientStream {

  private static final AtomicLong CONNECTIONS = new AtomicLong();

  /** What the next message is. */
  enum Kind {
    /** No complete message has come, or a query is being worked on. */
    NONE,
    /** The startup message. */
    STARTUP,
    /** A simple query. */
    QUERY,
    /** Terminate, or a message that this fake doesn't speak. */
    END
  }

  /**
   * A message.
   *
   * @param kind what it is
   * @param text the statement of a query; empty otherwise
   */
  record Message(Kind kind, String text) {
    static final Message NONE = new Message(Kind.NONE, "");
  }

  private final long number = CONNECTIONS.incrementAndGet();
  private byte[] unread = new byte[0];
  private boolean started;
  private boolean busy;

  /** Returns a number that no other connection of this process has. */
  long number() {
    return number;
  }

  /** Adds what has been read from the connection. */
  synchronized void append(IoBuffer in) {
    byte[] all = new byte[unread.length + in.remaining()];
    System.arraycopy(unread, 0, all, 0, unread.length);
    in.get(all, unread.length, in.remaining());
    unread = all;
  }

  /** Marks the query handed out last as answered. */
  synchronized void queryAnswered() {
    busy = false;
  }

  /** Takes the next complete message, if no query is being worked on. */
  synchronized Message next() {
    int typeBytes = started ? 1 : 0;
    if (busy || unread.length < typeBytes + 4) {
      return Message.NONE;
    }
    int length = ByteBuffer.wrap(unread, typeBytes, 4).getInt();
    if (unread.length < typeBytes + length) {
      return Message.NONE;
    }
    final char type = started ? (char) unread[0] : 0;
    final String body = new String(unread, typeBytes + 4, length - 4, StandardCharsets.ISO_8859_1);
    unread = Arrays.copyOfRange(unread, typeBytes + length, unread.length);
    if (!started) {
      started = true;
      return new Message(Kind.STARTUP, "");
    }
    if (type != 'Q') {
      return new Message(Kind.END, "");
    }
    busy = true;
    return new Message(Kind.QUERY, body.substring(0, Math.max(0, body.length() - 1)));
  }
}
