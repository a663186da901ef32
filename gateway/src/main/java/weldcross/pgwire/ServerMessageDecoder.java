package weldcross.pgwire;

import java.nio.ByteBuffer;

/**
 * Decodes the stream of a server: session startup, then one response to each request. Bytes that
 * belong to no expected response make the stream permanently unusable, as later responses could no
 * longer be matched to their requests.
 *
 * <p>One thread calls {@link #feed}; {@link #expectResponse} may be called by another one.
 */
public final class ServerMessageDecoder implements FrameDecoder.Sink {

  /** Receives the responses of a server. */
  public interface Sink {

    /** The session is open, and the server is ready for queries. */
    void ready();

    /**
     * A complete response was received.
     *
     * @param response the response
     * @param hasTrailingBytes whether unexpected bytes follow, so that the stream cannot be used
     */
    void responseReceived(ServerResponse response, boolean hasTrailingBytes);

    /** A part of a response was received. */
    void responseStarted();

    /**
     * The stream cannot be used any further, and the current response must be discarded.
     *
     * @param reason the protocol violation, for the log
     */
    void protocolError(String reason);
  }

  private final FrameDecoder frames = new FrameDecoder(false);
  private final Sink sink;
  private ServerResponse response = new ServerResponse(ResponseAccount.UNLIMITED);
  private boolean sessionStarted;
  private boolean readyPending;
  private boolean responseStarted;

  /** Whether {@link #response} has the account of the expected response. */
  private boolean memoryAssigned;

  private boolean unusable;

  /** The response that was completed by the current call; null if there is none. */
  private ServerResponse completeResponse;

  /** The account of the next response; published by {@link #responseExpected}. */
  private ResponseAccount expectedMemory = ResponseAccount.UNLIMITED;

  /** Set by the thread that writes requests, cleared by the thread that calls {@link #feed}. */
  private volatile boolean responseExpected;

  /** Creates a decoder for one connection. */
  public ServerMessageDecoder(Sink sink) {
    this.sink = sink;
  }

  /** Allows one response, whose memory is not limited; see the other method of this name. */
  public void expectResponse() {
    expectResponse(ResponseAccount.UNLIMITED);
  }

  /**
   * Allows one response. Must be called before a request or the startup message is written.
   *
   * @param memory accounts for the response; released by {@link ServerResponse#release}
   */
  public void expectResponse(ResponseAccount memory) {
    expectedMemory = memory;
    responseExpected = true;
  }

  /** Decodes the next bytes of the stream; does nothing once the stream is unusable. */
  public void feed(ByteBuffer in) {
    if (unusable || !in.hasRemaining()) {
      return;
    }
    try {
      if (!responseExpected) {
        throw new ProtocolException(SqlState.PROTOCOL_VIOLATION, "unsolicited bytes from a server");
      }
      frames.feed(in, this);
    } catch (ProtocolException e) {
      unusable = true;
      // A complete response stays valid, whatever follows it.
      if (completeResponse == null) {
        sink.protocolError(e.getMessage());
      }
    }
    unusable |= !responseExpected && frames.isInMessage();
    notifySink();
  }

  /** Must be called last in {@link #feed}, as the sink may write the next request in its call. */
  private void notifySink() {
    if (completeResponse != null) {
      ServerResponse received = completeResponse;
      completeResponse = null;
      responseStarted = false;
      sink.responseReceived(received, unusable);
    } else if (readyPending) {
      readyPending = false;
      if (!unusable) {
        sink.ready();
      }
    } else if (sessionStarted && !responseStarted && !unusable) {
      responseStarted = true;
      sink.responseStarted();
    }
  }

  /** Returns the part of a response received when the stream ended; empty if it is unusable. */
  public ServerResponse partialResponse() {
    return unusable || frames.isInMessage() ? response.withoutMessages() : response;
  }

  @Override
  public void header(byte type, int length) throws ProtocolException {
    if (!responseExpected) {
      throw new ProtocolException(
          SqlState.PROTOCOL_VIOLATION, "bytes after a response of a server");
    }
    ServerResponse.checkHeader(type, length);
  }

  @Override
  public boolean admit(byte type, int size) {
    if (!memoryAssigned) {
      memoryAssigned = true;
      response = new ServerResponse(expectedMemory);
    }
    return response.admit(type, size);
  }

  @Override
  public void discarded(byte type) throws ProtocolException {
    response.discardRow();
  }

  @Override
  public void partialMessage(ByteBuffer partial) throws ProtocolException {
    if (partial.get(0) == 'D' && partial.position() >= ServerResponse.ROW_HEADER_SIZE) {
      ServerResponse.checkRow(partial, partial.limit());
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
      memoryAssigned = false;
      response.release();
    } else if (response.add(type, message)) {
      responseExpected = false;
      completeResponse = response;
      response = new ServerResponse(ResponseAccount.UNLIMITED);
      memoryAssigned = false;
    }
  }
}
