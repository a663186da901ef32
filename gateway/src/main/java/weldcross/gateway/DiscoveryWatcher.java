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
 * Keeps the endpoint list up to date. Starts with the list of the previous run, then requests the
 * complete list, then one watch after another. When the address of discovery changes, the complete
 * list is requested at the new address while the old one is still watched; the old session is
 * closed when it fails or when the new one has received its first list. Used only by the event
 * loop's thread.
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

  /** The session that provides the list; null if it failed during an address change. */
  private DiscoverySession current;

  /** The session that replaces the current one; null unless the address is being changed. */
  private DiscoverySession next;

  /** Whether a failure was logged and no list was received since. */
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
   * Returns whether the list is certain to have every drain that is in effect: false before the
   * first response of discovery, and when the lease has expired since the last one.
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
    current = newSession(config.discoveryAddress());
    current.connect();
  }

  private DiscoverySession newSession(InetSocketAddress address) {
    return new DiscoverySession(
        gateway,
        transport,
        timeouts,
        config.routing().pollEndpointList(),
        address,
        this::sessionFailed);
  }

  /** Changes the address of discovery; does nothing if the address is already in use. */
  void changeAddress(InetSocketAddress address) {
    if ((next != null ? next : current).hasAddress(address)) {
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
    boolean returnsToCurrent = current != null && current.hasAddress(address);
    next = returnsToCurrent ? null : newSession(address);
    if (next != null) {
      lease.addressChanged(gateway.now());
      next.connect();
    } else {
      lease.addressChangeCompleted();
    }
    leaseMonitor.check();
  }

  // ---- Connection events

  /** A connection was established. */
  void connected(long number) {
    DiscoverySession session = findSession(number);
    if (session == null) {
      transport.closeNow(number);
      return;
    }
    session.connected();
    Duration disconnectedAt = session.takeDisconnectedAt();
    if (disconnectedAt != null
        && EndpointListLease.isNewWatch(gateway.now().minus(disconnectedAt))) {
      disconnectedSince(disconnectedAt);
      // The response to the next request arrives without a wait and renews the lease.
      session.requestMissedChanges();
    }
    session.sendRequest();
  }

  /**
   * Everything that had arrived when {@link Transport#afterPendingReads} was called was read and
   * posted.
   *
   * @return whether the connection belongs to discovery
   */
  boolean pendingReadsDone(long number) {
    DiscoverySession session = findSession(number);
    if (session == null) {
      return false;
    }
    if (session.isResponseOverdue() && isNewest(session) && session == current) {
      lease.discoveryDown(gateway.now());
      session.extendDeadline();
      leaseMonitor.check();
    }
    return true;
  }

  /** A part of a response was received. */
  void responseStarted(long number) {
    DiscoverySession session = findSession(number);
    if (session != null && session.responseStarted()) {
      lease.responseStarted(gateway.now());
      leaseMonitor.check();
    }
  }

  /** A complete response was received. */
  void responseReceived(long number, int status, byte[] body) {
    DiscoverySession session = findSession(number);
    if (session == null) {
      return;
    }
    if (status != HTTP_OK) {
      sessionFailed(session, "HTTP status " + status, false);
      return;
    }
    try {
      session.listReceived(updater.apply(session, ConfigValues.ofJson(body)));
    } catch (InvalidConfigException e) {
      session.invalidListReceived();
      sessionFailed(session, e.getMessage(), false);
      return;
    }
    if (session == next) {
      completeAddressChange();
    }
    if (failing) {
      failing = false;
      LOG.info(() -> "endpoint list watch resumed: endpoint=" + session.endpoint());
    }
    lease.renew(gateway.now(), session.sendRequest());
    leaseMonitor.check();
  }

  private void completeAddressChange() {
    if (current != null) {
      current.close();
    }
    current = next;
    next = null;
    lease.addressChangeCompleted();
    LOG.info("discovery address change completed: endpoint=" + current.endpoint());
  }

  /** A connection was closed, or could not be established. */
  void closed(long number) {
    DiscoverySession session = findSession(number);
    if (session == null) {
      return;
    }
    if (session.hasReceivedList() && isNewest(session)) {
      // Discovery may close after a response. No change is missed if the next request follows soon.
      session.disconnectedBetweenWatches();
      session.connect();
    } else {
      sessionFailed(session, "connection closed", false);
    }
  }

  // ---- Failures

  /** Keeps the current list and schedules a reconnect, as changes may have been missed. */
  private void sessionFailed(DiscoverySession session, String reason, boolean responseTimedOut) {
    if (!failing) {
      failing = true;
      LOG.warning(
          "discovery failed, keeping the current endpoint list: endpoint="
              + session.endpoint()
              + " reason="
              + reason);
    }
    Duration disconnectedAt = session.takeDisconnectedAt();
    if (session == current || current == null) {
      disconnectedSince(disconnectedAt != null ? disconnectedAt : gateway.now());
    }
    session.requestMissedChanges();
    session.close();
    if (isNewest(session)) {
      session.connectAfter(
          lease.backoff(
              session.countFailure(), responseTimedOut, timeouts.connect(), random.nextDouble()));
    } else {
      current = null;
    }
  }

  private void disconnectedSince(Duration since) {
    lease.disconnected(since);
    leaseMonitor.check();
  }

  /** Returns whether no other session replaces this one. */
  private boolean isNewest(DiscoverySession session) {
    return session == next || next == null;
  }

  /** Returns the session to which a connection belongs; null if it belongs to none. */
  private DiscoverySession findSession(long number) {
    if (current != null && current.hasConnection(number)) {
      return current;
    }
    return next != null && next.hasConnection(number) ? next : null;
  }
}
