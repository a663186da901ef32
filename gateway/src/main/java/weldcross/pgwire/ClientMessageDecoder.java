package weldcross.pgwire;

import java.nio.ByteBuffer;

/**
 * The stream from a client: the start of the session, then queries, each told to the sink in its
 * order.
 */
public final class ClientMessageDecoder {

  /** What a client can say. */
  public interface Sink {
    void encryptionAsked();

    void started();

    void asked(Statement statement);

    void askedNothing();

    /** A query that is not served; the connection goes on. */
    void askedWrongly(String state, String text);

    /** A message has begun, and the rest of it is still to come. */
    void begun();

    /** The stream cannot be read on. */
    void broke(String state, String text);

    void ended();

    /** Another connection's open statement is to be cancelled; this one says nothing more. */
    void cancelAsked(int process, int secret);
  }

  private static final int SSL = 80877103;
  private static final int GSS = 80877104;
  private static final int CANCEL = 80877102;
  private static final int CANCEL_LENGTH = 16;

  private final FrameDecoder frames = new FrameDecoder(true);
  private final Sink sink;
  private boolean over, begun;
  private int told;

  public ClientMessageDecoder(Sink sink) {
    this.sink = sink;
  }

  public void feed(ByteBuffer in) {
    try {
      if (!over) {
        frames.feed(in, this::message);
      }
      if (!over && !begun && frames.isWithin()) {
        begun = true;
        sink.begun();
      }
    } catch (ProtocolException e) {
      // What comes behind its last word is not looked at.
      if (!over) {
        over = true;
        sink.broke(e.state(), e.getMessage());
      }
    }
  }

  /** How many messages have been told to the sink. */
  public int told() {
    return told;
  }

  /** Whether a message has begun, the rest of which is still to come. */
  public boolean isWithin() {
    return !over && frames.isWithin();
  }

  private void message(byte type, ByteBuffer whole) throws ProtocolException {
    begun = false;
    if (over) {
      return;
    }
    told++;
    switch (type) {
      case FrameDecoder.UNTYPED -> opening(whole);
      case 'Q' -> query(whole);
      case 'X' -> end();
      case 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'F', 'd', 'c', 'f' ->
          throw new ProtocolException("0A000", "only simple queries are served");
      default -> throw new ProtocolException("08P01", "message of unknown type " + type);
    }
  }

  private void opening(ByteBuffer whole) throws ProtocolException {
    switch (whole.getInt(4)) {
      case FrameDecoder.VERSION_3 -> sink.started();
      case SSL, GSS -> sink.encryptionAsked();
      case CANCEL -> {
        if (whole.limit() == CANCEL_LENGTH) {
          over = true;
          sink.cancelAsked(whole.getInt(8), whole.getInt(12));
        } else {
          end();
        }
      }
      default -> throw new ProtocolException("0A000", "only version 3.0 of the protocol is served");
    }
  }

  private void query(ByteBuffer whole) {
    if (Statement.isEmpty(whole)) {
      sink.askedNothing();
      return;
    }
    try {
      sink.asked(Statement.read(whole));
    } catch (ProtocolException e) {
      sink.askedWrongly(e.state(), e.getMessage());
    }
  }

  private void end() {
    over = true;
    sink.ended();
  }
}
