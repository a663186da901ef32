package weldcross.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Messages of PostgreSQL's protocol v3 as servers send them. */
final class ServerMessages {

  /** The body of a RowDescription of one column, "content". */
  static final String COLUMNS = "\0\1content\0" + "\0".repeat(18);

  private static final int HEADER_BYTES = 5;

  private ServerMessages() {}

  /** Returns one message with its header. */
  static byte[] message(char type, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
    return ByteBuffer.allocate(HEADER_BYTES + bytes.length)
        .put((byte) type)
        .putInt(Integer.BYTES + bytes.length)
        .put(bytes)
        .array();
  }

  /** Returns RowDescription, DataRow of one value and CommandComplete. */
  static List<byte[]> rowMessages(String value, String tag) {
    return List.of(
        message('T', COLUMNS),
        message('D', "\0\1\0\0\0" + (char) value.length() + value),
        message('C', tag + "\0"));
  }

  /** Returns the messages of {@link #rowMessages} as one. */
  static byte[] row(String value, String tag) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    rowMessages(value, tag).forEach(all::writeBytes);
    return all.toByteArray();
  }
}
