package weldcross.mesh.net;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import weldcross.mesh.wire.Datagram;

/** Sends and receives mesh datagrams on one bound UDP socket. */
final class DatagramTransport implements AutoCloseable {

  /** Longer datagrams are not sent, because networks may fragment or drop them. */
  private static final int MAX_DATAGRAM_BYTES = 1200;

  private static final Logger LOG = Logger.getLogger(DatagramTransport.class.getName());

  private final InetSocketAddress listenAddress;
  private final NioDatagramAcceptor acceptor;

  /**
   * Binds the socket.
   *
   * @param listener receives each decoded datagram on a MINA thread
   */
  DatagramTransport(
      InetSocketAddress listenAddress, ExecutorService threads, Consumer<Datagram> listener)
      throws IOException {
    this.listenAddress = listenAddress;
    acceptor = new NioDatagramAcceptor(threads);
    acceptor.setHandler(
        new IoHandlerAdapter() {
          @Override
          public void messageReceived(IoSession session, Object message) {
            decode((IoBuffer) message, listener);
          }
        });
    acceptor.bind(listenAddress);
  }

  private static void decode(IoBuffer in, Consumer<Datagram> listener) {
    byte[] bytes = new byte[in.remaining()];
    in.get(bytes);
    try {
      listener.accept(Datagram.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      LOG.fine(() -> "mesh: datagram ignored: reason=" + e.getMessage());
    }
  }

  void send(InetSocketAddress to, Datagram datagram) {
    byte[] bytes = datagram.toByteArray();
    if (bytes.length <= MAX_DATAGRAM_BYTES) {
      acceptor.newSession(to, listenAddress).write(IoBuffer.wrap(bytes));
    }
  }

  @Override
  public void close() {
    acceptor.dispose();
  }
}
