package weldcross.pgwire;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** The stream from a server: the start of the session, then one answer after the other. */
public final class ServerReader {

    private final FrameReader frames = new FrameReader(false);
    private final Runnable ready;
    private final Consumer<ServerAnswer> whole;
    private ServerAnswer answer = new ServerAnswer();
    private boolean started;

    /** @param ready called when the server has welcomed the session and takes queries */
    public ServerReader(Runnable ready, Consumer<ServerAnswer> whole) {
        this.ready = ready;
        this.whole = whole;
    }

    public void feed(ByteBuffer in) throws Malformed {
        frames.feed(in, this::message);
    }

    /** What there is of an answer when the stream ends. */
    public ServerAnswer rest() {
        return answer;
    }

    private void message(byte type, ByteBuffer message) throws Malformed {
        if (!started && (type == 'R' || type == 'K' || type == 'S' || type == 'N')) {
            return;
        }
        if (!started && type == 'Z') {
            started = true;
            ready.run();
        } else if (answer.take(type, message)) {
            ServerAnswer done = answer;
            answer = new ServerAnswer();
            whole.accept(done);
        }
    }
}
