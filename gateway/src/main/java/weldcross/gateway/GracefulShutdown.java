package weldcross.gateway;

import java.time.Duration;
import java.util.logging.Logger;

/**
 * Shuts a gateway down without losing requests. For a grace period it continues to serve, as
 * clients learn of the shutdown with a delay; then it closes idle connections, and stops when all
 * requests are answered.
 */
final class GracefulShutdown {

  /**
   * How long new connections are accepted after shutdown was requested, and how long clients have
   * to read their last responses.
   */
  private static final Duration GRACE_PERIOD = Duration.ofMillis(450);

  private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());

  private final Gateway gateway;
  private final Transport transport;
  private final ClientConnections clients;
  private final AttemptTracker attempts;
  private final ExtensionHost extensions;

  /** When shutdown was requested; null before. */
  private Duration requestedAt;

  /**
   * Since when all requests have been answered while clients are still connected; null if that is
   * not the case.
   */
  private Duration allAnsweredSince;

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

  /** Begins the shutdown; does nothing if it has begun already. */
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

  /** Whether shutdown was requested and its grace period has ended. */
  boolean isClosing() {
    return isClosing(gateway.now());
  }

  /** Whether shutdown was requested and its grace period had ended at the given time. */
  boolean isClosing(Duration time) {
    return gateway.phase() == Gateway.Phase.DRAINING
        && time.minus(requestedAt).compareTo(GRACE_PERIOD) >= 0;
  }

  /** Restarts the wait for clients to read their last responses after one has been written. */
  void extendDrain() {
    allAnsweredSince = null;
  }

  /**
   * Stops the gateway once all requests are answered and all clients have disconnected. Clients
   * that do not read their last responses are waited for only for another grace period.
   */
  void stopIfDone() {
    if (!isClosing() || !attempts.allAnswered()) {
      return;
    }
    if (clients.hasOpen() && allAnsweredSince == null) {
      allAnsweredSince = gateway.now();
      gateway.schedule(gateway.now().plus(GRACE_PERIOD), this::stopIfDone);
    }
    boolean gracePeriodEnded =
        allAnsweredSince != null
            && gateway.now().minus(allAnsweredSince).compareTo(GRACE_PERIOD) >= 0;
    if ((clients.allClosed() || gracePeriodEnded) && extensions.isDone()) {
      extensions.stop();
      LOG.info(() -> "stopped: " + attempts.describeTotals());
      gateway.enterPhase(Gateway.Phase.STOPPED);
    }
  }
}
