package weldcross.gateway;

import java.time.Duration;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** The one thread that makes a gateway's changes: what was posted, in its order, and what is due. */
final class Loop {

    private final LinkedBlockingQueue<Gateway.Event> posted = new LinkedBlockingQueue<>();
    private final Supplier<Duration> clock;

    Loop(Supplier<Duration> clock) {
        this.clock = clock;
    }

    void post(Gateway.Event event) {
        posted.add(event);
    }

    /** Makes all changes that have come or are due, without waiting for more. */
    void catchUp(Gateway gateway) {
        for (Gateway.Event event = posted.poll(); event != null; event = posted.poll()) {
            gateway.reduce(clock.get(), event);
        }
        gateway.reduceDue(clock.get());
    }

    /**
     * Returns when the gateway has stopped; a fault in it comes out, as a process that only seems alive is
     * worse.
     */
    void run(Gateway gateway) throws InterruptedException {
        while (gateway.phase() != Gateway.Phase.STOPPED) {
            Duration next = gateway.nextDue();
            long nanos = next == null ? Long.MAX_VALUE : next.minus(clock.get()).toNanos();
            Gateway.Event event = nanos <= 0 ? posted.poll() : posted.poll(nanos, TimeUnit.NANOSECONDS);
            // What has come already comes before what is due: it may be what was waited for.
            for (int left = posted.size(); event != null; event = left-- > 0 ? posted.poll() : null) {
                gateway.reduce(clock.get(), event);
            }
            gateway.reduceDue(clock.get());
        }
    }
}
