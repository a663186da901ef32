package weldcross.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Responses of HTTP/1.1, however the stream is split: by length, in chunks, or up to the end of the
 * connection.
 */
public final class HttpResponseDecoder {

  private static final int LONGEST_LINE = 8_192;
  private static final int LONGEST_BODY = 4 << 20;

  /** Takes each response whole. */
  public interface Sink {
    void response(int status, byte[] body);
  }

  /** Bytes that are no response; the connection cannot be read on. */
  public static final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    ProtocolException(String message) {
      super(message, null, false, false);
    }
  }

  private enum State {
    STATUS,
    HEADERS,
    BODY,
    BODY_TO_END,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS
  }

  private final Sink sink;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private State part = State.STATUS;
  private int status;
  private int left;
  private boolean chunked, sized;

  public HttpResponseDecoder(Sink sink) {
    this.sink = sink;
  }

  public void feed(ByteBuffer in) throws ProtocolException {
    while (in.hasRemaining()) {
      if (part == State.BODY || part == State.CHUNK) {
        byte[] some = new byte[Math.min(left, in.remaining())];
        in.get(some);
        body.writeBytes(some);
        left -= some.length;
        if (left == 0 && part == State.BODY) {
          done();
        } else if (left == 0) {
          part = State.CHUNK_END;
        }
        continue;
      }
      if (part == State.BODY_TO_END) {
        if (in.remaining() > LONGEST_BODY - body.size()) {
          throw new ProtocolException("a body without an end");
        }
        byte[] rest = new byte[in.remaining()];
        in.get(rest);
        body.writeBytes(rest);
        continue;
      }
      byte b = in.get();
      if (b != '\n') {
        line.write(b);
        if (line.size() > LONGEST_LINE) {
          throw new ProtocolException("a line without an end");
        }
        continue;
      }
      String text = line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      line.reset();
      line(text);
    }
  }

  /**
   * The connection has ended in order, which ends a body that named no length; after a reset
   * nothing is whole.
   */
  public void ended() {
    if (part == State.BODY_TO_END) {
      done();
    }
  }

  /** Whether a response has begun and is not whole. */
  public boolean isWithin() {
    return part != State.STATUS || line.size() > 0;
  }

  private void line(String text) throws ProtocolException {
    switch (part) {
      case STATUS -> {
        String[] words = text.split(" ", 3);
        if (words.length < 2 || !words[0].startsWith("HTTP/1.")) {
          throw new ProtocolException("no status line: " + text);
        }
        status = number(words[1], 10, 999);
        left = 0;
        chunked = false;
        sized = false;
        part = State.HEADERS;
      }
      case HEADERS -> {
        if (text.isEmpty()) {
          afterHeaders();
          return;
        }
        int colon = text.indexOf(':');
        String name = text.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).strip();
        if (name.equals("content-length")) {
          left = number(value, 10, LONGEST_BODY);
          sized = true;
        } else if (name.equals("transfer-encoding")) {
          chunked = value.equalsIgnoreCase("chunked");
        }
      }
      case CHUNK_SIZE -> {
        left = number(text.split(";")[0].strip(), 16, LONGEST_BODY - body.size());
        part = left == 0 ? State.TRAILERS : State.CHUNK;
      }
      case CHUNK_END -> part = State.CHUNK_SIZE;
      case TRAILERS -> {
        if (text.isEmpty()) {
          done();
        }
      }
      default -> throw new IllegalStateException(part.name());
    }
  }

  private void afterHeaders() {
    boolean without = status < 200 || status == 204 || status == 304;
    part = chunked ? State.CHUNK_SIZE : sized || without ? State.BODY : State.BODY_TO_END;
    if (part == State.BODY && left == 0) {
      done();
    }
  }

  private void done() {
    byte[] whole = body.toByteArray();
    body = new ByteArrayOutputStream();
    part = State.STATUS;
    // 100 Continue and the like come before the response that counts.
    if (status >= 200) {
      sink.response(status, whole);
    }
  }

  private static int number(String text, int radix, int most) throws ProtocolException {
    try {
      int value = Integer.parseInt(text, radix);
      if (value >= 0 && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Told below like all else that is no such number.
    }
    throw new ProtocolException("no usable number: " + text);
  }
}
