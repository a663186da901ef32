package weldcross.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.logging.Logger;
import weldcross.config.ConfigValues;
import weldcross.config.GatewayConfig;
import weldcross.config.InvalidConfigException;
import weldcross.discovery.EndpointListLease;

/**
 * Keeps the endpoint list up to date: starts with the list of the previous run, then requests the
 * complete list and one watch after the other. If discovery moves, the complete list is requested
 * at the new address while the old one is still watched; the old session ends with the first list
 * of the new one, or by itself. Called by the event loop alone.
 */
final class DiscoveryWatcher {

  private static final Logger LOG = Logger.getLogger(DiscoveryWatcher.class.getName());
  private static final int HTTP_OK = 200;

  private final Gateway gateway;
  private final Transport transport;
  private final GatewayConfig config;
  private final DiscoverySession.Timeouts timeouts;
  private final EndpointListLease lease;
  private final EndpointListLeaseMonitor leaseMonitor;
  private final EndpointListUpdater updater;
  private final SplittableRandom random;

  /** The session that the list comes from; null if it failed after discovery moved. */
  private DiscoverySession current;

  /** The session that is to take over; null if discovery does not move. */
  private DiscoverySession next;

  /** Whether the last failure was logged and no answer has come since. */
  private boolean failing;

  /** Creates a watcher that has not started. */
  DiscoveryWatcher(Gateway gateway, Transport transport, GatewayConfig config) {
    this.gateway = gateway;
    this.transport = transport;
    this.config = config;
    boolean polled = config.routing().pollEndpointList();
    Duration maxPollInterval = config.routing().maxPollInterval();
    this.timeouts = DiscoverySession.Timeouts.of(config.connectTimeout(), maxPollInterval, polled);
    this.lease = new EndpointListLease(config.drainGracePeriod(), polled);
    this.leaseMonitor = new EndpointListLeaseMonitor(gateway, lease);
    this.updater = new EndpointListUpdater(gateway, config.zones(), maxPollInterval);
    this.random = new SplittableRandom(~config.seed());
  }

  /**
   * Returns whether the list is certain to have all that binds: not before the first answer of
   * discovery, nor after it was silent for long.
   */
  boolean isListValid() {
    return leaseMonitor.isValid();
  }

  /** Applies the list of the previous run and connects to discovery. */
  void start() {
    gateway.setEndpointListValid(false);
    if (config.lastKnownEndpoints().has("members.count")) {
      updater.apply(config.lastKnownEndpoints());
    }
    current = session(config.discoveryAddress());
    current.connect();
  }

  private DiscoverySession session(InetSocketAddress address) {
    return new DiscoverySession(
        gateway,
        transport,
        timeouts,
        config.routing().pollEndpointList(),
        address,
        this::sessionFailed);
  }

  /** Sets the address of discovery; does nothing if it is in use already. */
  void moveTo(InetSocketAddress address) {
    if ((next != null ? next : current).isAt(address)) {
      return;
    }
    LOG.info(
        () ->
            "discovery address changed: endpoint="
                + address.getHostString()
                + ":"
                + address.getPort());
    if (next != null) {
      next.close();
    }
    boolean movesBack = current != null && current.isAt(address);
    next = movesBack ? null : session(address);
    if (next != null) {
      lease.moved(gateway.now());
      next.connect();
    } else {
      lease.moveCompleted();
    }
    leaseMonitor.check();
  }

  // ---- Events of connections

  /** A connection came up. */
  void connected(long number) {
    DiscoverySession session = sessionOf(number);
    if (session == null) {
      transport.closeNow(number);
      return;
    }
    session.connected();
    Duration disconnectedAt = session.takeDisconnectedAt();
    if (disconnectedAt != null
        && EndpointListLease.isNewWatch(gateway.now().minus(disconnectedAt))) {
      disconnectedSince(disconnectedAt);
      // The next request is answered at once, so this is over soon.
      session.changesMissed();
    }
    session.request();
  }

  /**
   * Everything that had arrived at {@link Transport#afterPendingReads} was read and posted.
   *
   * @return whether the connection belongs to discovery
   */
  boolean pendingReadsDone(long number) {
    DiscoverySession session = sessionOf(number);
    if (session == null) {
      return false;
    }
    if (session.isAnswerOverdue() && isLast(session) && session == current) {
      lease.discoveryFoundDown(gateway.now());
      session.waitOn();
      leaseMonitor.check();
    }
    return true;
  }

  /** Some of an answer has arrived, and its rest is still to come. */
  void responseStarted(long number) {
    DiscoverySession session = sessionOf(number);
    if (session != null && session.answerStarted()) {
      lease.answerStarted(gateway.now());
      leaseMonitor.check();
    }
  }

  /** An answer is complete. */
  void responseReceived(long number, int status, byte[] body) {
    DiscoverySession session = sessionOf(number);
    if (session == null) {
      return;
    }
    if (status != HTTP_OK) {
      sessionFailed(session, "status " + status, false);
      return;
    }
    try {
      session.answered(updater.apply(session, ConfigValues.ofJson(body)));
    } catch (InvalidConfigException e) {
      session.answerInvalid();
      sessionFailed(session, e.getMessage(), false);
      return;
    }
    if (session == next) {
      takeOver();
    }
    if (failing) {
      failing = false;
      LOG.info(() -> "endpoint list watch resumed: endpoint=" + session.endpoint());
    }
    lease.answered(gateway.now(), session.request());
    leaseMonitor.check();
  }

  private void takeOver() {
    if (current != null) {
      current.close();
    }
    current = next;
    next = null;
    lease.moveCompleted();
    LOG.info("endpoint list received from new discovery: endpoint=" + current.endpoint());
  }

  /** A connection ended, or did not come up. */
  void closed(long number) {
    DiscoverySession session = sessionOf(number);
    if (session == null) {
      return;
    }
    if (session.isAnswered() && isLast(session)) {
      // Discovery may close after an answer. Nothing is missed if the next request follows soon.
      session.disconnectedBetweenWatches();
      session.connect();
    } else {
      sessionFailed(session, "connection closed", false);
    }
  }

  // ---- Failures

  /** The current list stays in force; discovery is asked again soon, as changes may be missed. */
  private void sessionFailed(DiscoverySession session, String reason, boolean timedOut) {
    if (!failing) {
      failing = true;
      LOG.warning(
          "discovery failed, current endpoint list stays in force: endpoint="
              + session.endpoint()
              + " reason="
              + reason);
    }
    Duration disconnectedAt = session.takeDisconnectedAt();
    if (session == current || current == null) {
      disconnectedSince(disconnectedAt != null ? disconnectedAt : gateway.now());
    }
    session.changesMissed();
    session.close();
    if (isLast(session)) {
      session.connectAfter(
          lease.backoff(session.countFailure(), timedOut, timeouts.connect(), random.nextDouble()));
    } else {
      current = null;
    }
  }

  private void disconnectedSince(Duration since) {
    lease.disconnected(since);
    leaseMonitor.check();
  }

  /** Returns whether no other session is to take over from this one. */
  private boolean isLast(DiscoverySession session) {
    return session == next || next == null;
  }

  /** Returns the session that a connection belongs to; null if it belongs to none. */
  private DiscoverySession sessionOf(long number) {
    if (current != null && current.hasConnection(number)) {
      return current;
    }
    return next != null && next.hasConnection(number) ? next : null;
  }
}
