package weldcross.pgwire;

import java.nio.ByteBuffer;

/**
 * Decodes the stream of a server: the start of the session, then one response to each request.
 * Bytes that belong to no response make the stream unusable for good, as the request that later
 * bytes answer is then unknown.
 *
 * <p>One thread feeds; {@link #expectResponse} may be called by another one.
 */
public final class ServerMessageDecoder implements FrameDecoder.Sink {

  /** Receives what a server sends. */
  public interface Sink {

    /** The server opened the session and takes queries. */
    void ready();

    /**
     * A response is complete.
     *
     * @param response the response
     * @param hasTrailingBytes whether bytes follow it, so that the stream is of no further use
     */
    void responseReceived(ServerResponse response, boolean hasTrailingBytes);

    /** A response began, and its rest is still to come. */
    void responseStarted();

    /**
     * The stream is of no further use; nothing of the current response counts.
     *
     * @param reason what is wrong with the stream
     */
    void protocolError(String reason);
  }

  private final FrameDecoder frames = new FrameDecoder(false);
  private final Sink sink;
  private ServerResponse response = new ServerResponse();
  private boolean sessionStarted;
  private boolean readyPending;
  private boolean responseStarted;
  private boolean broken;

  /** The response that became complete in this call; null if none did. */
  private ServerResponse complete;

  /** Set by the thread that writes requests, cleared by the one that feeds. */
  private volatile boolean responseExpected;

  /** Creates a decoder for one connection. */
  public ServerMessageDecoder(Sink sink) {
    this.sink = sink;
  }

  /** Allows one response; to be called before a request, or the startup message, is written. */
  public void expectResponse() {
    responseExpected = true;
  }

  /** Decodes the next bytes of the stream; they are ignored once the stream is unusable. */
  public void feed(ByteBuffer in) {
    if (broken || !in.hasRemaining()) {
      return;
    }
    try {
      if (!responseExpected) {
        throw new ProtocolException(SqlState.PROTOCOL_VIOLATION, "bytes that nobody asked for");
      }
      frames.feed(in, this);
    } catch (ProtocolException e) {
      broken = true;
      // A complete response stays good, whatever follows it.
      if (complete == null) {
        sink.protocolError(e.getMessage());
      }
    }
    broken |= !responseExpected && frames.isInMessage();
    notifySink();
  }

  /** Comes last, as the sink may write the next request from within the call. */
  private void notifySink() {
    if (complete != null) {
      ServerResponse received = complete;
      complete = null;
      responseStarted = false;
      sink.responseReceived(received, broken);
    } else if (readyPending) {
      readyPending = false;
      if (!broken) {
        sink.ready();
      }
    } else if (sessionStarted && !responseStarted && !broken) {
      responseStarted = true;
      sink.responseStarted();
    }
  }

  /** Returns what arrived of a response when the stream ends; empty if it cannot be used. */
  public ServerResponse partialResponse() {
    return broken || frames.isInMessage() ? new ServerResponse() : response;
  }

  @Override
  public void header(byte type, int length) throws ProtocolException {
    if (!responseExpected) {
      throw new ProtocolException(SqlState.PROTOCOL_VIOLATION, "bytes behind an answer");
    }
    ServerResponse.checkHeader(type, length);
  }

  @Override
  public void partialMessage(ByteBuffer soFar) throws ProtocolException {
    if (soFar.get(0) == 'D' && soFar.position() >= ServerResponse.ROW_HEADER_SIZE) {
      ServerResponse.checkRow(soFar, soFar.limit());
    }
  }

  @Override
  public void message(byte type, ByteBuffer message) throws ProtocolException {
    if (!sessionStarted && (type == 'R' || type == 'K' || type == 'S' || type == 'N')) {
      return;
    }
    if (!sessionStarted && type == 'Z') {
      sessionStarted = true;
      readyPending = true;
      responseExpected = false;
    } else if (response.add(type, message)) {
      responseExpected = false;
      complete = response;
      response = new ServerResponse();
    }
  }
}
