package weldcross.pgwire;

import java.nio.ByteBuffer;

/**
 * Splits a stream into messages. A message that lies completely in one read buffer is delivered as
 * a slice of that buffer, without a copy. Only a fragmented message is copied, once, to a buffer of
 * its size.
 */
public final class FrameDecoder {

  /** Maximum length of a message in bytes: a value of 64 KiB in hex and 8 KiB for the rest. */
  public static final int MAX_LENGTH = 2 * 65_536 + 8_192;

  /** Type of the messages of session startup, which have no type byte. */
  public static final byte UNTYPED = 0;

  /** Code of protocol version 3.0 in a startup message. */
  static final int VERSION_3 = 3 << 16;

  private static final int MAX_STARTUP_LENGTH = 10_000;
  private static final int LENGTH_SIZE = Integer.BYTES;
  private static final int TYPED_HEADER_SIZE = 1 + LENGTH_SIZE;

  /** Minimum length of a message; the length field counts itself. */
  private static final int MIN_LENGTH = LENGTH_SIZE;

  /** Minimum length of an untyped message, which also contains a request code. */
  private static final int MIN_STARTUP_LENGTH = 2 * LENGTH_SIZE;

  /** Receives messages. An exception of a sink ends the decoding. */
  public interface Sink {

    /**
     * Receives a complete message.
     *
     * @param type the type byte, or {@link #UNTYPED}
     * @param message the message including its header; the body starts at {@link #bodyOffset}
     * @throws ProtocolException if the message is not allowed
     */
    void message(byte type, ByteBuffer message) throws ProtocolException;

    /**
     * Receives the header of a message, before its body.
     *
     * @param type the type byte, or {@link #UNTYPED}
     * @param length length in bytes, without the type byte
     * @throws ProtocolException if such a message is not allowed
     */
    default void header(byte type, int length) throws ProtocolException {}

    /**
     * Returns whether a message is to be held and delivered; called once per message, after {@link
     * #header}. The bytes of other messages are discarded as they arrive.
     *
     * @param type the type byte, or {@link #UNTYPED}
     * @param size size of the message in bytes, including its header
     */
    default boolean admit(byte type, int size) {
      return true;
    }

    /**
     * Receives the end of a message that was not admitted.
     *
     * @param type the type byte, or {@link #UNTYPED}
     * @throws ProtocolException if the message is not allowed
     */
    default void discarded(byte type) throws ProtocolException {}

    /**
     * Receives the part of a fragmented message that has arrived.
     *
     * @param partial the message up to the buffer's position
     * @throws ProtocolException if the message is not allowed
     */
    default void partialMessage(ByteBuffer partial) throws ProtocolException {}
  }

  /** Whether the next message has no type byte. */
  private boolean untyped;

  private final ByteBuffer header = ByteBuffer.allocate(TYPED_HEADER_SIZE);

  /** The fragmented message that is being assembled; null if there is none. */
  private ByteBuffer partial;

  /** Type of the message that is being discarded. */
  private byte discardedType;

  /** Number of bytes of the message being discarded that have not arrived; 0 if there is none. */
  private int remainingDiscard;

  /**
   * Creates a decoder for one stream.
   *
   * @param untyped whether the stream starts with untyped messages, as that of a client does
   */
  public FrameDecoder(boolean untyped) {
    this.untyped = untyped;
  }

  /** Returns the offset of the body, in bytes, in a message of the given type. */
  public static int bodyOffset(byte type) {
    return type == UNTYPED ? LENGTH_SIZE : TYPED_HEADER_SIZE;
  }

  /**
   * Decodes the next bytes of the stream.
   *
   * @throws ProtocolException if a length is not allowed, or if thrown by the sink; the stream
   *     cannot be used afterwards
   */
  public void feed(ByteBuffer in, Sink sink) throws ProtocolException {
    while (in.hasRemaining()) {
      if (remainingDiscard > 0) {
        discard(in, sink);
      } else if (!deliverInPlace(in, sink)) {
        accumulate(in, sink);
      }
    }
  }

