package weldcross.pgwire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One RPC as its client wrote it: a read or write of one key with a comment that says the rest.
 * Only the head's fields become text; the value stays where it was read, and goes out from there.
 */
public final class Statement {

  private static final byte[] READ = ascii("SELECT content FROM kv WHERE name = '");
  private static final byte[] READ_END = ascii("' /* ");
  private static final byte[] WRITE = ascii("INSERT INTO kv (name, content) VALUES ('");
  private static final byte[] VALUE = ascii("', '\\x");
  private static final byte[] WRITE_END = ascii("') RETURNING content /* ");
  private static final byte[] END = ascii(" */\0");

  private final ByteBuffer whole;
  private int at;
  private int waitFrom;
  private int waitTo;
  private boolean write;
  private String key;
  private String id;
  private String method;
  private String tenant;
  private String repeat;
  private int group;
  private long waitMillis;
  private long afterMillis;

  private Statement(ByteBuffer whole, int at) {
    this.whole = whole;
    this.at = at;
  }

  /**
   * Whether a query's message holds no statement at all, by which a gateway is asked if it is
   * ready.
   */
  public static boolean isEmpty(ByteBuffer query) {
    return query.limit() == FrameDecoder.body((byte) 'Q') + 1;
  }

  /**
   * @param query the whole message, whose body starts at {@link FrameReader#body}
   */
  public static Statement read(ByteBuffer query) throws ProtocolException {
    Statement s = new Statement(query, FrameDecoder.body((byte) 'Q'));
    s.write = !s.skip(READ);
    if (s.write && !s.skip(WRITE)) {
      throw new ProtocolException("42601", "neither of the two statements served here");
    }
    s.key = s.upTo('\'');
    if (s.write) {
      s.expect(VALUE);
      s.hex();
      s.expect(WRITE_END);
    } else {
      s.expect(READ_END);
    }
    s.comment();
    s.expect(END);
    if (s.at != query.limit()) {
      throw new ProtocolException("42601", "text after the statement");
    }
    return s;
  }

  public boolean isWrite() {
    return write;
  }

  /** How a server completes it. */
  public String tag() {
    return write ? "INSERT 0 1" : "SELECT 1";
  }

  public String key() {
    return key;
  }

  public String id() {
    return id;
  }

  public String method() {
    return method;
  }

  /** Null where the client names none. */
  public String tenant() {
    return tenant;
  }

  public int group() {
    return group;
  }

  /** Milliseconds from the client's send for which it waits. */
  public long waitMillis() {
    return waitMillis;
  }

  /** Unix time in milliseconds of the session's last commit; 0 where the client names none. */
  public long afterMillis() {
    return afterMillis;
  }

  public boolean isRepeat() {
    return "1".equals(repeat);
  }

  /** The message with another wait, all else untouched: heads written anew, the rest in place. */
  public ByteBuffer[] withWait(long millis) {
    byte[] digits = ascii(Long.toString(millis));
    int length = whole.limit() - 1 - (waitTo - waitFrom) + digits.length;
    ByteBuffer head = ByteBuffer.allocate(5).put((byte) 'Q').putInt(length).flip();
    return new ByteBuffer[] {
      head,
      whole.slice(5, waitFrom - 5),
      ByteBuffer.wrap(digits),
      whole.slice(waitTo, whole.limit() - waitTo)
    };
  }

  private void comment() throws ProtocolException {
    String cluster = null;
    String wait = null;
    String after = null;
    while (true) {
      String name = upTo('=');
      int from = at;
      while (at < whole.limit() && isPlain(whole.get(at))) {
        at++;
      }
      String value = text(from, at);
      switch (name) {
        case "id" -> id = once(name, id, value);
        case "c" -> method = once(name, method, value);
        case "t" -> tenant = once(name, tenant, value);
        case "cluster" -> cluster = once(name, cluster, value);
        case "after" -> after = once(name, after, value);
        case "r" -> repeat = once(name, repeat, value);
        case "d" -> {
          wait = once(name, wait, value);
          waitFrom = from;
          waitTo = at;
        }
        default -> {
          // Goes on to the server as it is, like the rest of the comment.
        }
      }
      if (at >= whole.limit() || whole.get(at) != ',') {
        break;
      }
      at++;
    }
    if (id == null || id.isEmpty() || method == null) {
      throw new ProtocolException("22023", "the comment must name id and c");
    }
    group = (int) number("cluster", cluster, Integer.MAX_VALUE);
    waitMillis = number("d", wait, Integer.MAX_VALUE);
    afterMillis = after == null || after.isEmpty() ? 0 : number("after", after, Long.MAX_VALUE);
  }

  private static String once(String name, String before, String value) throws ProtocolException {
    if (before != null) {
      throw new ProtocolException("22023", name + " stands twice in the comment");
    }
    return value;
  }

  private static long number(String name, String digits, long most) throws ProtocolException {
    try {
      long value = digits == null ? -1 : Long.parseLong(digits);
      if (value >= 0 && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Told below like all else that is no such number.
    }
    throw new ProtocolException("22023", name + " must be a whole number");
  }

  private void hex() throws ProtocolException {
    int from = at;
    while (at < whole.limit() && Character.digit(whole.get(at), 16) >= 0) {
      at++;
    }
    if ((at - from) % 2 != 0) {
      throw new ProtocolException("22023", "the value must be whole bytes in hex");
    }
  }

  private String upTo(char end) throws ProtocolException {
    int from = at;
    while (at < whole.limit() && isPlain(whole.get(at)) && whole.get(at) != end) {
      at++;
    }
    if (at == from || at >= whole.limit() || whole.get(at) != end) {
      throw new ProtocolException("42601", "a name ended by " + end + " was expected");
    }
    String text = text(from, at);
    at += end == '=' ? 1 : 0;
    return text;
  }

  /** What a name or value may be made of: nothing that could end it, escape it or split it. */
  private static boolean isPlain(byte b) {
    return b > ' ' && b < 127 && b != '\'' && b != '\\' && b != ',' && b != '*';
  }

  private String text(int from, int to) {
    byte[] bytes = new byte[to - from];
    whole.get(from, bytes);
    return new String(bytes, StandardCharsets.US_ASCII);
  }

  private void expect(byte[] literal) throws ProtocolException {
    if (!skip(literal)) {
      throw new ProtocolException("42601", "not a statement served here");
    }
  }

  private boolean skip(byte[] literal) {
    if (whole.limit() - at < literal.length
        || !whole.slice(at, literal.length).equals(ByteBuffer.wrap(literal))) {
      return false;
    }
    at += literal.length;
    return true;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
