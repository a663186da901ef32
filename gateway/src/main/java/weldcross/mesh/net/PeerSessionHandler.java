package weldcross.mesh.net;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongConsumer;
import java.util.logging.Logger;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import weldcross.extension.ExtensionContext;
import weldcross.mesh.DisconnectReason;
import weldcross.mesh.PeerConnectionManager;
import weldcross.mesh.wire.Frame;

/**
 * Passes the events of MINA sessions to the connection manager, on the gateway's event loop thread.
 * Reading from a session is suspended while too many of its frames are pending, and resumed once
 * half of them are dispatched, so that TCP flow control slows the peer down.
 */
class PeerSessionHandler extends IoHandlerAdapter {

  /** Maximum number of frames of one session that were read and are not yet dispatched. */
  private static final int MAX_PENDING_FRAMES = 1024;

  private static final Logger LOG = Logger.getLogger(PeerSessionHandler.class.getName());
  private static final AttributeKey CONNECTION =
      new AttributeKey(PeerSessionHandler.class, "connection");
  private static final AttributeKey PENDING_FRAMES =
      new AttributeKey(PeerSessionHandler.class, "pendingFrames");

  private final ExtensionContext context;
  private final PeerConnectionManager connections;
  private final FrameDispatcher dispatcher;
  private final LongConsumer sessionRemover;

  /**
   * Creates a handler.
   *
   * @param sessionRemover receives the number of each closed connection, on the gateway's event
   *     loop thread
   */
  PeerSessionHandler(
      ExtensionContext context, PeerConnectionManager connections, LongConsumer sessionRemover) {
    this.context = context;
    this.connections = connections;
    this.dispatcher = new FrameDispatcher(connections);
    this.sessionRemover = sessionRemover;
  }

  /** Assigns the connection number to the session; called before any other event of the session. */
  static void setConnection(IoSession session, long connection) {
    session.setAttribute(CONNECTION, connection);
  }

  /** Runs an action with the session's connection number on the gateway's event loop thread. */
  final void post(IoSession session, LongConsumer action) {
    long connection = (Long) session.getAttribute(CONNECTION);
    context.post(() -> action.accept(connection));
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    Frame frame = (Frame) message;
    AtomicInteger pending = pendingFrames(session);
    if (pending.incrementAndGet() == MAX_PENDING_FRAMES) {
      session.suspendRead();
    }
    post(
        session,
        connection -> {
          dispatcher.dispatch(context.now(), connection, frame);
          if (pending.decrementAndGet() == MAX_PENDING_FRAMES / 2 && session.isReadSuspended()) {
            session.resumeRead();
          }
        });
  }

  private static AtomicInteger pendingFrames(IoSession session) {
    AtomicInteger pending = (AtomicInteger) session.getAttribute(PENDING_FRAMES);
    if (pending == null) {
      pending = new AtomicInteger();
      session.setAttribute(PENDING_FRAMES, pending);
    }
    return pending;
  }

  @Override
  public void sessionClosed(IoSession session) {
    post(
        session,
        connection -> {
          sessionRemover.accept(connection);
          connections.onClosed(context.now(), connection);
        });
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    LOG.fine(
        () ->
            "mesh: connection failed: connection="
                + session.getAttribute(CONNECTION)
                + " address="
                + session.getRemoteAddress()
                + " reason="
                + cause);
    // This reason also stands for a failed read, such as a connection reset by the network.
    post(
        session,
        connection ->
            connections.onProtocolError(
                context.now(), connection, DisconnectReason.UNREADABLE_FRAME));
    session.closeNow();
  }
}
