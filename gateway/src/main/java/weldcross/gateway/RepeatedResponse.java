package weldcross.gateway;

import java.nio.ByteBuffer;
import java.util.List;

/** A response to many messages that followed one another, which are answered alike. */
final class RepeatedResponse {

  /** So many messages are answered by one buffer. */
  static final int MAX_PER_BUFFER = 256;

  private final ByteBuffer repeated;
  private final int responseBytes;

  /**
   * Creates a repeated response.
   *
   * @param response the response to one message
   */
  RepeatedResponse(ByteBuffer response) {
    responseBytes = response.remaining();
    repeated = ByteBuffer.allocate(responseBytes * MAX_PER_BUFFER);
    while (repeated.hasRemaining()) {
      repeated.put(response.duplicate());
    }
    repeated.flip();
  }

  /**
   * Returns the responses to some messages; they share their bytes with all others.
   *
   * @param count at most {@link #MAX_PER_BUFFER}
   */
  ByteBuffer of(int count) {
    return repeated.duplicate().limit(count * responseBytes);
  }

  /** Adds the responses to any number of messages. */
  void addTo(List<ByteBuffer> parts, int count) {
    for (int left = count; left > 0; left -= MAX_PER_BUFFER) {
      parts.add(of(Math.min(left, MAX_PER_BUFFER)));
    }
  }
}
