package weldcross.pgwire;

import java.nio.ByteBuffer;

/**
 * The stream from a server: the start of the session, then one answer for each thing it was asked.
 * What does not belong to an answer, before, within or behind it, spoils the stream for good, as
 * nobody can tell any more what the next bytes answer.
 */
public final class ServerMessageDecoder implements FrameDecoder.Sink {

  /** What a server's stream tells. */
  public interface Sink {
    /** It has welcomed the session and takes queries. */
    void ready();

    /**
     * @param more whether there are bytes behind it, so that the stream is of no further use
     */
    void answered(ServerResponse answer, boolean more);

    /** An answer has begun to arrive, and the rest of it is still to come. */
    void begun();

    /** Bytes that belong to no answer, or an answer that cannot be one: nothing of it counts. */
    void spoilt(String why);
  }

  private final FrameDecoder frames = new FrameDecoder(false);
  private final Sink sink;
  private ServerResponse answer = new ServerResponse();
  private boolean started, spoilt, begun, welcomed;
  private ServerResponse whole;

  /** Set by the thread that asks, taken back by the one that reads. */
  private volatile boolean asked;

  public ServerMessageDecoder(Sink sink) {
    this.sink = sink;
  }

  /** Something is asked; called before it is written. */
  public void ask() {
    asked = true;
  }

  public void feed(ByteBuffer in) {
    if (spoilt || !in.hasRemaining()) {
      return;
    }
    try {
      if (!asked) {
        throw new ProtocolException("08P01", "bytes that nobody asked for");
      }
      frames.feed(in, this);
    } catch (ProtocolException e) {
      spoilt = true;
      // A good answer stays good, whatever comes behind it.
      if (whole == null) {
        sink.spoilt(e.getMessage());
      }
    }
    spoilt |= !asked && frames.isWithin();
    tell();
  }

  /** Told last, as it may be asked again in the same moment. */
  private void tell() {
    if (whole != null) {
      ServerResponse done = whole;
      whole = null;
      begun = false;
      sink.answered(done, spoilt);
    } else if (welcomed) {
      welcomed = false;
      if (!spoilt) {
        sink.ready();
      }
    } else if (started && !begun && !spoilt) {
      begun = true;
      sink.begun();
    }
  }

  /** What there is of an answer when the stream ends. */
  public ServerResponse rest() {
    return spoilt || frames.isWithin() ? new ServerResponse() : answer;
  }

  @Override
  public void head(byte type, int length) throws ProtocolException {
    if (!asked) {
      throw new ProtocolException("08P01", "bytes behind an answer");
    }
    ServerResponse.checkHead(type, length);
  }

  @Override
  public void part(ByteBuffer soFar) throws ProtocolException {
    if (soFar.get(0) == 'D' && soFar.position() >= ServerResponse.ROW_HEAD) {
      ServerResponse.checkRow(soFar, soFar.limit());
    }
  }

  @Override
  public void message(byte type, ByteBuffer message) throws ProtocolException {
    if (!started && (type == 'R' || type == 'K' || type == 'S' || type == 'N')) {
      return;
    }
    if (!started && type == 'Z') {
      started = true;
      welcomed = true;
      asked = false;
    } else if (answer.take(type, message)) {
      asked = false;
      whole = answer;
      answer = new ServerResponse();
    }
  }
}
