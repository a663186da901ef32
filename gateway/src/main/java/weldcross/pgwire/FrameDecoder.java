package weldcross.pgwire;

import java.nio.ByteBuffer;

/**
 * Cuts a stream into messages, however it is split. A message that lies whole in what was read is
 * handed on as a slice of it, in place; only one that is split is gathered, once, in a buffer of
 * its own size.
 */
public final class FrameDecoder {

  /** The largest value is 64 KiB, in hex twice that, with a head. */
  public static final int LONGEST = 2 * 65_536 + 8_192;

  private static final int LONGEST_START = 10_000;

  /** Type of the messages before the start of a session, which carry none. */
  public static final byte UNTYPED = 0;

  static final int VERSION_3 = 3 << 16;
  private static final int HEAD = 5;

  /** Takes each message whole, head included; the body starts at {@link #body}. */
  public interface Sink {
    void message(byte type, ByteBuffer whole) throws ProtocolException;

    /** Called first, when no more than its type and length are known. */
    default void head(byte type, int length) throws ProtocolException {}

    /** What there is of a message that is split, up to the buffer's position. */
    default void part(ByteBuffer soFar) throws ProtocolException {}
  }

  private boolean untyped;
  private final ByteBuffer head = ByteBuffer.allocate(HEAD);
  private ByteBuffer split;

  /**
   * @param untyped whether the stream begins with a message without a type, as a client's does
   */
  public FrameDecoder(boolean untyped) {
    this.untyped = untyped;
  }

  public static int body(byte type) {
    return type == UNTYPED ? HEAD - 1 : HEAD;
  }

  public void feed(ByteBuffer in, Sink sink) throws ProtocolException {
    while (in.hasRemaining()) {
      if (split == null && head.position() == 0 && in.remaining() >= headSize()) {
        int size = size(in, in.position(), sink);
        if (in.remaining() >= size) {
          ByteBuffer whole = in.slice(in.position(), size);
          in.position(in.position() + size);
          hand(whole, sink);
          continue;
        }
      }
      if (split == null) {
        move(in, head, headSize() - head.position());
        if (head.position() < headSize()) {
          return;
        }
        split = ByteBuffer.allocate(size(head, 0, sink));
        split.put(head.flip());
        head.clear();
      }
      move(in, split, split.remaining());
      if (!split.hasRemaining()) {
        ByteBuffer whole = split.flip();
        split = null;
        hand(whole, sink);
      } else {
        sink.part(split);
      }
    }
  }

  /** Whether a message has begun and is not whole. */
  public boolean isWithin() {
    return split != null || head.position() > 0;
  }

  private void hand(ByteBuffer whole, Sink sink) throws ProtocolException {
    byte type = untyped ? UNTYPED : whole.get(0);
    // Requests for encryption are turned down, after which the session starts like any other.
    untyped = untyped && whole.getInt(HEAD - 1) != VERSION_3;
    sink.message(type, whole);
  }

  private int headSize() {
    return untyped ? HEAD - 1 : HEAD;
  }

  private int size(ByteBuffer from, int at, Sink sink) throws ProtocolException {
    int length = from.getInt(at + headSize() - 4);
    if (length < (untyped ? 8 : 4) || length > (untyped ? LONGEST_START : LONGEST)) {
      throw new ProtocolException("08P01", "message of length " + length);
    }
    sink.head(untyped ? UNTYPED : from.get(at), length);
    return length + headSize() - 4;
  }

  private static void move(ByteBuffer from, ByteBuffer to, int most) {
    int count = Math.min(most, from.remaining());
    to.put(from.slice(from.position(), count));
    from.position(from.position() + count);
  }
}
