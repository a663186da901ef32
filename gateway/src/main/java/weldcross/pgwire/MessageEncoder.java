package weldcross.pgwire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes the messages that a gateway creates for clients and servers. */
public final class MessageEncoder {

  private static final int HEADER_SIZE = 1 + Integer.BYTES;
  private static final byte[] READY_FOR_QUERY = message('Z', "I");

  /** Body of the description of one text column of any length that belongs to no table. */
  private static final String ROW_DESCRIPTION = "\0\1content" + "\0".repeat(19);

  private MessageEncoder() {}

  /** Returns the response to a startup message, with a key that matches no cancel request. */
  public static ByteBuffer sessionReady() {
    return sessionReady(0, 0);
  }

  /**
   * Returns the response to a startup message: AuthenticationOk, the parameters that drivers need,
   * BackendKeyData and ReadyForQuery.
   *
   * @param processId process ID that identifies the session in a cancel request
   * @param secretKey secret key that a cancel request must contain
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

  /** Returns the response that refuses a request for encryption. */
  public static ByteBuffer encryptionRefused() {
    return ByteBuffer.wrap(new byte[] {'N'});
  }

  /** Returns the response to a query without a statement. */
  public static ByteBuffer emptyQueryResponse() {
    return join(message('I', ""), READY_FOR_QUERY);
  }

  /** Returns ReadyForQuery, which ends every response. */
  public static ByteBuffer readyForQuery() {
    return ByteBuffer.wrap(READY_FOR_QUERY);
  }

  /**
   * Returns an error after which the session continues.
   *
   * @param sqlState SQLSTATE of five characters
   * @param message the message field
   * @param detail the detail field; null for none
   */
  public static ByteBuffer error(String sqlState, String message, String detail) {
    return join(errorResponse("ERROR", sqlState, message, detail), READY_FOR_QUERY);
  }

  /**
   * Returns an error after which the connection is closed.
   *
   * @param sqlState SQLSTATE of five characters
   * @param message the message field
   */
  public static ByteBuffer fatal(String sqlState, String message) {
    return join(errorResponse("FATAL", sqlState, message, null));
  }

  /**
   * Returns the response of a primary with one row, for the fake servers of tests and warm-up.
   *
   * @param value value of the row
   * @param commandTag tag of CommandComplete
   * @param positionMillis replication position of the server, as Unix time in milliseconds
   */
  public static byte[] rowResponse(String value, String commandTag, long positionMillis) {
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

  /** Returns the startup message that opens a session with a server. */
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
