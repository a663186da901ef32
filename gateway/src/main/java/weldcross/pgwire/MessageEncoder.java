package weldcross.pgwire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes the messages that a gateway writes itself, to clients and to servers. */
public final class MessageEncoder {

  private static final int HEADER_SIZE = 1 + Integer.BYTES;
  private static final byte[] READY_FOR_QUERY = message('Z', "I");

  /** One text column of any length, without a table. */
  private static final String ROW_DESCRIPTION = "\0\1content" + "\0".repeat(19);

  private MessageEncoder() {}

  /** Returns the answer to a startup message, with a key that cancels nothing. */
  public static ByteBuffer sessionReady() {
    return sessionReady(0, 0);
  }

  /**
   * Returns the answer to a startup message: authentication passed, the parameters that drivers
   * need, and ready for queries.
   *
   * @param processId identifies the session in a request to cancel its statement
   * @param secretKey the key that such a request must have
   */
  public static ByteBuffer sessionReady(int processId, int secretKey) {
    byte[] backendKeyData =
        ByteBuffer.allocate(HEADER_SIZE + 2 * Integer.BYTES)
            .put((byte) 'K')
            .putInt(3 * Integer.BYTES)
            .putInt(processId)
            .putInt(secretKey)
            .array();
    return join(
        message('R', "\0\0\0\0"),
        message('S', "server_version\0" + "15.0\0"),
        message('S', "client_encoding\0UTF8\0"),
        message('S', "standard_conforming_strings\0on\0"),
        backendKeyData,
        READY_FOR_QUERY);
  }

  /** Returns the refusal of a request for encryption. */
  public static ByteBuffer encryptionRefused() {
    return ByteBuffer.wrap(new byte[] {'N'});
  }

  /** Returns the answer to a query without a statement. */
  public static ByteBuffer emptyQuery() {
    return join(message('I', ""), READY_FOR_QUERY);
  }

  /** Returns ReadyForQuery alone, which ends every answer. */
  public static ByteBuffer ready() {
    return ByteBuffer.wrap(READY_FOR_QUERY);
  }

  /**
   * Returns an error after which the session goes on.
   *
   * @param sqlState the SQLSTATE, of five characters
   * @param message the reason
   * @param detail the detail field; null for none
   */
  public static ByteBuffer error(String sqlState, String message, String detail) {
    return join(errorResponse("ERROR", sqlState, message, detail), READY_FOR_QUERY);
  }

  /**
   * Returns an error after which the connection ends.
   *
   * @param sqlState the SQLSTATE, of five characters
   * @param message the reason
   */
  public static ByteBuffer fatal(String sqlState, String message) {
    return join(errorResponse("FATAL", sqlState, message, null));
  }

  /**
   * Returns the answer of a primary with one row; a fake server in tests and warm-up sends it.
   *
   * @param value the row's value
   * @param commandTag how the command is completed
   * @param positionMillis the server's position, as Unix time in milliseconds
   */
  public static byte[] row(String value, String commandTag, long positionMillis) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    byte[] dataRow =
        ByteBuffer.allocate(ServerResponse.ROW_HEADER_SIZE + bytes.length)
            .put((byte) 'D')
            .putInt(ServerResponse.ROW_HEADER_SIZE - 1 + bytes.length)
            .putShort((short) 1)
            .putInt(bytes.length)
            .put(bytes)
            .array();
    return join(
            message('T', ROW_DESCRIPTION),
            dataRow,
            message('C', commandTag + "\0"),
            message('S', "mode\0read-write\0"),
            message('S', "wal_time\0" + positionMillis + "\0"),
            READY_FOR_QUERY)
        .array();
  }

  /** Returns the startup message with which a session at a server begins. */
  public static ByteBuffer startup() {
    byte[] parameters = "user\0backend\0database\0store\0\0".getBytes(StandardCharsets.US_ASCII);
    int length = 2 * Integer.BYTES + parameters.length;
    return ByteBuffer.allocate(length)
        .putInt(length)
        .putInt(FrameDecoder.VERSION_3)
        .put(parameters)
        .flip();
  }

  /** Returns a simple query. */
  public static ByteBuffer query(String text) {
    return join(message('Q', text + "\0"));
  }

  private static byte[] errorResponse(
      String severity, String sqlState, String message, String detail) {
    return message(
        'E',
        "S"
            + severity
            + "\0V"
            + severity
            + "\0C"
            + sqlState
            + "\0M"
            + message
            + "\0"
            + (detail == null ? "" : "D" + detail + "\0")
            + "\0");
  }

  private static byte[] message(char type, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(HEADER_SIZE + bytes.length)
        .put((byte) type)
        .putInt(Integer.BYTES + bytes.length)
        .put(bytes)
        .array();
  }

  private static ByteBuffer join(byte[]... messages) {
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    for (byte[] message : messages) {
      joined.writeBytes(message);
    }
    return ByteBuffer.wrap(joined.toByteArray());
  }
}
