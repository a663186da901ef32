package weldcross.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes messages of the PostgreSQL protocol, version 3, as servers send them. */
final class ServerMessages {

  /** The body of a RowDescription with one column, "content". */
  static final String ROW_DESCRIPTION_BODY = "\0\1content\0" + "\0".repeat(18);

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

  /** Returns RowDescription, a DataRow with one value, and CommandComplete. */
  static List<byte[]> rowMessages(String value, String tag) {
    return List.of(
        message('T', ROW_DESCRIPTION_BODY),
        message('D', "\0\1\0\0\0" + (char) value.length() + value),
        message('C', tag + "\0"));
  }

  /** Returns the messages of {@link #rowMessages}, concatenated. */
  static byte[] row(String value, String tag) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    rowMessages(value, tag).forEach(all::writeBytes);
    return all.toByteArray();
  }
}
