package weldcross.chaos.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Many client connections that never send a complete statement: by turns nothing at all, only the
 * startup message, or the startup message and part of a statement. All are closed together.
 */
public final class IdleClients implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MILLIS = 200;

  private static final byte[] NOTHING = {};

  /** A StartupMessage with a user name and no database. */
  private static final byte[] STARTUP_MESSAGE = GatewayConnection.startupMessage("user\0crowd\0\0");

  /** The header of a simple query with a length of 99 bytes, and its first two characters. */
  private static final byte[] PARTIAL_STATEMENT = {'Q', 0, 0, 0, 99, 'S', 'E'};

  /** What the clients send, by turns. */
  private static final List<byte[]> MESSAGES =
      List.of(NOTHING, STARTUP_MESSAGE, concatenate(STARTUP_MESSAGE, PARTIAL_STATEMENT));

  private final List<Socket> sockets = new ArrayList<>();

  private static byte[] concatenate(byte[] first, byte[] second) {
    return ByteBuffer.allocate(first.length + second.length).put(first).put(second).array();
  }

  /**
   * Connects more clients; failed connections are ignored.
   *
   * @param gateway the address to connect to
   * @param count the number of clients
   */
  public void connect(InetSocketAddress gateway, int count) {
    for (int number = 0; number < count; number++) {
      Socket socket = new Socket();
      try {
        socket.connect(gateway, CONNECT_TIMEOUT_MILLIS);
        socket.getOutputStream().write(MESSAGES.get(number % MESSAGES.size()));
      } catch (IOException e) {
        // Refused, or closed at once because the gateway has no descriptors left.
      }
      sockets.add(socket);
    }
  }

  /** Closes all connections. */
  @Override
  public void close() {
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        // Closed already.
      }
    }
    sockets.clear();
  }
}
