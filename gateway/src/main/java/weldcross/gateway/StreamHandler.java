package weldcross.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/** Dispatches the events of each MINA session to the {@link Stream} that is attached to it. */
class StreamHandler extends IoHandlerAdapter {

  private static final Logger LOG = Logger.getLogger(StreamHandler.class.getName());
  private static final String STREAM = "stream";
  private static final String NUMBER = "number";

  private final Map<Long, IoSession> sessions;

  /**
   * Creates a handler.
   *
   * @param sessions the open sessions by connection number, which several handlers may share
   */
  StreamHandler(ConcurrentHashMap<Long, IoSession> sessions) {
    this.sessions = sessions;
  }

  /** Attaches a stream to a session before its first event. */
  void attach(IoSession session, long number, Stream stream) {
    stream.session = session;
    session.setAttribute(NUMBER, number);
    session.setAttribute(STREAM, stream);
    sessions.put(number, session);
  }

  /** Returns the stream that is attached to a session. */
  static Stream streamOf(IoSession session) {
    return (Stream) session.getAttribute(STREAM);
  }

  /**
   * Half-closes a session that is to be closed and whose last message was sent. A full close with
   * unread bytes would reset the connection, and the peer could lose the last message.
   */
  static void shutdownIfSent(IoSession session, Stream stream) {
    if (stream.closeAfterWrite && stream.pendingWrites.get() == 0) {
      GatheringIoProcessor.shutdownOutput(session);
    }
  }

  @Override
  public void sessionOpened(IoSession session) {
    streamOf(session).opened();
  }

  @Override
  public void messageReceived(IoSession session, Object message) throws Exception {
    streamOf(session).read(((IoBuffer) message).buf());
  }

  @Override
  public void messageSent(IoSession session, Object message) {
    Stream stream = streamOf(session);
    stream.pendingWrites.decrementAndGet();
    shutdownIfSent(session, stream);
    stream.written();
  }

  @Override
  public void sessionClosed(IoSession session) {
    sessions.remove((Long) session.getAttribute(NUMBER));
    streamOf(session).closed();
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    // Malformed input or a network failure. Closing the session reports the end of the connection.
    Stream stream = streamOf(session);
    stream.connectionFailed = true;
    LOG.fine(
        () ->
            "connection failed: connection="
                + session.getAttribute(NUMBER)
                + " stream="
                + stream.getClass().getSimpleName()
                + " reason="
                + cause);
    session.closeNow();
  }
}