  /**
   * Returns a message in a buffer of its own size, for messages that are kept, as a slice would
   * keep the buffer in which it was read.
   *
   * @param maxUnusedBytes how much larger the buffer of the message may be, so that it is not
   *     copied
   */
  static ByteBuffer compact(ByteBuffer message, int maxUnusedBytes) {
    if (!message.hasArray()) {
      return message;
    }
    int before = message.arrayOffset();
    int after = message.array().length - before - message.limit();
    if (before + after <= maxUnusedBytes) {
      return message;
    }
    return ByteBuffer.allocate(message.limit()).put(message.duplicate()).flip();
  }

  /** Returns whether a part of a message was received, but not all of it. */
  public boolean isInMessage() {
    return partial != null || header.position() > 0 || remainingDiscard > 0;
  }

  /** Delivers the next message without a copy; returns false if it is not complete. */
  private boolean deliverInPlace(ByteBuffer in, Sink sink) throws ProtocolException {
    if (isInMessage() || in.remaining() < headerSize()) {
      return false;
    }
    int size = messageSize(in, in.position(), sink);
    if (in.remaining() < size) {
      return false;
    }
    byte type = typeAt(in, in.position());
    if (sink.admit(type, size)) {
      ByteBuffer message = in.slice(in.position(), size);
      in.position(in.position() + size);
      deliver(message, sink);
    } else {
      startDiscard(type, size);
      discard(in, sink);
    }
    return true;
  }

  /** Copies the next part of a fragmented message, and delivers it once it is complete. */
  private void accumulate(ByteBuffer in, Sink sink) throws ProtocolException {
    if (partial == null) {
      copy(in, header, headerSize() - header.position());
      if (header.position() < headerSize()) {
        return;
      }
      startFragmented(sink);
      if (partial == null) {
        discard(in, sink);
        return;
      }
    }
    copy(in, partial, partial.remaining());
    if (partial.hasRemaining()) {
      sink.partialMessage(partial);
    } else {
      ByteBuffer message = partial.flip();
      partial = null;
      deliver(message, sink);
    }
  }

  /** Starts to assemble the message whose header is complete, or to discard it. */
  private void startFragmented(Sink sink) throws ProtocolException {
    int size = messageSize(header, 0, sink);
    byte type = typeAt(header, 0);
    if (sink.admit(type, size)) {
      partial = ByteBuffer.allocate(size);
      partial.put(header.flip());
    } else {
      startDiscard(type, size - header.position());
    }
    header.clear();
  }

  private void startDiscard(byte type, int size) {
    discardedType = type;
    remainingDiscard = size;
  }

  /** Discards the next bytes of the message that was not admitted. */
  private void discard(ByteBuffer in, Sink sink) throws ProtocolException {
    int count = Math.min(remainingDiscard, in.remaining());
    in.position(in.position() + count);
    remainingDiscard -= count;
    if (remainingDiscard == 0) {
      sink.discarded(discardedType);
    }
  }

  private void deliver(ByteBuffer message, Sink sink) throws ProtocolException {
    byte type = typeAt(message, 0);
    // A request for encryption is refused, and another untyped message follows.
    untyped = untyped && message.getInt(LENGTH_SIZE) != VERSION_3;
    sink.message(type, message);
  }

  private byte typeAt(ByteBuffer buffer, int offset) {
    return untyped ? UNTYPED : buffer.get(offset);
  }

  private int headerSize() {
    return untyped ? LENGTH_SIZE : TYPED_HEADER_SIZE;
  }

  /** Returns the size of a message in bytes, including its header. */
  private int messageSize(ByteBuffer buffer, int offset, Sink sink) throws ProtocolException {
    int length = buffer.getInt(offset + headerSize() - LENGTH_SIZE);
    int min = untyped ? MIN_STARTUP_LENGTH : MIN_LENGTH;
    int max = untyped ? MAX_STARTUP_LENGTH : MAX_LENGTH;
    if (length < min || length > max) {
      throw new ProtocolException(SqlState.PROTOCOL_VIOLATION, "message of length " + length);
    }
    sink.header(typeAt(buffer, offset), length);
    return length + headerSize() - LENGTH_SIZE;
  }

  private static void copy(ByteBuffer from, ByteBuffer to, int limit) {
    int count = Math.min(limit, from.remaining());
    to.put(from.slice(from.position(), count));
    from.position(from.position() + count);
  }
}
