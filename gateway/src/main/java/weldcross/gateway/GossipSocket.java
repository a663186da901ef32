package weldcross.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import weldcross.gossip.GossipMessage;
import weldcross.routing.ServerId;

/** The UDP socket over which gateways exchange {@link GossipMessage}s. */
final class GossipSocket implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(GossipSocket.class.getName());

  private final NioDatagramAcceptor acceptor = new NioDatagramAcceptor();
  private final InetSocketAddress address;

  /**
   * Opens the socket.
   *
   * @param address local address for receiving and sending messages
   * @param onMessage receives, on the socket's thread, the server named in each valid message
   * @throws IOException if the address cannot be bound
   */
  GossipSocket(InetSocketAddress address, Consumer<ServerId> onMessage) throws IOException {
    this.address = address;
    acceptor.setHandler(
        new IoHandlerAdapter() {
          @Override
          public void messageReceived(IoSession session, Object message) {
            ServerId server = decode((IoBuffer) message);
            if (server != null) {
              onMessage.accept(server);
            }
          }

          @Override
          public void exceptionCaught(IoSession session, Throwable cause) {
            LOG.log(Level.FINE, "gossip socket error", cause);
          }
        });
    acceptor.bind(address);
  }

  private static ServerId decode(IoBuffer message) {
    byte[] bytes = new byte[message.remaining()];
    message.get(bytes);
    return GossipMessage.decode(bytes);
  }

  /** Sends a message; delivery is not guaranteed. */
  void send(InetSocketAddress target, byte[] message) {
    acceptor.newSession(target, address).write(IoBuffer.wrap(message));
  }

  @Override
  public void close() {
    acceptor.dispose();
  }
}
