package weldcross.pgwire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The part of a server's response to one query that has arrived. The row description, the row and
 * CommandComplete are kept unchanged and forwarded to the client in that form.
 */
public final class ServerResponse {

  /** Bytes before the value of a row: type, length, column count and value length. */
  static final int ROW_HEADER_SIZE = 11;

  private static final int HEADER_SIZE = FrameDecoder.bodyOffset((byte) 'T');
  private static final int COLUMN_COUNT_OFFSET = HEADER_SIZE;
  private static final int COLUMN_NAME_OFFSET = COLUMN_COUNT_OFFSET + Short.BYTES;
  private static final int VALUE_LENGTH_OFFSET = COLUMN_COUNT_OFFSET + Short.BYTES;

  /** Bytes of the column attributes after the name in a row description. */
  private static final int COLUMN_ATTRIBUTES_SIZE = 18;

  /** Maximum length, in bytes, of messages other than rows. */
  private static final int MAX_TEXT_LENGTH = 4_096;

  private static final int READY_LENGTH = 5;
  private static final int SQL_STATE_LENGTH = 5;
  private static final int MAX_POSITION_DIGITS = 15;

  /** Accounts for the messages that are kept. */
  private ResponseAccount memory;

  /** Whether a row was received that was not kept, for lack of memory. */
  private boolean rowDiscarded;

  private ByteBuffer rowDescription;
  private ByteBuffer row;
  private ByteBuffer commandComplete;
  private String sqlState;
  private Boolean primary;
  private long positionMillis;
  private String loadReport;

  /**
   * Creates an empty response.
   *
   * @param memory accounts for the messages that are kept
   */
  ServerResponse(ResponseAccount memory) {
    this.memory = memory;
  }

  /** Returns an empty response that takes over the memory of this one. */
  ServerResponse withoutMessages() {
    return new ServerResponse(takeMemory());
  }

  /**
   * Returns whether a message is to be kept, or read and dropped, rather than discarded as it
   * arrives.
   */
  boolean admit(byte type, int size) {
    switch (type) {
      case 'T', 'C' -> memory.add(size);
      case 'D' -> {
        return memory.admitRow(size);
      }
      default -> {
        // Other messages are not kept.
      }
    }
    return true;
  }

  /** Records a row that was not admitted. */
  void discardRow() throws ProtocolException {
    requireRowExpected();
    rowDiscarded = true;
  }

  /** Returns whether the server sent a row that was not kept, for lack of memory. */
  public boolean isRowDiscarded() {
    return rowDiscarded;
  }

  /** Returns the account of the response. */
  public ResponseAccount memory() {
    return memory;
  }

  /** Passes the memory of the response, and the duty to release it, to the caller. */
  public ResponseAccount takeMemory() {
    ResponseAccount taken = memory;
    memory = ResponseAccount.UNLIMITED;
    return taken;
  }

  /** Gives back the memory of the response, unless it was taken. */
  public void release() {
    memory.release();
  }

  /**
   * Rejects a header that is invalid in a response or at the start of a session, as a wrong length
   * would consume bytes of the messages that follow.
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
      throw violation(
          "invalid type or length of a message from a server: " + describe(type) + ", " + length);
    }
  }

  /** Rejects a row that does not have exactly one column whose value fills the message. */
  static void checkRow(ByteBuffer message, int size) throws ProtocolException {
    short columns = message.getShort(COLUMN_COUNT_OFFSET);
    int valueLength = message.getInt(VALUE_LENGTH_OFFSET);
    if (columns != 1 || valueLength != size - ROW_HEADER_SIZE) {
      throw violation(
          "row of "
              + columns
              + " columns with a value of "
              + valueLength
              + " bytes in a message of "
              + size
              + " bytes, expected one column whose value fills the message");
    }
  }

