package weldcross.pgwire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A statement of a client: a read or write of one key, with a comment that contains the metadata of
 * the request. Only the key and the fields of the comment are decoded to text; the value stays in
 * the buffer in which it was read and is forwarded from there.
 */
public final class Statement {

  private static final byte[] READ_PREFIX = ascii("SELECT content FROM kv WHERE name = '");
  private static final byte[] READ_SUFFIX = ascii("' /* ");
  private static final byte[] WRITE_PREFIX = ascii("INSERT INTO kv (name, content) VALUES ('");
  private static final byte[] VALUE_PREFIX = ascii("', '\\x");
  private static final byte[] WRITE_SUFFIX = ascii("') RETURNING content /* ");
  private static final byte[] COMMENT_END = ascii(" */\0");
  private static final int HEADER_SIZE = FrameDecoder.bodyOffset((byte) 'Q');

  /** Whether a byte, taken as unsigned, is a hex digit. */
  private static final boolean[] HEX_DIGITS = hexDigits();

  private final ByteBuffer message;

  /** Offset of the next byte to parse. */
  private int offset;

  /** Offset of the first digit of the timeout. */
  private int timeoutStart;

  /** Offset after the last digit of the timeout. */
  private int timeoutEnd;

  private boolean write;
  private String key;
  private String id;
  private String requestClass;
  private String tenant;
  private String retry;
  private int group;
  private long timeoutMillis;
  private long lastWriteMillis;

  private Statement(ByteBuffer message) {
    this.message = message;
    this.offset = HEADER_SIZE;
  }

  /**
   * Returns whether a query has no statement; clients send such queries to check whether a gateway
   * is ready.
   */
  public static boolean isEmpty(ByteBuffer query) {
    return query.limit() == HEADER_SIZE + 1;
  }

  /**
   * Parses a query.
   *
   * @param query the message, whose body starts at {@link FrameDecoder#bodyOffset}; must not change
   *     afterwards
   * @throws ProtocolException if the query has neither of the two supported forms, or its comment
   *     lacks a field or contains an invalid one
   */
  public static Statement parse(ByteBuffer query) throws ProtocolException {
    Statement statement = new Statement(query);
    statement.parseStatement();
    return statement;
  }

  /** Returns whether the statement writes its key, rather than reading it. */
  public boolean isWrite() {
    return write;
  }

  /** Returns the tag of CommandComplete in the response of a server. */
  public String commandTag() {
    return write ? "INSERT 0 1" : "SELECT 1";
  }

  /** Returns the key that is read or written. */
  public String key() {
    return key;
  }

  /** Returns the ID that the client gave the request; a retry has the ID of the first attempt. */
  public String id() {
    return id;
  }

  /** Returns the name of the request class. */
  public String requestClass() {
    return requestClass;
  }

  /** Returns the tenant; null if the client names none. */
  public String tenant() {
    return tenant;
  }

  /** Returns the number of the replica group that stores the key. */
  public int group() {
    return group;
  }

  /** Returns how long the client waits for a response after sending the request. */
  public long timeoutMillis() {
    return timeoutMillis;
  }

  /** Returns the Unix time in milliseconds of the session's last write; 0 if not specified. */
  public long lastWriteMillis() {
    return lastWriteMillis;
  }

  /** Returns whether the client sent the request before. */
  public boolean isRetry() {
    return "1".equals(retry);
  }

  /** Returns what the decoded text occupies beside the message, in bytes. */
  public int textBytes() {
    int bytes = key.length() + id.length() + requestClass.length();
    return bytes + (tenant == null ? 0 : tenant.length()) + (retry == null ? 0 : retry.length());
  }

  /** Returns the message with another timeout; only the header and the timeout are new buffers. */
  public ByteBuffer[] withTimeout(long millis) {
    byte[] digits = ascii(Long.toString(millis));
    int length = message.limit() - 1 - (timeoutEnd - timeoutStart) + digits.length;
    ByteBuffer header = ByteBuffer.allocate(HEADER_SIZE).put((byte) 'Q').putInt(length).flip();
    return new ByteBuffer[] {
      header,
      message.slice(HEADER_SIZE, timeoutStart - HEADER_SIZE),
      ByteBuffer.wrap(digits),
      message.slice(timeoutEnd, message.limit() - timeoutEnd)
    };
  }

  private void parseStatement() throws ProtocolException {
    write = !skip(READ_PREFIX);
    if (write && !skip(WRITE_PREFIX)) {
      throw syntaxError("neither of the two statements served here");
    }
    key = readPlainTextUntil('\'');
    if (write) {
      expect(VALUE_PREFIX);
      skipHexValue();
      expect(WRITE_SUFFIX);
    } else {
      expect(READ_SUFFIX);
    }
    parseComment();
    expect(COMMENT_END);
    if (offset != message.limit()) {
      throw syntaxError("text after the statement");
    }
  }

