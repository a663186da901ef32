package weldcross.pgwire;

import java.nio.ByteBuffer;

/**
 * Decodes the stream of a client: session startup, then queries. The sink is called in the order of
 * the messages, on the thread that calls {@link #feed}.
 */
public final class ClientMessageDecoder {

  /** Receives the messages of a client. */
  public interface Sink {

    /** The client requested encryption and waits for a one-byte response. */
    void encryptionRequested();

    /** The client sent its startup message. */
    void startupReceived();

    /** The client sent a supported statement. */
    void statementReceived(Statement statement);

    /** The client sent a query without a statement. */
    void emptyQueryReceived();

    /**
     * Returns whether a query of the client is to be held in memory; called when its header has
     * arrived. Others are discarded as they arrive.
     *
     * @param size size of the message in bytes
     */
    default boolean admitQuery(int size) {
      return true;
    }

    /** The client sent a query that was not admitted; the connection stays open. */
    default void queryDiscarded() {}

    /**
     * The client sent an unsupported query; the connection stays open.
     *
     * @param sqlState SQLSTATE of the error response
     * @param message message of the error response
     */
    void statementRejected(String sqlState, String message);

    /** A part of a message was received; called at most once per message. */
    void messageStarted();

    /**
     * The stream cannot be decoded any further; no other method is called afterwards.
     *
     * @param sqlState SQLSTATE of the error response
     * @param message message of the error response
     */
    void protocolError(String sqlState, String message);

    /** The client ended the session; no other method is called afterwards. */
    void terminated();

    /**
     * The client requested that the statement of another connection be cancelled; no other method
     * is called afterwards.
     *
     * @param processId process ID that identifies the other connection
     * @param secretKey secret key that the request contains
     */
    void cancelRequested(int processId, int secretKey);
  }

  private static final int SSL_REQUEST = 80877103;
  private static final int GSS_ENCRYPTION_REQUEST = 80877104;
  private static final int CANCEL_REQUEST = 80877102;

  /** Offset of the protocol version or request code in an untyped message. */
  private static final int REQUEST_CODE_OFFSET = 4;

  private static final int PROCESS_ID_OFFSET = 8;
  private static final int SECRET_KEY_OFFSET = 12;
  private static final int CANCEL_REQUEST_LENGTH = 16;

  /** A query is copied if the buffer in which it was read is larger than it by more than this. */
  private static final int MAX_UNUSED_BYTES = 1_024;

  private final FrameDecoder frames = new FrameDecoder(true);
  private final FrameDecoder.Sink frameSink = new FrameSink();
  private final Sink sink;
  private boolean ended;
  private boolean messageStarted;
  private int messageCount;

  /** Creates a decoder for one connection. */
  public ClientMessageDecoder(Sink sink) {
    this.sink = sink;
  }

  /** Decodes the next bytes of the stream; the buffer is consumed up to its end or an error. */
  public void feed(ByteBuffer in) {
    try {
      if (!ended) {
        frames.feed(in, frameSink);
      }
      if (!ended && !messageStarted && frames.isInMessage()) {
        messageStarted = true;
        sink.messageStarted();
      }
    } catch (ProtocolException e) {
      // Bytes after the last message are ignored, even if they are invalid.
      if (!ended) {
        ended = true;
        sink.protocolError(e.sqlState(), e.getMessage());
      }
    }
  }

  /** Returns the number of complete messages decoded so far. */
  public int messageCount() {
    return messageCount;
  }

  /** Returns whether a part of a message was received, but not all of it. */
  public boolean isInMessage() {
    return !ended && frames.isInMessage();
  }

  /** Receives the messages of the stream. */
  private final class FrameSink implements FrameDecoder.Sink {

    @Override
    public void header(byte type, int length) throws ProtocolException {
      switch (type) {
        case FrameDecoder.UNTYPED, 'Q', 'X' -> {}
        case 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'F', 'd', 'c', 'f' ->
            throw new ProtocolException(
                SqlState.FEATURE_NOT_SUPPORTED, "only simple queries are served");
        default ->
            throw new ProtocolException(
                SqlState.PROTOCOL_VIOLATION, "message of unknown type " + type);
      }
    }

    @Override
    public boolean admit(byte type, int size) {
      return type != 'Q' || ended || sink.admitQuery(size);
    }

    @Override
    public void message(byte type, ByteBuffer message) throws ProtocolException {
      if (!countMessage()) {
        return;
      }
      switch (type) {
        case FrameDecoder.UNTYPED -> decodeUntypedMessage(message);
        case 'Q' -> decodeQuery(message);
        default -> terminate();
      }
    }

    @Override
    public void discarded(byte type) {
      if (countMessage()) {
        sink.queryDiscarded();
      }
    }
  }

  /** Counts a complete message; returns false if it is to be ignored, as the stream has ended. */
  private boolean countMessage() {
    messageStarted = false;
    messageCount += ended ? 0 : 1;
    return !ended;
  }

  private void decodeUntypedMessage(ByteBuffer message) throws ProtocolException {
    switch (message.getInt(REQUEST_CODE_OFFSET)) {
      case FrameDecoder.VERSION_3 -> sink.startupReceived();
      case SSL_REQUEST, GSS_ENCRYPTION_REQUEST -> sink.encryptionRequested();
      case CANCEL_REQUEST -> decodeCancelRequest(message);
      default ->
          throw new ProtocolException(
              SqlState.FEATURE_NOT_SUPPORTED, "only version 3.0 of the protocol is served");
    }
  }

  private void decodeCancelRequest(ByteBuffer message) {
    if (message.limit() == CANCEL_REQUEST_LENGTH) {
      ended = true;
      sink.cancelRequested(message.getInt(PROCESS_ID_OFFSET), message.getInt(SECRET_KEY_OFFSET));
    } else {
      terminate();
    }
  }

  private void decodeQuery(ByteBuffer message) {
    if (Statement.isEmpty(message)) {
      sink.emptyQueryReceived();
      return;
    }
    try {
      sink.statementReceived(Statement.parse(FrameDecoder.compact(message, MAX_UNUSED_BYTES)));
    } catch (ProtocolException e) {
      sink.statementRejected(e.sqlState(), e.getMessage());
    }
  }

  private void terminate() {
    ended = true;
    sink.terminated();
  }
}
