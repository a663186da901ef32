package weldcross.chaos.load;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client connection to a gateway over PostgreSQL protocol v3, with one request at a time. */
final class GatewayConnection implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** The read timeout of {@link #checkIdle}; {@link Socket} has no non-blocking read. */
  private static final int IDLE_CHECK_TIMEOUT_MILLIS = 1;

  /** The maximum number of unexpected bytes that are recorded. */
  private static final int MAX_UNEXPECTED_BYTES = 400;

  private static final Pattern SQL_STATE = Pattern.compile("(?s)^.*?C([0-9A-Z]{5})\0.*$");
  private static final Pattern RETRY_AFTER = Pattern.compile("(?s)^.*\0D([0-9]+)\0.*$");
  private static final String FATAL = "FATAL";
  private static final int PROTOCOL_VERSION = 3 << 16;

  /** Where the value starts in a DataRow: after the column count and the column length. */
  private static final int VALUE_OFFSET = 6;

  private static final byte[] STARTUP_MESSAGE =
      startupMessage("user\0backend\0database\0store\0\0");

  /**
   * The response to one request.
   *
   * @param errorCode the SQLSTATE of an error; empty if the request was served
   * @param value the value of the row; empty for errors
   * @param reusable whether the connection is ready for the next request
   * @param retryAfter the Retry-After delay of a rejection, if it has one
   */
  record Response(
      Optional<String> errorCode, String value, boolean reusable, Optional<Duration> retryAfter) {}

  private final Socket socket = new Socket();
  private final DataInputStream in;
  private boolean startupCompleted;

  GatewayConnection(InetSocketAddress address) throws IOException {
    try {
      socket.setTcpNoDelay(true);
      socket.connect(address, CONNECT_TIMEOUT_MILLIS);
      in = new DataInputStream(socket.getInputStream());
      socket.getOutputStream().write(STARTUP_MESSAGE);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Returns whether the gateway has answered the startup message on this connection. */
  boolean isStartupCompleted() {
    return startupCompleted;
  }

  /** Sends a statement as a simple query. */
  void send(String statement) throws IOException {
    byte[] bytes = statement.getBytes(StandardCharsets.ISO_8859_1);
    ByteBuffer message = ByteBuffer.allocate(6 + bytes.length);
    message.put((byte) 'Q').putInt(bytes.length + 5).put(bytes).put((byte) 0);
    socket.getOutputStream().write(message.array());
  }

  /**
   * Waits for the response to the last statement sent.
   *
   * @param deadline when to stop waiting, as a reading of the clock
   * @throws SocketTimeoutException if the response does not arrive before the deadline
   */
  Response awaitResponse(long deadline, LongSupplier clock) throws IOException {
    Optional<String> errorCode = Optional.of("");
    Optional<Duration> retryAfter = Optional.empty();
    String value = "";
    while (true) {
      long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - clock.getAsLong());
      if (remainingMillis <= 0) {
        throw new SocketTimeoutException();
      }
      socket.setSoTimeout((int) remainingMillis);
      int type = in.readUnsignedByte();
      byte[] body = new byte[in.readInt() - 4];
      in.readFully(body);
      String text = new String(body, StandardCharsets.ISO_8859_1);
      if (type == 'Z' && !startupCompleted) {
        startupCompleted = true;
      } else if (type == 'Z') {
        return new Response(errorCode, value, true, retryAfter);
      } else if (type == 'E') {
        errorCode = Optional.of(SQL_STATE.matcher(text).replaceAll("$1"));
        retryAfter = retryAfter(text);
        if (text.contains(FATAL)) {
          return new Response(errorCode, value, false, retryAfter);
        }
      } else if (type == 'D') {
        errorCode = Optional.empty();
        value = text.substring(VALUE_OFFSET);
      }
    }
  }

  private static Optional<Duration> retryAfter(String error) {
    Matcher detail = RETRY_AFTER.matcher(error);
    return detail.matches()
        ? Optional.of(Duration.ofMillis(Long.parseLong(detail.group(1))))
        : Optional.empty();
  }

  /** The state of an idle connection before it is reused. */
  enum IdleState {
    /** Open, with no bytes received. */
    USABLE,
    /** Closed, or the gateway sent a FATAL error to announce the close. */
    CLOSED,
    /** Open, but bytes arrived that answer no request. */
    UNEXPECTED_DATA
  }

  /**
   * The result of checking an idle connection.
   *
   * @param unexpected the unsolicited bytes; empty unless the state is UNEXPECTED_DATA
   */
  record IdleCheck(IdleState state, String unexpected) {}

  /** Checks whether the connection was closed or received bytes while it was idle. */
  IdleCheck checkIdle() {
    try {
      socket.setSoTimeout(IDLE_CHECK_TIMEOUT_MILLIS);
      int first = in.read();
      if (first < 0) {
        return new IdleCheck(IdleState.CLOSED, "");
      }
      byte[] rest = new byte[Math.min(MAX_UNEXPECTED_BYTES, in.available())];
      in.readFully(rest);
      String text = (char) first + new String(rest, StandardCharsets.ISO_8859_1);
      // A FATAL error announces why the gateway closes the connection; it answers no request.
      boolean closeAnnounced = first == 'E' && text.contains(FATAL);
      return closeAnnounced
          ? new IdleCheck(IdleState.CLOSED, "")
          : new IdleCheck(IdleState.UNEXPECTED_DATA, text);
    } catch (SocketTimeoutException e) {
      return new IdleCheck(IdleState.USABLE, "");
    } catch (IOException e) {
      return new IdleCheck(IdleState.CLOSED, "");
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing to do: the connection is no longer used.
    }
  }

  /**
   * Encodes a StartupMessage of protocol version 3.0.
   *
   * @param parameters names and values, each terminated by a zero byte, and a final zero byte
   */
  static byte[] startupMessage(String parameters) {
    byte[] bytes = parameters.getBytes(StandardCharsets.US_ASCII);
    int length = 2 * Integer.BYTES + bytes.length;
    return ByteBuffer.allocate(length).putInt(length).putInt(PROTOCOL_VERSION).put(bytes).array();
  }
}
