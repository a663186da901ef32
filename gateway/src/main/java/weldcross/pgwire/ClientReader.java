package weldcross.pgwire;

import java.nio.ByteBuffer;

/** The stream from a client: the start of the session, then queries, each told to the sink in its order. */
public final class ClientReader {

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
    }

    private static final int SSL = 80877103;
    private static final int GSS = 80877104;
    private static final int CANCEL = 80877102;

    private final FrameReader frames = new FrameReader(true);
    private final Sink sink;
    private boolean over, begun;
    private int told;

    public ClientReader(Sink sink) {
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
        } catch (Malformed e) {
            over = true;
            sink.broke(e.state(), e.getMessage());
        }
    }

    /** How many messages have been told to the sink. */
    public int told() {
        return told;
    }

    private void message(byte type, ByteBuffer whole) throws Malformed {
        begun = false;
        if (over) {
            return;
        }
        told++;
        switch (type) {
            case FrameReader.UNTYPED -> opening(whole.getInt(4));
            case 'Q' -> query(whole);
            case 'X' -> end();
            case 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'F', 'd', 'c', 'f' ->
                throw new Malformed("0A000", "only simple queries are served");
            default -> throw new Malformed("08P01", "message of unknown type " + type);
        }
    }

    private void opening(int code) throws Malformed {
        switch (code) {
            case FrameReader.VERSION_3 -> sink.started();
            case SSL, GSS -> sink.encryptionAsked();
            case CANCEL -> end();
            default -> throw new Malformed("0A000", "only version 3.0 of the protocol is served");
        }
    }

    private void query(ByteBuffer whole) {
        if (Statement.isEmpty(whole)) {
            sink.askedNothing();
            return;
        }
        try {
            sink.asked(Statement.read(whole));
        } catch (Malformed e) {
            sink.askedWrongly(e.state(), e.getMessage());
        }
    }

    private void end() {
        over = true;
        sink.ended();
    }
}
