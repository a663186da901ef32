package weldcross.gateway;

import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import weldcross.pgwire.Replies;

/**
 * Accepts clients up to a number of open connections. Those beyond it are told so and closed where they are
 * accepted: they cost no session, no event and no descriptor, however fast they come again.
 */
final class CappedAcceptor extends NioSocketAcceptor {

    private final AtomicInteger open = new AtomicInteger();
    private final int most;

    CappedAcceptor(Executor executor, IoProcessor<NioSession> processor, int most) {
        super(executor, processor);
        this.most = most;
    }

    /** A connection that was accepted has ended. */
    void ended() {
        open.decrementAndGet();
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
            throws Exception {
        if (open.get() >= most) {
            try (SocketChannel surplus = handle.accept()) {
                if (surplus != null) {
                    ByteBuffer words = Replies.fatal("53300", "too many clients");
                    surplus.configureBlocking(false);
                    surplus.write(words);
                }
            }
            return null;
        }
        NioSession session = super.accept(processor, handle);
        if (session != null) {
            open.incrementAndGet();
        }
        return session;
    }
}
