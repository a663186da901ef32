package weldcross.pgwire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The response of a server to one query, as far as it has arrived. The messages of its row stay as
 * they were read, and go to the client in that form.
 */
public final class ServerResponse {

  /** Size in bytes of what precedes a row's value: type, length, column count, value length. */
  static final int ROW_HEADER_SIZE = 11;

  private static final int HEADER_SIZE = FrameDecoder.bodyOffset((byte) 'T');
  private static final int COLUMN_COUNT_OFFSET = HEADER_SIZE;
  private static final int COLUMN_NAME_OFFSET = COLUMN_COUNT_OFFSET + Short.BYTES;
  private static final int VALUE_LENGTH_OFFSET = COLUMN_COUNT_OFFSET + Short.BYTES;

  /** Size in bytes of what follows a column's name in a row description. */
  private static final int COLUMN_ATTRIBUTES_SIZE = 18;

  /** Largest length, in bytes, of messages other than rows. */
  private static final int MAX_TEXT_LENGTH = 4_096;

  private static final int READY_LENGTH = 5;
  private static final int SQL_STATE_LENGTH = 5;
  private static final int MAX_POSITION_DIGITS = 15;

  private ByteBuffer rowDescription;
  private ByteBuffer row;
  private ByteBuffer commandComplete;
  private String sqlState;
  private Boolean primary;
  private long positionMillis;
  private String loadReport;

  /** Creates a response of which nothing has arrived. */
  ServerResponse() {}

  /**
   * Rejects a header that no response has, as a wrong length would swallow all bytes that follow.
   */
  static void checkHeader(byte type, int length) throws ProtocolException {
    boolean valid =
        switch (type) {
          case 'D' -> length >= ROW_HEADER_SIZE - 1;
          case 'Z' -> length == READY_LENGTH;
          case 'T', 'C', 'E', 'S', 'N', 'R', 'K' -> length <= MAX_TEXT_LENGTH;
          default -> false;
        };
    if (!valid) {
      throw violation("message of type " + type + " and length " + length + " from a server");
    }
  }

  /** Rejects a row that is not of one column whose value fills the message. */
  static void checkRow(ByteBuffer message, int size) throws ProtocolException {
    short columns = message.getShort(COLUMN_COUNT_OFFSET);
    int valueLength = message.getInt(VALUE_LENGTH_OFFSET);
    if (columns != 1 || valueLength != size - ROW_HEADER_SIZE) {
      throw violation(
          "row of " + columns + " columns with a value of " + valueLength + " bytes in " + size);
    }
  }

  /** Adds one message; returns true if the response is complete, that is with ReadyForQuery. */
  boolean add(byte type, ByteBuffer message) throws ProtocolException {
    switch (type) {
      case 'T' -> {
        requireOrder(rowDescription == null && sqlState == null);
        checkRowDescription(message);
        rowDescription = message;
      }
      case 'D' -> {
        requireOrder(rowDescription != null && row == null && sqlState == null);
        checkRow(message, message.limit());
        row = message;
      }
      case 'C' -> {
        requireOrder(row != null && commandComplete == null && sqlState == null);
        commandComplete = message;
      }
      case 'E' -> {
        requireOrder(sqlState == null);
        sqlState = readSqlState(message);
      }
      case 'S' -> readParameter(message);
      case 'N' -> {
        // A notice has nothing that is read here.
      }
      case 'Z' -> {
        boolean ended = sqlState != null || commandComplete != null;
        requireOrder(message.get(HEADER_SIZE) == 'I' && ended);
        return true;
      }
      default -> throw violation("message of type " + (char) type + " from a server");
    }
    return false;
  }

  private static void requireOrder(boolean inOrder) throws ProtocolException {
    if (!inOrder) {
      throw violation("message out of its order from a server");
    }
  }

