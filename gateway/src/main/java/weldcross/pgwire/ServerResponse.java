package weldcross.pgwire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * What a server has said to one query so far; the messages that make up its row stay as they were
 * read.
 */
public final class ServerResponse {

  private ByteBuffer columns;
  private ByteBuffer row;
  private ByteBuffer complete;
  private String state;
  private Boolean primary;
  private long position;
  private String stats;

  /**
   * Type, length, number of columns and length of the first: all that stands before a row's value.
   */
  static final int ROW_HEAD = 11;

  /** What a message may have at most: only a row is long. */
  private static final int LONGEST_TEXT = 4_096;

  private static final int COLUMN_TAIL = 18;

  /**
   * Tells early what can be no answer: a length that does not fit would swallow all that follows.
   */
  static void checkHead(byte type, int length) throws ProtocolException {
    boolean fits =
        switch (type) {
          case 'D' -> length >= ROW_HEAD - 1;
          case 'Z' -> length == 5;
          case 'T', 'C', 'E', 'S', 'N', 'R', 'K' -> length <= LONGEST_TEXT;
          default -> false;
        };
    if (!fits) {
      throw new ProtocolException(
          "08P01", "message of type " + type + " and length " + length + " from a server");
    }
  }

  /** One column, and its value fills the message. */
  static void checkRow(ByteBuffer message, int size) throws ProtocolException {
    if (message.getShort(5) != 1 || message.getInt(7) != size - ROW_HEAD) {
      throw new ProtocolException(
          "08P01",
          "row of "
              + message.getShort(5)
              + " columns with a value of "
              + message.getInt(7)
              + " bytes in "
              + size);
    }
  }

  /** Takes one message; true once the answer is whole, that is with ReadyForQuery. */
  boolean take(byte type, ByteBuffer whole) throws ProtocolException {
    switch (type) {
      case 'T' -> {
        inOrder(columns == null && state == null);
        checkColumns(whole);
        columns = whole;
      }
      case 'D' -> {
        inOrder(columns != null && row == null && state == null);
        checkRow(whole, whole.limit());
        row = whole;
      }
      case 'C' -> {
        inOrder(row != null && complete == null && state == null);
        complete = whole;
      }
      case 'E' -> {
        inOrder(state == null);
        state = field(whole, 'C');
      }
      case 'S' -> parameter(whole);
      case 'N' -> {
        // A notice says nothing that is read here.
      }
      case 'Z' -> {
        inOrder(whole.get(5) == 'I' && (state != null || complete != null));
        return true;
      }
      default ->
          throw new ProtocolException("08P01", "message of type " + (char) type + " from a server");
    }
    return false;
  }

  private static void inOrder(boolean is) throws ProtocolException {
    if (!is) {
      throw new ProtocolException("08P01", "message out of its order from a server");
    }
  }

  private static void checkColumns(ByteBuffer whole) throws ProtocolException {
    if (whole.limit() < 7
        || whole.getShort(5) != 1
        || end(whole, 7) + 1 + COLUMN_TAIL != whole.limit()) {
      throw new ProtocolException("08P01", "no description of one column from a server");
    }
  }

  /** Whether there is a whole row, ended as such a statement ends. */
  public boolean isServed(String tag) {
    return state == null
        && complete != null
        && (tag == null
            || (complete.limit() == 6 + tag.length()
                && text(complete, 5, complete.limit()).equals(tag + "\0")));
  }

  /** The row as its client gets it: untouched, then ready. */
  public ByteBuffer[] forClient() {
    return new ByteBuffer[] {columns, row, complete, MessageEncoder.ready()};
  }

  /** The SQLSTATE of an error; null where there was none. */
  public String state() {
    return state;
  }

  /** Null where the server said nothing of its role. */
  public Boolean primary() {
    return primary;
  }

  /** Unix time in milliseconds; 0 where the server said none. */
  public long positionMillis() {
    return position;
  }

  /** The load report: beside a row, or as the row of a probe; null where there is none. */
  public String stats() {
    return stats;
  }

  /** The one value of the row as text, for what a gateway itself has asked. */
  public String rowText() {
    int length = row == null || row.limit() < 11 ? -1 : row.getInt(7);
    return length < 0 || 11 + length > row.limit() ? "" : text(row, 11, 11 + length);
  }

  /** One that cannot be read says nothing, and spoils nothing: the answer beside it may be good. */
  private void parameter(ByteBuffer whole) {
    String[] words = text(whole, FrameDecoder.body((byte) 'S'), whole.limit()).split("\0", -1);
    if (words.length != 3 || !words[2].isEmpty()) {
      return;
    }
    switch (words[0]) {
      case "mode" ->
          primary =
              words[1].equals("read-write")
                  ? Boolean.TRUE
                  : words[1].equals("read-only") ? Boolean.FALSE : primary;
      case "wal_time" -> position = isNumber(words[1]) ? Long.parseLong(words[1]) : position;
      case "stats" -> stats = words[1];
      default -> {
        // Parameters of the session itself; nothing here depends on them.
      }
    }
  }

  private static boolean isNumber(String text) {
    return !text.isEmpty()
        && text.length() < 16
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  private static String field(ByteBuffer whole, char wanted) throws ProtocolException {
    int at = FrameDecoder.body((byte) 'E');
    String found = "";
    while (at < whole.limit() && whole.get(at) != 0) {
      int end = end(whole, at + 1);
      found = whole.get(at) == wanted ? text(whole, at + 1, end) : found;
      at = end + 1;
    }
    if (found.length() != 5 || at != whole.limit() - 1) {
      throw new ProtocolException("08P01", "no error with a code from a server");
    }
    return found;
  }

  private static int end(ByteBuffer whole, int from) throws ProtocolException {
    for (int at = from; at < whole.limit(); at++) {
      if (whole.get(at) == 0) {
        return at;
      }
    }
    throw new ProtocolException("08P01", "text without an end from a server");
  }

  private static String text(ByteBuffer whole, int from, int to) {
    byte[] bytes = new byte[to - from];
    whole.get(from, bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
