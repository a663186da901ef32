package weldcross.chaos.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Many clients that ask nothing: some send nothing at all, some only their startup message, some
 * half a statement behind it. They leave together.
 */
public final class IdleCrowd implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MILLIS = 200;

  /** The ways to ask nothing, taken by turns. */
  private static final List<byte[]> MESSAGES =
      List.of(new byte[0], startup(new byte[0]), startup(halfStatement()));

  private final List<Socket> sockets = new ArrayList<>();

  private static byte[] startup(byte[] andThen) {
    byte[] parameters = "user\0crowd\0\0".getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(8 + parameters.length + andThen.length)
        .putInt(8 + parameters.length)
        .putInt(3 << 16)
        .put(parameters)
        .put(andThen)
        .array();
  }

  private static byte[] halfStatement() {
    return new byte[] {'Q', 0, 0, 0, 99, 'S', 'E'};
  }

  /**
   * Connects more clients; those that are not let in are left out.
   *
   * @param gateway where to
   * @param count how many
   */
  public void join(InetSocketAddress gateway, int count) {
    for (int number = 0; number < count; number++) {
      Socket socket = new Socket();
      try {
        socket.connect(gateway, CONNECT_TIMEOUT_MILLIS);
        socket.getOutputStream().write(MESSAGES.get(number % MESSAGES.size()));
      } catch (IOException e) {
        // Not let in, or closed at once, as where descriptors are scarce.
      }
      sockets.add(socket);
    }
  }

  /** All leave at once. */
  @Override
  public void close() {
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        // It has ended.
      }
    }
    sockets.clear();
  }
}
