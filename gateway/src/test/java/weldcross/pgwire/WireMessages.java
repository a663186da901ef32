package weldcross.pgwire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Messages of clients and servers for tests, as bytes. */
final class WireMessages {

  /** A read with all fields of the comment. */
  static final String READ =
      "SELECT content FROM kv WHERE name = '7f3a' "
          + "/* id=9b1f,c=basket,t=acme,d=480,cluster=2,after=1767225600123 */";

  /** The body of a row description of one column. */
  static final String COLUMNS = "\0\1content\0" + "\0".repeat(18);

  private WireMessages() {}

  /** A write of a value, in hex. */
  static String write(String hex) {
    return "INSERT INTO kv (name, content) VALUES ('7f3a', '\\x"
        + hex
        + "') RETURNING content "
        + "/* id=9b1f,c=order,d=480,cluster=2 */";
  }

  /** A simple query. */
  static byte[] query(String text) {
    return message('Q', text + "\0");
  }

  /** The startup message of a client. */
  static byte[] start() {
    return bytes(MessageEncoder.startup());
  }

  /** A message without a type that has only a code. */
  static byte[] untyped(int code) {
    return ByteBuffer.allocate(8).putInt(8).putInt(code).array();
  }

  /** A message of a type; each character of the body is one byte. */
  static byte[] message(char type, String body) {
    byte[] b = body.getBytes(StandardCharsets.ISO_8859_1);
    return ByteBuffer.allocate(5 + b.length).put((byte) type).putInt(4 + b.length).put(b).array();
  }

  /** A row of one column. */
  static byte[] row(String value) {
    return message('D', "\0\1\0\0\0" + (char) value.length() + value);
  }

  /** The whole answer of a primary with one row. */
  static byte[] served(String value) {
    return bytes(
        message('T', COLUMNS),
        row(value),
        message('C', "SELECT 1\0"),
        message('S', "mode\0read-write\0"),
        message('S', "wal_time\0" + "1767225600123\0"),
        message('Z', "I"));
  }

  /** A stream in pieces of random sizes, or whole without a random generator. */
  static List<ByteBuffer> pieces(byte[] stream, SplittableRandom random) {
    List<ByteBuffer> pieces = new ArrayList<>();
    for (int from = 0; from < stream.length; ) {
      int most = stream.length - from;
      int size =
          random == null
              ? most
              : Math.min(most, 1 + random.nextInt(random.nextBoolean() ? 9 : 40_000));
      // Read buffers begin anywhere, so each piece lies inside a larger one.
      ByteBuffer piece =
          ByteBuffer.allocate(size + 3).position(3).put(stream, from, size).position(3);
      pieces.add(piece);
      from += size;
    }
    return pieces;
  }

  /** The messages one after the other. */
  static byte[] bytes(byte[]... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      all.writeBytes(part);
    }
    return all.toByteArray();
  }

  /** The bytes of the buffers, whose positions stay. */
  static byte[] bytes(ByteBuffer... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (ByteBuffer part : parts) {
      byte[] b = new byte[part.remaining()];
      part.duplicate().get(b);
      all.writeBytes(b);
    }
    return all.toByteArray();
  }

  /** The buffers as text, one character for each byte. */
  static String text(ByteBuffer... parts) {
    return new String(bytes(parts), StandardCharsets.ISO_8859_1);
  }
}
