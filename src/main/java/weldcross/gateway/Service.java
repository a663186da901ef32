package weldcross.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import weldcross.terms.GatewayTerms;

/** One gateway as a process: its clock, its thread, and the signal that ends it. */
public final class Service {

    private static final Logger LOG = Logger.getLogger(Service.class.getName());

    private Service() {
    }

    /** Serves until it is asked to stop; returns the status that the process is to exit with. */
    public static int run(GatewayTerms terms) {
        Instant wall = Instant.now();
        long zero = System.nanoTime();
        Supplier<Duration> clock = () -> Duration.ofNanos(System.nanoTime() - zero);
        Loop loop = new Loop(clock);
        Gateway gateway = new Gateway(terms, new MinaEffects(loop, clock),
                Duration.ofSeconds(wall.getEpochSecond(), wall.getNano()));
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            loop.post(Gateway::stop);
            try {
                stopped.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            // The signal would have the status of a process that was ended; this one has ended as asked.
            Runtime.getRuntime().halt(0);
        }));
        try {
            loop.post(Gateway::start);
            loop.run(gateway);
            stopped.countDown();
            return 0;
        } catch (Throwable e) {
            LOG.log(Level.SEVERE, "the gateway broke", e);
            Runtime.getRuntime().halt(70);
            return 70;
        }
    }
}
