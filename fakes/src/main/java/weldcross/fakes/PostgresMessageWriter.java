package weldcross.fakes;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes the messages of one response in PostgreSQL protocol v3. */
final class PostgresMessageWriter {

  private static final byte[] AUTHENTICATION_OK = new byte[4];
  private static final byte[] NOT_IN_TRANSACTION = {'I'};
  private static final int BYTEA_TYPE_OID = 17;

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  /** Writes AuthenticationOk. */
  PostgresMessageWriter authenticationOk() {
    return message('R', AUTHENTICATION_OK);
  }

  /** Writes RowDescription, DataRow and CommandComplete of a result with one row of one column. */
  PostgresMessageWriter row(String value, String commandTag) {
    return message('T', rowDescription())
        .message('D', dataRow(value))
        .message('C', latin1(commandTag + "\0"));
  }

  /** Writes ErrorResponse. */
  PostgresMessageWriter error(String sqlState, String text) {
    return message('E', latin1("SERROR\0C" + sqlState + "\0M" + text + "\0\0"));
  }

  /** Writes ParameterStatus. */
  PostgresMessageWriter parameter(String name, String value) {
    return message('S', latin1(name + "\0" + value + "\0"));
  }

  /** Writes ReadyForQuery outside a transaction. */
  PostgresMessageWriter ready() {
    return message('Z', NOT_IN_TRANSACTION);
  }

  /** Returns all messages written so far. */
  byte[] toByteArray() {
    return bytes.toByteArray();
  }

  private PostgresMessageWriter message(char type, byte[] body) {
    bytes.write(type);
    bytes.writeBytes(ByteBuffer.allocate(4).putInt(body.length + 4).array());
    bytes.writeBytes(body);
    return this;
  }

  private static byte[] rowDescription() {
    byte[] name = latin1("content\0");
    return ByteBuffer.allocate(2 + name.length + 18)
        .putShort((short) 1)
        .put(name)
        .putInt(0)
        .putShort((short) 0)
        .putInt(BYTEA_TYPE_OID)
        .putShort((short) -1)
        .putInt(-1)
        .putShort((short) 1)
        .array();
  }

  private static byte[] dataRow(String value) {
    byte[] text = latin1(value);
    return ByteBuffer.allocate(6 + text.length)
        .putShort((short) 1)
        .putInt(text.length)
        .put(text)
        .array();
  }

  private static byte[] latin1(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