  /** Adds a message; returns true if it is ReadyForQuery, which completes the response. */
  boolean add(byte type, ByteBuffer message) throws ProtocolException {
    switch (type) {
      case 'T' -> {
        requireOrder(type, rowDescription == null && sqlState == null);
        checkRowDescription(message);
        rowDescription = FrameDecoder.compact(message, 0);
      }
      case 'D' -> {
        requireRowExpected();
        checkRow(message, message.limit());
        row = FrameDecoder.compact(message, 0);
      }
      case 'C' -> {
        boolean rowReceived = row != null || rowDiscarded;
        requireOrder(type, rowReceived && commandComplete == null && sqlState == null);
        commandComplete = FrameDecoder.compact(message, 0);
      }
      case 'E' -> {
        requireOrder(type, sqlState == null);
        sqlState = readSqlState(message);
      }
      case 'S' -> readParameter(message);
      case 'N' -> {
        // Notices are ignored.
      }
      case 'Z' -> {
        boolean ended = sqlState != null || commandComplete != null;
        requireOrder(type, message.get(HEADER_SIZE) == 'I' && ended);
        return true;
      }
      default -> throw violation("message of type " + describe(type) + " in a response");
    }
    return false;
  }

  private void requireRowExpected() throws ProtocolException {
    boolean first = row == null && !rowDiscarded;
    requireOrder((byte) 'D', rowDescription != null && first && sqlState == null);
  }

  private static void requireOrder(byte type, boolean inOrder) throws ProtocolException {
    if (!inOrder) {
      throw violation("message of type " + describe(type) + " in unexpected order from a server");
    }
  }

  /** Returns the message type for the log: the character, or the number if it is not printable. */
  private static String describe(byte type) {
    return type > ' ' && type <= '~' ? String.valueOf((char) type) : String.valueOf(type);
  }

  private static void checkRowDescription(ByteBuffer message) throws ProtocolException {
    if (message.limit() < COLUMN_NAME_OFFSET
        || message.getShort(COLUMN_COUNT_OFFSET) != 1
        || indexOfZero(message, COLUMN_NAME_OFFSET) + 1 + COLUMN_ATTRIBUTES_SIZE
            != message.limit()) {
      throw violation("row description without exactly one column from a server");
    }
  }

  /**
   * Returns whether the statement was executed successfully.
   *
   * @param commandTag the required tag of CommandComplete; null for any
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
   * Returns the messages for the client: the row description, the row and CommandComplete
   * unchanged, then ReadyForQuery. Must be called only if {@link #isComplete} and not {@link
   * #isRowDiscarded}.
   */
  public ByteBuffer[] toClientMessages() {
    return new ByteBuffer[] {rowDescription, row, commandComplete, MessageEncoder.readyForQuery()};
  }

  /** Returns the SQLSTATE of an error; null if there was none. */
  public String sqlState() {
    return sqlState;
  }

  /** Returns whether the server is the primary; null if it did not report its role. */
  public Boolean primary() {
    return primary;
  }

  /** Returns the replication position as Unix time in milliseconds; 0 if none was reported. */
  public long positionMillis() {
    return positionMillis;
  }

  /** Returns the load report that was sent with the row; null if there was none. */
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

  /** Reads a parameter. An invalid one is ignored, as the row may still be valid. */
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
        // Session parameters, such as server_version, are not used.
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

  /** Returns the SQLSTATE field of an error response. */
  private static String readSqlState(ByteBuffer error) throws ProtocolException {
    int offset = HEADER_SIZE;
    String code = "";
    while (offset < error.limit() && error.get(offset) != 0) {
      int end = indexOfZero(error, offset + 1);
      code = error.get(offset) == 'C' ? text(error, offset + 1, end) : code;
      offset = end + 1;
    }
    if (code.length() != SQL_STATE_LENGTH || offset != error.limit() - 1) {
      throw violation("error without an SQLSTATE from a server");
    }
    return code;
  }

  private static int indexOfZero(ByteBuffer message, int from) throws ProtocolException {
    for (int offset = from; offset < message.limit(); offset++) {
      if (message.get(offset) == 0) {
        return offset;
      }
    }
    throw violation("unterminated string from a server");
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
