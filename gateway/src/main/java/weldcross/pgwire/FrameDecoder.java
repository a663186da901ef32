package weldcross.pgwire;

import java.nio.ByteBuffer;

/**
 * Cuts a stream into messages. A message that lies completely in what was read is passed on as a
 * slice of it, without a copy; only a message that is split is copied, once, to a buffer of its
 * size.
 */
public final class FrameDecoder {

  /** Largest length that a message may have, in bytes: a value of 64 KiB in hex and a header. */
  public static final int MAX_LENGTH = 2 * 65_536 + 8_192;

  /** Type of messages before the start of a session, which have no type byte. */
  public static final byte UNTYPED = 0;

  /** Version 3.0 of the protocol, as a startup message has it. */
  static final int VERSION_3 = 3 << 16;

  private static final int MAX_STARTUP_LENGTH = 10_000;
  private static final int LENGTH_SIZE = Integer.BYTES;
  private static final int TYPED_HEADER_SIZE = 1 + LENGTH_SIZE;

  /** A length counts itself, and before the session a code as well. */
  private static final int MIN_LENGTH = LENGTH_SIZE;

  private static final int MIN_STARTUP_LENGTH = 2 * LENGTH_SIZE;

  /** Receives messages. An exception from it ends the decoding. */
  public interface Sink {

    /**
     * Receives a complete message.
     *
     * @param type the type byte, or {@link #UNTYPED}
     * @param message the message with its header; the body starts at {@link #bodyOffset}
     * @throws ProtocolException if the message is not allowed here
     */
    void message(byte type, ByteBuffer message) throws ProtocolException;

    /**
     * Receives the header of a message, before anything else of it.
     *
     * @param type the type byte, or {@link #UNTYPED}
     * @param length length in bytes, without the type
     * @throws ProtocolException if such a message is not allowed here
     */
    default void header(byte type, int length) throws ProtocolException {}

    /**
     * Receives what has arrived of a message that is split.
     *
     * @param soFar the message up to the buffer's position
     * @throws ProtocolException if the message is not allowed here
     */
    default void partialMessage(ByteBuffer soFar) throws ProtocolException {}
  }

  private boolean untyped;
  private final ByteBuffer header = ByteBuffer.allocate(TYPED_HEADER_SIZE);

  /** The message that is being put together; null if none is. */
  private ByteBuffer partial;

  /**
   * Creates a decoder for one stream.
   *
   * @param untyped whether the stream begins with messages without a type, as that of a client does
   */
  public FrameDecoder(boolean untyped) {
    this.untyped = untyped;
  }

  /** Returns the offset, in bytes, of the body in a message of a type. */
  public static int bodyOffset(byte type) {
    return type == UNTYPED ? LENGTH_SIZE : TYPED_HEADER_SIZE;
  }

  /**
   * Decodes the next bytes of the stream.
   *
   * @throws ProtocolException if a length is not allowed, or from the sink; the stream is of no
   *     further use then
   */
  public void feed(ByteBuffer in, Sink sink) throws ProtocolException {
    while (in.hasRemaining()) {
      if (!passOnInPlace(in, sink)) {
        collect(in, sink);
      }
    }
  }

  /** Returns whether a message began, and its rest is still to come. */
  public boolean isInMessage() {
    return partial != null || header.position() > 0;
  }

  /** Passes the next message on without a copy; returns false if its end has not arrived. */
  private boolean passOnInPlace(ByteBuffer in, Sink sink) throws ProtocolException {
    if (isInMessage() || in.remaining() < headerSize()) {
      return false;
    }
    int size = messageSize(in, in.position(), sink);
    if (in.remaining() < size) {
      return false;
    }
    ByteBuffer message = in.slice(in.position(), size);
    in.position(in.position() + size);
    passOn(message, sink);
    return true;
  }

  /** Copies what there is of a message that is split, and passes it on once it is complete. */
  private void collect(ByteBuffer in, Sink sink) throws ProtocolException {
    if (partial == null) {
      copy(in, header, headerSize() - header.position());
      if (header.position() < headerSize()) {
        return;
      }
      partial = ByteBuffer.allocate(messageSize(header, 0, sink));
      partial.put(header.flip());
      header.clear();
    }
    copy(in, partial, partial.remaining());
    if (partial.hasRemaining()) {
      sink.partialMessage(partial);
    } else {
      ByteBuffer message = partial.flip();
      partial = null;
      passOn(message, sink);
    }
  }

  private void passOn(ByteBuffer message, Sink sink) throws ProtocolException {
    byte type = untyped ? UNTYPED : message.get(0);
    // After a request for encryption, which is refused, the session starts like any other.
    untyped = untyped && message.getInt(LENGTH_SIZE) != VERSION_3;
    sink.message(type, message);
  }

  private int headerSize() {
    return untyped ? LENGTH_SIZE : TYPED_HEADER_SIZE;
  }

  /** Returns the size of a message in bytes, header included, from its header. */
  private int messageSize(ByteBuffer from, int offset, Sink sink) throws ProtocolException {
    int length = from.getInt(offset + headerSize() - LENGTH_SIZE);
    int min = untyped ? MIN_STARTUP_LENGTH : MIN_LENGTH;
    int max = untyped ? MAX_STARTUP_LENGTH : MAX_LENGTH;
    if (length < min || length > max) {
      throw new ProtocolException(SqlState.PROTOCOL_VIOLATION, "message of length " + length);
    }
    sink.header(untyped ? UNTYPED : from.get(offset), length);
    return length + headerSize() - LENGTH_SIZE;
  }

  private static void copy(ByteBuffer from, ByteBuffer to, int limit) {
    int count = Math.min(limit, from.remaining());
    to.put(from.slice(from.position(), count));
    from.position(from.position() + count);
  }
}