  private static void checkRowDescription(ByteBuffer message) throws ProtocolException {
    if (message.limit() < COLUMN_NAME_OFFSET
        || message.getShort(COLUMN_COUNT_OFFSET) != 1
        || indexOfZero(message, COLUMN_NAME_OFFSET) + 1 + COLUMN_ATTRIBUTES_SIZE
            != message.limit()) {
      throw violation("no description of one column from a server");
    }
  }

  /**
   * Returns whether the statement was carried out.
   *
   * @param commandTag the tag with which it must be completed; null for any
   */
  public boolean isComplete(String commandTag) {
    if (sqlState != null || commandComplete == null) {
      return false;
    }
    return commandTag == null
        || (commandComplete.limit() == HEADER_SIZE + commandTag.length() + 1
            && text(commandComplete, HEADER_SIZE, commandComplete.limit())
                .equals(commandTag + "\0"));
  }

  /**
   * Returns the messages for the client: the row as it was read, then ReadyForQuery. To be called
   * only if {@link #isComplete}.
   */
  public ByteBuffer[] toClientMessages() {
    return new ByteBuffer[] {rowDescription, row, commandComplete, MessageEncoder.ready()};
  }

  /** Returns the SQLSTATE of an error; null if there was none. */
  public String sqlState() {
    return sqlState;
  }

  /** Returns whether the server is the primary; null if it did not say. */
  public Boolean primary() {
    return primary;
  }

  /** Returns the server's position as Unix time in milliseconds; 0 if it sent none. */
  public long positionMillis() {
    return positionMillis;
  }

  /** Returns the load report that came beside the row; null if there was none. */
  public String loadReport() {
    return loadReport;
  }

  /** Returns the value of the row as text; empty if there is no row. */
  public String rowText() {
    int length =
        row == null || row.limit() < ROW_HEADER_SIZE ? -1 : row.getInt(VALUE_LENGTH_OFFSET);
    return length < 0 || ROW_HEADER_SIZE + length > row.limit()
        ? ""
        : text(row, ROW_HEADER_SIZE, ROW_HEADER_SIZE + length);
  }

  /** Ignores a parameter that cannot be read: the row beside it may be good. */
  private void readParameter(ByteBuffer message) {
    String[] fields = text(message, HEADER_SIZE, message.limit()).split("\0", -1);
    if (fields.length != 3 || !fields[2].isEmpty()) {
      return;
    }
    String value = fields[1];
    switch (fields[0]) {
      case "mode" -> readMode(value);
      case "wal_time" -> positionMillis = isNumber(value) ? Long.parseLong(value) : positionMillis;
      case "stats" -> loadReport = value;
      default -> {
        // Parameters of the session itself; nothing here depends on them.
      }
    }
  }

  private void readMode(String mode) {
    if (mode.equals("read-write")) {
      primary = Boolean.TRUE;
    } else if (mode.equals("read-only")) {
      primary = Boolean.FALSE;
    }
  }

  private static boolean isNumber(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_POSITION_DIGITS
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  /** Returns the code field of an error; throws if there is none. */
  private static String readSqlState(ByteBuffer error) throws ProtocolException {
    int at = HEADER_SIZE;
    String code = "";
    while (at < error.limit() && error.get(at) != 0) {
      int end = indexOfZero(error, at + 1);
      code = error.get(at) == 'C' ? text(error, at + 1, end) : code;
      at = end + 1;
    }
    if (code.length() != SQL_STATE_LENGTH || at != error.limit() - 1) {
      throw violation("no error with a code from a server");
    }
    return code;
  }

  private static int indexOfZero(ByteBuffer message, int from) throws ProtocolException {
    for (int at = from; at < message.limit(); at++) {
      if (message.get(at) == 0) {
        return at;
      }
    }
    throw violation("text without an end from a server");
  }

  private static String text(ByteBuffer message, int from, int to) {
    byte[] bytes = new byte[to - from];
    message.get(from, bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private static ProtocolException violation(String message) {
    return new ProtocolException(SqlState.PROTOCOL_VIOLATION, message);
  }
}
