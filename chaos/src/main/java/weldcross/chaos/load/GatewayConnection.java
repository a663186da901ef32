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

/** A client's connection to a gateway in PostgreSQL's protocol v3, one request at a time. */
final class GatewayConnection implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** How long a read may wait that only looks whether anything has come. */
  private static final int PROBE_TIMEOUT_MILLIS = 1;

  /** Of unexpected bytes so many are recorded. */
  private static final int MAX_UNEXPECTED_BYTES = 400;

  private static final Pattern SQL_STATE = Pattern.compile("(?s)^.*?C([0-9A-Z]{5})\0.*$");
  private static final Pattern RETRY_AFTER = Pattern.compile("(?s)^.*\0D([0-9]+)\0.*$");
  private static final String FATAL = "FATAL";
  private static final int VALUE_OFFSET = 6;
  private static final byte[] STARTUP = startup();

  /**
   * The answer to one request.
   *
   * @param errorCode the SQLSTATE of an error; empty if it was served
   * @param value the value of the row; empty for errors
   * @param reusable whether the connection is ready for the next request
   * @param retryAfter when to come again, if a rejection says so
   */
  record Answer(
      Optional<String> errorCode, String value, boolean reusable, Optional<Duration> retryAfter) {}

  private final Socket socket = new Socket();
  private final DataInputStream in;
  private boolean greeted;

  GatewayConnection(InetSocketAddress address) throws IOException {
    try {
      socket.setTcpNoDelay(true);
      socket.connect(address, CONNECT_TIMEOUT_MILLIS);
      in = new DataInputStream(socket.getInputStream());
      socket.getOutputStream().write(STARTUP);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Whether the gateway has ever answered on this connection. */
  boolean isGreeted() {
    return greeted;
  }

  /** Sends a statement as a simple query. */
  void send(String statement) throws IOException {
    byte[] bytes = statement.getBytes(StandardCharsets.ISO_8859_1);
    ByteBuffer message = ByteBuffer.allocate(6 + bytes.length);
    message.put((byte) 'Q').putInt(bytes.length + 5).put(bytes).put((byte) 0);
    socket.getOutputStream().write(message.array());
  }

  /**
   * Waits for the answer to the statement sent last.
   *
   * @param deadline when it is given up, by the clock
   * @throws SocketTimeoutException if it does not come in time
   */
  Answer awaitAnswer(long deadline, LongSupplier clock) throws IOException {
    Optional<String> errorCode = Optional.of("");
    Optional<Duration> retryAfter = Optional.empty();
    String value = "";
    while (true) {
      long left = TimeUnit.NANOSECONDS.toMillis(deadline - clock.getAsLong());
      if (left <= 0) {
        throw new SocketTimeoutException();
      }
      socket.setSoTimeout((int) left);
      int type = in.readUnsignedByte();
      byte[] body = new byte[in.readInt() - 4];
      in.readFully(body);
      String text = new String(body, StandardCharsets.ISO_8859_1);
      if (type == 'Z' && !greeted) {
        greeted = true;
      } else if (type == 'Z') {
        return new Answer(errorCode, value, true, retryAfter);
      } else if (type == 'E') {
        errorCode = Optional.of(SQL_STATE.matcher(text).replaceAll("$1"));
        retryAfter = retryAfter(text);
        if (text.contains(FATAL)) {
          return new Answer(errorCode, value, false, retryAfter);
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

  /** What an idle connection is found to be when it is to be used again. */
  enum IdleState {
    /** Nothing has come. */
    QUIET,
    /** It has ended, or the gateway has said why it ends. */
    ENDED,
    /** Something has come that was not asked for. */
    UNEXPECTED
  }

  /**
   * What was found on an idle connection.
   *
   * @param unexpected the bytes that were not asked for; empty unless the state is UNEXPECTED
   */
  record IdleCheck(IdleState state, String unexpected) {}

  /** Looks whether anything has come while the connection was idle. */
  IdleCheck checkIdle() {
    try {
      socket.setSoTimeout(PROBE_TIMEOUT_MILLIS);
      int first = in.read();
      if (first < 0) {
        return new IdleCheck(IdleState.ENDED, "");
      }
      byte[] rest = new byte[Math.min(MAX_UNEXPECTED_BYTES, in.available())];
      in.readFully(rest);
      String text = (char) first + new String(rest, StandardCharsets.ISO_8859_1);
      // An error that says why the connection ends answers no request.
      boolean farewell = first == 'E' && text.contains(FATAL);
      return farewell
          ? new IdleCheck(IdleState.ENDED, "")
          : new IdleCheck(IdleState.UNEXPECTED, text);
    } catch (SocketTimeoutException e) {
      return new IdleCheck(IdleState.QUIET, "");
    } catch (IOException e) {
      return new IdleCheck(IdleState.ENDED, "");
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection is not used any more.
    }
  }

  private static byte[] startup() {
    byte[] parameters = "user\0backend\0database\0store\0\0".getBytes(StandardCharsets.US_ASCII);
    ByteBuffer message = ByteBuffer.allocate(8 + parameters.length);
    message.putInt(8 + parameters.length).putInt(3 << 16).put(parameters);
    return message.array();
  }
}
