package weldcross.pgwire;

import java.nio.ByteBuffer;

/**
 * Decodes the stream of a client: the start of the session, then queries. The sink is called in the
 * order of the messages, on the thread that feeds.
 */
public final class ClientMessageDecoder {

  /** Receives what a client sends. */
  public interface Sink {

    /** The client asked for encryption, and waits for one byte. */
    void encryptionRequested();

    /** The client opened the session. */
    void startupReceived();

    /** A statement arrived that is of a form served here. */
    void statementReceived(Statement statement);

    /** A query without a statement arrived. */
    void emptyQueryReceived();

    /**
     * A query arrived that is not served; the connection stays open.
     *
     * @param sqlState the error to answer with
     * @param message the reason, for the client
     */
    void statementRejected(String sqlState, String message);

    /** A message began, and its rest is still to come; called once a message. */
    void messageStarted();

    /**
     * The stream cannot be decoded any further; nothing else is called after this.
     *
     * @param sqlState the error to answer with
     * @param message the reason, for the client
     */
    void protocolError(String sqlState, String message);

    /** The client ended the session; nothing else is called after this. */
    void terminated();

    /**
     * The client asked to cancel the statement of another connection; nothing else is called after
     * this.
     *
     * @param processId identifies the other connection
     * @param secretKey the key that connection was given
     */
    void cancelRequested(int processId, int secretKey);
  }

  private static final int SSL_REQUEST = 80877103;
  private static final int GSS_ENCRYPTION_REQUEST = 80877104;
  private static final int CANCEL_REQUEST = 80877102;
  private static final int CANCEL_REQUEST_LENGTH = 16;

  private final FrameDecoder frames = new FrameDecoder(true);
  private final Sink sink;
  private boolean ended;
  private boolean messageStarted;
  private int messageCount;

  /** Creates a decoder for one connection. */
  public ClientMessageDecoder(Sink sink) {
    this.sink = sink;
  }

  /** Decodes the next bytes of the stream; the buffer is read to its end or to an error. */
  public void feed(ByteBuffer in) {
    try {
      if (!ended) {
        frames.feed(in, this::decode);
      }
      if (!ended && !messageStarted && frames.isInMessage()) {
        messageStarted = true;
        sink.messageStarted();
      }
    } catch (ProtocolException e) {
      // Bytes after the last message are ignored, also those that are no message.
      if (!ended) {
        ended = true;
        sink.protocolError(e.sqlState(), e.getMessage());
      }
    }
  }

  /** Returns the number of complete messages that were decoded so far. */
  public int messageCount() {
    return messageCount;
  }

  /** Returns whether a message began, and its rest is still to come. */
  public boolean isInMessage() {
    return !ended && frames.isInMessage();
  }

  private void decode(byte type, ByteBuffer message) throws ProtocolException {
    messageStarted = false;
    if (ended) {
      return;
    }
    messageCount++;
    switch (type) {
      case FrameDecoder.UNTYPED -> decodeOpening(message);
      case 'Q' -> decodeQuery(message);
      case 'X' -> terminate();
      case 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'F', 'd', 'c', 'f' ->
          throw new ProtocolException(
              SqlState.FEATURE_NOT_SUPPORTED, "only simple queries are served");
      default ->
          throw new ProtocolException(
              SqlState.PROTOCOL_VIOLATION, "message of unknown type " + type);
    }
  }

  private void decodeOpening(ByteBuffer message) throws ProtocolException {
    switch (message.getInt(4)) {
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
      sink.cancelRequested(message.getInt(8), message.getInt(12));
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
      sink.statementReceived(Statement.read(message));
    } catch (ProtocolException e) {
      sink.statementRejected(e.sqlState(), e.getMessage());
    }
  }

  private void terminate() {
    ended = true;
    sink.terminated();
  }
}
