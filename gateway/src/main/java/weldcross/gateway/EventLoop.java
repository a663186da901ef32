package weldcross.gateway;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * The one thread that makes a gateway's changes: what was posted, in its order, and what is due.
 */
final class EventLoop {

  /** A turn that lasts longer is told while it lasts: until it ends nobody is answered. */
  private static final Duration LONG_TURN = Duration.ofSeconds(2);

  /** Of the place where it stands, so many calls are told. */
  private static final int PLACE = 8;

  private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());

  private final LinkedBlockingQueue<Gateway.Event> posted = new LinkedBlockingQueue<>();
  private final Supplier<Duration> clock;

  /** When the turn under way began; null between turns. */
  private volatile Duration turnBegan;

  private Duration told;

  EventLoop(Supplier<Duration> clock) {
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
    makeDue(gateway);
  }

  /**
   * Tells of the turn under way if it is a long one, once, with the place where its thread stands.
   */
  void lookAtTurn(Thread turning) {
    Duration began = turnBegan;
    if (began != null && !began.equals(told) && clock.get().minus(began).compareTo(LONG_TURN) > 0) {
      told = began;
      List<StackTraceElement> place = Arrays.asList(turning.getStackTrace());
      LOG.warning(
          () ->
              "one turn has lasted over "
                  + LONG_TURN.toMillis()
                  + " ms, nobody is answered: "
                  + place.stream()
                      .limit(PLACE)
                      .map(StackTraceElement::toString)
                      .collect(Collectors.joining(" < ")));
    }
  }

  /**
   * What is due when this begins, and no more: what asks for itself again waits its turn behind
   * what comes.
   */
  private void makeDue(Gateway gateway) {
    Duration until = clock.get();
    for (Duration at = until; gateway.reduceNextDue(until, at); ) {
      at = clock.get();
    }
  }

  /**
   * Returns when the gateway has stopped; a fault in it comes out, as a process that only seems
   * alive is worse.
   */
  void run(Gateway gateway) throws InterruptedException {
    while (gateway.phase() != Gateway.Phase.STOPPED) {
      Duration next = gateway.nextDue();
      long nanos = next == null ? Long.MAX_VALUE : next.minus(clock.get()).toNanos();
      Gateway.Event event = nanos <= 0 ? posted.poll() : posted.poll(nanos, TimeUnit.NANOSECONDS);
      turnBegan = clock.get();
      // What has come already comes before what is due: it may be what was waited for.
      for (int left = posted.size(); event != null; event = left-- > 0 ? posted.poll() : null) {
        gateway.reduce(clock.get(), event);
      }
      makeDue(gateway);
      turnBegan = null;
    }
  }
}
