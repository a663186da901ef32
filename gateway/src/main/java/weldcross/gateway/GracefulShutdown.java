package weldcross.gateway;

import java.time.Duration;
import java.util.logging.Logger;

/**
 * Stops a gateway without loss: for a grace period it serves on, as clients learn of the stop late;
 * then it closes idle connections, and stops when all requests are answered.
 */
final class GracefulShutdown {

  /**
   * For this long after a stop was requested new connections are accepted; also the time that
   * clients have to take their last responses.
   */
  private static final Duration GRACE_PERIOD = Duration.ofMillis(450);

  private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());

  private final Gateway gateway;
  private final Transport transport;
  private final ClientConnections clients;
  private final AttemptTracker attempts;
  private final ExtensionHost extensions;

  /** When the stop was requested; null before. */
  private Duration requestedAt;

  /** When the last response was written, with clients still connected; null if not yet. */
  private Duration answeredAt;

  GracefulShutdown(
      Gateway gateway,
      Transport transport,
      ClientConnections clients,
      AttemptTracker attempts,
      ExtensionHost extensions) {
    this.gateway = gateway;
    this.transport = transport;
    this.clients = clients;
    this.attempts = attempts;
    this.extensions = extensions;
  }

  /** Begins the stop; does nothing if one has begun. */
  void begin() {
    if (requestedAt != null) {
      return;
    }
    gateway.enterPhase(Gateway.Phase.DRAINING);
    requestedAt = gateway.now();
    extensions.drain();
    gateway.schedule(
        gateway.now().plus(GRACE_PERIOD),
        () -> {
          transport.stopListening();
          clients.closeAllIdle();
          stopIfDone();
        });
  }

  /** Whether the grace period of a stop is over. */
  boolean isClosing() {
    return isClosing(gateway.now());
  }

  /** Whether the grace period of a stop was over at a time. */
  boolean isClosing(Duration at) {
    return gateway.phase() == Gateway.Phase.DRAINING
        && at.minus(requestedAt).compareTo(GRACE_PERIOD) >= 0;
  }

  /** Called when a response is written: while any client takes its own, the others may as well. */
  void extendDrain() {
    answeredAt = null;
  }

  /**
   * Stops the gateway once all requests are answered and all clients are gone. A client that does
   * not take its last response is waited for once more, for a grace period.
   */
  void stopIfDone() {
    if (!isClosing() || !attempts.allAnswered()) {
      return;
    }
    if (clients.hasOpen() && answeredAt == null) {
      answeredAt = gateway.now();
      gateway.schedule(gateway.now().plus(GRACE_PERIOD), this::stopIfDone);
    }
    boolean waitedLongEnough =
        answeredAt != null && gateway.now().minus(answeredAt).compareTo(GRACE_PERIOD) >= 0;
    if ((clients.allClosed() || waitedLongEnough) && extensions.isDone()) {
      extensions.stop();
      LOG.info(() -> "stopped: " + attempts.describeTotals());
      gateway.enterPhase(Gateway.Phase.STOPPED);
    }
  }
}
