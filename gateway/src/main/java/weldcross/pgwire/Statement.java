package weldcross.pgwire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A statement as its client wrote it: a read or write of one key, with a comment that has the
 * request's metadata. Only the key and the comment's fields become text; the value stays in the
 * buffer in which it was read and is sent on from there.
 */
public final class Statement {

  private static final byte[] READ = ascii("SELECT content FROM kv WHERE name = '");
  private static final byte[] READ_END = ascii("' /* ");
  private static final byte[] WRITE = ascii("INSERT INTO kv (name, content) VALUES ('");
  private static final byte[] VALUE = ascii("', '\\x");
  private static final byte[] WRITE_END = ascii("') RETURNING content /* ");
  private static final byte[] END = ascii(" */\0");
  private static final int HEADER_SIZE = FrameDecoder.bodyOffset((byte) 'Q');
  private static final int HEX = 16;

  private final ByteBuffer message;

  /** Index of the next byte to parse. */
  private int at;

  private int timeoutStart;
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
    this.at = HEADER_SIZE;
  }

  /**
   * Returns whether a query has no statement; clients send such to ask whether a gateway serves.
   */
  public static boolean isEmpty(ByteBuffer query) {
    return query.limit() == HEADER_SIZE + 1;
  }

  /**
   * Parses a query.
   *
   * @param query the message, whose body starts at {@link FrameDecoder#bodyOffset}; must not change
   *     afterwards
   * @throws ProtocolException if the query is not of one of the two forms served, or its comment
   *     lacks a field
   */
  public static Statement read(ByteBuffer query) throws ProtocolException {
    Statement statement = new Statement(query);
    statement.parse();
    return statement;
  }

  /** Returns whether this writes its key; else it reads it. */
  public boolean isWrite() {
    return write;
  }

  /** Returns the tag with which a server completes this. */
  public String commandTag() {
    return write ? "INSERT 0 1" : "SELECT 1";
  }

  /** Returns the key that is read or written. */
  public String key() {
    return key;
  }

  /** Returns the client's identifier of the request; a retry has that of the first attempt. */
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

  /** Returns the number of the group of servers that has the key. */
  public int group() {
    return group;
  }

  /** Returns how long the client waits for an answer, in milliseconds from its send. */
  public long timeoutMillis() {
    return timeoutMillis;
  }

  /** Returns the Unix time in milliseconds of the session's last write; 0 if it names none. */
  public long lastWriteMillis() {
    return lastWriteMillis;
  }

  /** Returns whether the client sent this before. */
  public boolean isRetry() {
    return "1".equals(retry);
  }

  /** Returns the message with another timeout: a new header and number, the rest in place. */
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

  private void parse() throws ProtocolException {
    write = !skip(READ);
    if (write && !skip(WRITE)) {
      throw syntaxError("neither of the two statements served here");
    }
    key = plainTextUntil('\'');
    if (write) {
      expect(VALUE);
      skipHexValue();
      expect(WRITE_END);
    } else {
      expect(READ_END);
    }
    parseComment();
    expect(END);
    if (at != message.limit()) {
      throw syntaxError("text after the statement");
    }
  }

  private void parseComment() throws ProtocolException {
    String groupDigits = null;
    String timeoutDigits = null;
    String lastWriteDigits = null;
    do {
      String name = plainTextUntil('=');
      at++;
      int start = at;
      while (at < message.limit() && isPlain(message.get(at))) {
        at++;
      }
      String value = text(start, at);
      switch (name) {
        case "id" -> id = once(name, id, value);
        case "c" -> requestClass = once(name, requestClass, value);
        case "t" -> tenant = once(name, tenant, value);
        case "cluster" -> groupDigits = once(name, groupDigits, value);
        case "after" -> lastWriteDigits = once(name, lastWriteDigits, value);
        case "r" -> retry = once(name, retry, value);
        case "d" -> {
          timeoutDigits = once(name, timeoutDigits, value);
          timeoutStart = start;
          timeoutEnd = at;
        }
        default -> {
          // Sent on to the server unread, like the rest of the comment.
        }
      }
    } while (skipComma());
    if (id == null || id.isEmpty() || requestClass == null) {
      throw invalidParameter("the comment must name id and c");
    }
    group = (int) number("cluster", groupDigits, Integer.MAX_VALUE);
    timeoutMillis = number("d", timeoutDigits, Integer.MAX_VALUE);
    lastWriteMillis =
        lastWriteDigits == null || lastWriteDigits.isEmpty()
            ? 0
            : number("after", lastWriteDigits, Long.MAX_VALUE);
  }

  private boolean skipComma() {
    if (at >= message.limit() || message.get(at) != ',') {
      return false;
    }
    at++;
    return true;
  }

  private static String once(String name, String before, String value) throws ProtocolException {
    if (before != null) {
      throw invalidParameter(name + " stands twice in the comment");
    }
    return value;
  }

  private static long number(String name, String digits, long max) throws ProtocolException {
    try {
      long value = digits == null ? -1 : Long.parseLong(digits);
      if (value >= 0 && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below, like a number out of range.
    }
    throw invalidParameter(name + " must be a whole number");
  }

  private void skipHexValue() throws ProtocolException {
    int start = at;
    while (at < message.limit() && Character.digit(message.get(at), HEX) >= 0) {
      at++;
    }
    if ((at - start) % 2 != 0) {
      throw invalidParameter("the value must be whole bytes in hex");
    }
  }

  /** Returns the text before the next {@code end}, at which parsing goes on. */
  private String plainTextUntil(char end) throws ProtocolException {
    int start = at;
    while (at < message.limit() && isPlain(message.get(at)) && message.get(at) != end) {
      at++;
    }
    if (at == start || at >= message.limit() || message.get(at) != end) {
      throw syntaxError("a name ended by " + end + " was expected");
    }
    return text(start, at);
  }

  /** Returns whether a name or value may have this byte: nothing that ends, escapes or splits. */
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
    if (message.limit() - at < literal.length
        || !message.slice(at, literal.length).equals(ByteBuffer.wrap(literal))) {
      return false;
    }
    at += literal.length;
    return true;
  }

  private static ProtocolException syntaxError(String message) {
    return new ProtocolException(SqlState.SYNTAX_ERROR, message);
  }

  private static ProtocolException invalidParameter(String message) {
    return new ProtocolException(SqlState.INVALID_PARAMETER_VALUE, message);
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
