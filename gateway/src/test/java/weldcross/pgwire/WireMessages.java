package weldcross.pgwire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Encoded messages of clients and servers for tests. */
final class WireMessages {

  /** A read whose comment has all fields. */
  static final String READ =
      "SELECT content FROM kv WHERE name = '7f3a' "
          + "/* id=9b1f,c=basket,t=acme,d=480,cluster=2,after=1767225600123 */";

  /** The body of a row description of one column. */
  static final String COLUMNS = "\0\1content\0" + "\0".repeat(18);

  private WireMessages() {}

  /** Returns a write of a hex value. */
  static String write(String hex) {
    return "INSERT INTO kv (name, content) VALUES ('7f3a', '\\x"
        + hex
        + "') RETURNING content "
        + "/* id=9b1f,c=order,d=480,cluster=2 */";
  }

  /** Returns a simple query message. */
  static byte[] query(String text) {
    return message('Q', text + "\0");
  }

  /** Returns the startup message of a client. */
  static byte[] startup() {
    return bytes(MessageEncoder.startup());
  }

  /** Returns an untyped message that consists of a request code. */
  static byte[] untyped(int code) {
    return ByteBuffer.allocate(8).putInt(8).putInt(code).array();
  }

  /** Returns a message of a type; each character of the body is encoded as one byte. */
  static byte[] message(char type, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
    return ByteBuffer.allocate(5 + bytes.length)
        .put((byte) type)
        .putInt(4 + bytes.length)
        .put(bytes)
        .array();
  }

  /** Returns a row of one column. */
  static byte[] row(String value) {
    return message('D', "\0\1\0\0\0" + (char) value.length() + value);
  }

  /** Returns the complete response of a primary to a read. */
  static byte[] readResponse(String value) {
    return bytes(
        message('T', COLUMNS),
        row(value),
        message('C', "SELECT 1\0"),
        message('S', "mode\0read-write\0"),
        message('S', "wal_time\0" + "1767225600123\0"),
        message('Z', "I"));
  }

  /**
   * Splits a stream into fragments of random sizes; into one fragment if {@code random} is null.
   */
  static List<ByteBuffer> fragments(byte[] stream, SplittableRandom random) {
    List<ByteBuffer> fragments = new ArrayList<>();
    for (int from = 0; from < stream.length; ) {
      int remaining = stream.length - from;
      int size =
          random == null
              ? remaining
              : Math.min(remaining, 1 + random.nextInt(random.nextBoolean() ? 9 : 40_000));
      // Data does not always start at index 0 of a read buffer, so each fragment has an offset.
      ByteBuffer fragment =
          ByteBuffer.allocate(size + 3).position(3).put(stream, from, size).position(3);
      fragments.add(fragment);
      from += size;
    }
    return fragments;
  }

  /** Concatenates messages. */
  static byte[] bytes(byte[]... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      all.writeBytes(part);
    }
    return all.toByteArray();
  }

  /** Concatenates the remaining bytes of buffers without changing their positions. */
  static byte[] bytes(ByteBuffer... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (ByteBuffer part : parts) {
      byte[] bytes = new byte[part.remaining()];
      part.duplicate().get(bytes);
      all.writeBytes(bytes);
    }
    return all.toByteArray();
  }

  /** Decodes the remaining bytes of buffers to text, one character per byte. */
  static String text(ByteBuffer... parts) {
    return new String(bytes(parts), StandardCharsets.ISO_8859_1);
  }
}
