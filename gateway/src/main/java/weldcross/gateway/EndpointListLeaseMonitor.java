package weldcross.gateway;

import java.time.Duration;
import java.util.logging.Logger;
import weldcross.discovery.EndpointListLease;

/**
 * Tells the gateway whenever the validity of its endpoint list changes: compares the lease with the
 * time at each {@link #check}, and sets a timer for the lease's end.
 */
final class EndpointListLeaseMonitor {

  private static final Logger LOG = Logger.getLogger(EndpointListLeaseMonitor.class.getName());

  private final Gateway gateway;
  private final EndpointListLease lease;
  private boolean valid;

  /** When the one timer is due; null if none is set. */
  private Duration nextCheck;

  /** Creates a monitor of a lease that is not valid yet. */
  EndpointListLeaseMonitor(Gateway gateway, EndpointListLease lease) {
    this.gateway = gateway;
    this.lease = lease;
  }

  /** Returns whether the list was certain to have all that binds, at the last check. */
  boolean isValid() {
    return valid;
  }

  /** Compares the lease with the time; to be called after each change of the lease. */
  void check() {
    boolean before = valid;
    valid = lease.isValid(gateway.now());
    if (before && !valid) {
      LOG.warning(
          "endpoint list expired, no requests are sent to any server: reason=discovery silent");
    }
    if (before != valid) {
      gateway.setEndpointListValid(valid);
    }
    Duration expiry = lease.expiresAt();
    if (valid && (nextCheck == null || expiry.compareTo(nextCheck) < 0)) {
      setTimer(expiry);
    }
  }

  private void setTimer(Duration expiry) {
    nextCheck = expiry;
    gateway.schedule(
        expiry,
        () -> {
          // A timer that an earlier one replaced is void.
          if (expiry.equals(nextCheck)) {
            nextCheck = null;
            check();
          }
        });
  }
}