  private void parseComment() throws ProtocolException {
    String groupDigits = null;
    String timeoutDigits = null;
    String lastWriteDigits = null;
    do {
      String name = readPlainTextUntil('=');
      offset++;
      int start = offset;
      while (offset < message.limit() && isPlain(message.get(offset))) {
        offset++;
      }
      String value = text(start, offset);
      switch (name) {
        case "id" -> id = requireUnset(name, id, value);
        case "c" -> requestClass = requireUnset(name, requestClass, value);
        case "t" -> tenant = requireUnset(name, tenant, value);
        case "cluster" -> groupDigits = requireUnset(name, groupDigits, value);
        case "after" -> lastWriteDigits = requireUnset(name, lastWriteDigits, value);
        case "r" -> retry = requireUnset(name, retry, value);
        case "d" -> {
          timeoutDigits = requireUnset(name, timeoutDigits, value);
          timeoutStart = start;
          timeoutEnd = offset;
        }
        default -> {
          // Forwarded to the server unread, like the rest of the comment.
        }
      }
    } while (skipComma());
    if (id == null || id.isEmpty() || requestClass == null) {
      throw invalidParameter("the comment must name id and c");
    }
    group = (int) parseNumber("cluster", groupDigits, Integer.MAX_VALUE);
    timeoutMillis = parseNumber("d", timeoutDigits, Integer.MAX_VALUE);
    lastWriteMillis =
        lastWriteDigits == null || lastWriteDigits.isEmpty()
            ? 0
            : parseNumber("after", lastWriteDigits, Long.MAX_VALUE);
  }

  private boolean skipComma() {
    if (offset >= message.limit() || message.get(offset) != ',') {
      return false;
    }
    offset++;
    return true;
  }

  /** Returns the value of a field; throws if the field already has a value. */
  private static String requireUnset(String name, String current, String value)
      throws ProtocolException {
    if (current != null) {
      throw invalidParameter(name + " stands twice in the comment");
    }
    return value;
  }

  private static long parseNumber(String name, String digits, long max) throws ProtocolException {
    try {
      long value = digits == null ? -1 : Long.parseLong(digits);
      if (value >= 0 && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Rejected below, like a number that is out of range.
    }
    throw invalidParameter(name + " must be a whole number");
  }

  private void skipHexValue() throws ProtocolException {
    int start = offset;
    while (offset < message.limit() && HEX_DIGITS[Byte.toUnsignedInt(message.get(offset))]) {
      offset++;
    }
    if ((offset - start) % 2 != 0) {
      throw invalidParameter("the value must be whole bytes in hex");
    }
  }

  /** Returns the text before the next {@code end} and advances to that character. */
  private String readPlainTextUntil(char end) throws ProtocolException {
    int start = offset;
    while (offset < message.limit() && isPlain(message.get(offset)) && message.get(offset) != end) {
      offset++;
    }
    if (offset == start || offset >= message.limit() || message.get(offset) != end) {
      throw syntaxError("a name ended by " + end + " was expected");
    }
    return text(start, offset);
  }

  /** Returns whether a byte is allowed in a name or value: no delimiter or escape character. */
  private static boolean isPlain(byte value) {
    return value > ' '
        && value < 127
        && value != '\''
        && value != '\\'
        && value != ','
        && value != '*';
  }

  private String text(int from, int to) {
    byte[] bytes = new byte[to - from];
    message.get(from, bytes);
    return new String(bytes, StandardCharsets.US_ASCII);
  }

  private void expect(byte[] literal) throws ProtocolException {
    if (!skip(literal)) {
      throw syntaxError("not a statement served here");
    }
  }

  private boolean skip(byte[] literal) {
    if (message.limit() - offset < literal.length
        || !message.slice(offset, literal.length).equals(ByteBuffer.wrap(literal))) {
      return false;
    }
    offset += literal.length;
    return true;
  }

  private static ProtocolException syntaxError(String message) {
    return new ProtocolException(SqlState.SYNTAX_ERROR, message);
  }

  private static ProtocolException invalidParameter(String message) {
    return new ProtocolException(SqlState.INVALID_PARAMETER_VALUE, message);
  }

  private static boolean[] hexDigits() {
    boolean[] digits = new boolean[1 << Byte.SIZE];
    for (byte digit : ascii("0123456789abcdefABCDEF")) {
      digits[digit] = true;
    }
    return digits;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
