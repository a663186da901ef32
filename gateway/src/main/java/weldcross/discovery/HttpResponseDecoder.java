package weldcross.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Decodes HTTP/1.1 responses from a stream that arrives in fragments of any size. A body is
 * delimited by its Content-Length, by its last chunk or by the close of the connection. Interim
 * responses (1xx) are skipped.
 */
public final class HttpResponseDecoder {

  private static final int MAX_LINE_LENGTH = 8_192;
  private static final int MAX_BODY_LENGTH = 4 << 20;
  private static final int MAX_STATUS = 999;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int DECIMAL = 10;
  private static final int HEX = 16;

  /** Receives decoded responses. */
  public interface Sink {

    /**
     * Receives a complete response.
     *
     * @param status the status code
     * @param body the body, with the transfer coding removed
     */
    void response(int status, byte[] body);
  }

  /** Thrown for invalid responses; the connection cannot be used any further. */
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
    BODY_UNTIL_CLOSE,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS
  }

  private final Sink sink;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private State state = State.STATUS;
  private int status;

  /** Bytes of the body, or of its current chunk, that were not received yet. */
  private int remaining;

  private boolean chunked;
  private boolean hasLength;

  /** Creates a decoder for one connection. */
  public HttpResponseDecoder(Sink sink) {
    this.sink = sink;
  }

  /**
   * Decodes the next bytes of the stream.
   *
   * @throws ProtocolException if the response is invalid or too long
   */
  public void feed(ByteBuffer in) throws ProtocolException {
    while (in.hasRemaining()) {
      switch (state) {
        case BODY, CHUNK -> readSizedBody(in);
        case BODY_UNTIL_CLOSE -> readBodyUntilClose(in);
        default -> readLineByte(in.get());
      }
    }
  }

  /**
   * Ends the stream after an orderly close, which also completes a body without a length. Must not
   * be called after a reset, as the body may then be truncated.
   */
  public void endOfStream() {
    if (state == State.BODY_UNTIL_CLOSE) {
      completeResponse();
    }
  }

  /** Returns whether a part of a response was received, but not all of it. */
  public boolean isInResponse() {
    return state != State.STATUS || line.size() > 0;
  }

  private void readSizedBody(ByteBuffer in) {
    byte[] bytes = new byte[Math.min(remaining, in.remaining())];
    in.get(bytes);
    body.writeBytes(bytes);
    remaining -= bytes.length;
    if (remaining > 0) {
      return;
    }
    if (state == State.BODY) {
      completeResponse();
    } else {
      state = State.CHUNK_END;
    }
  }

  private void readBodyUntilClose(ByteBuffer in) throws ProtocolException {
    if (in.remaining() > MAX_BODY_LENGTH - body.size()) {
      throw new ProtocolException("response body too long");
    }
    byte[] bytes = new byte[in.remaining()];
    in.get(bytes);
    body.writeBytes(bytes);
  }

  private void readLineByte(byte next) throws ProtocolException {
    if (next != '\n') {
      line.write(next);
      if (line.size() > MAX_LINE_LENGTH) {
        throw new ProtocolException("response line too long");
      }
      return;
    }
    String text = line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    line.reset();
    readLine(text);
  }

  private void readLine(String text) throws ProtocolException {
    switch (state) {
      case STATUS -> readStatusLine(text);
      case HEADERS -> readHeader(text);
      case CHUNK_SIZE -> readChunkSize(text);
      case CHUNK_END -> state = State.CHUNK_SIZE;
      case TRAILERS -> {
        if (text.isEmpty()) {
          completeResponse();
        }
      }
      default -> throw new IllegalStateException(state.name());
    }
  }

  private void readStatusLine(String text) throws ProtocolException {
    String[] fields = text.split(" ", 3);
    if (fields.length < 2 || !fields[0].startsWith("HTTP/1.")) {
      throw new ProtocolException("invalid status line: " + text);
    }
    status = parseNumber(fields[1], DECIMAL, MAX_STATUS);
    remaining = 0;
    chunked = false;
    hasLength = false;
    state = State.HEADERS;
  }

  private void readHeader(String text) throws ProtocolException {
    if (text.isEmpty()) {
      endHeaders();
      return;
    }
    int colon = text.indexOf(':');
    String name = text.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
    String value = text.substring(colon + 1).strip();
    if (name.equals("content-length")) {
      remaining = parseNumber(value, DECIMAL, MAX_BODY_LENGTH);
      hasLength = true;
    } else if (name.equals("transfer-encoding")) {
      chunked = value.equalsIgnoreCase("chunked");
    }
  }

  private void endHeaders() {
    boolean hasNoBody =
        status < FIRST_FINAL_STATUS || status == NO_CONTENT || status == NOT_MODIFIED;
    if (chunked) {
      state = State.CHUNK_SIZE;
    } else if (hasLength || hasNoBody) {
      state = State.BODY;
    } else {
      state = State.BODY_UNTIL_CLOSE;
    }
    if (state == State.BODY && remaining == 0) {
      completeResponse();
    }
  }

  private void readChunkSize(String text) throws ProtocolException {
    int extensionStart = text.indexOf(';');
    String size = extensionStart < 0 ? text : text.substring(0, extensionStart);
    remaining = parseNumber(size.strip(), HEX, MAX_BODY_LENGTH - body.size());
    state = remaining == 0 ? State.TRAILERS : State.CHUNK;
  }

  private void completeResponse() {
    byte[] bytes = body.toByteArray();
    body = new ByteArrayOutputStream();
    state = State.STATUS;
    // Interim responses, such as 100 Continue, precede the final one.
    if (status >= FIRST_FINAL_STATUS) {
      sink.response(status, bytes);
    }
  }

  private static int parseNumber(String text, int radix, int max) throws ProtocolException {
    try {
      int value = Integer.parseInt(text, radix);
      if (value >= 0 && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Rejected below, like a number that is out of range.
    }
    throw new ProtocolException("invalid number: " + text);
  }
}
