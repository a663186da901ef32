package weldcross.gateway;

import java.time.Duration;
import java.util.logging.Logger;
import weldcross.discovery.EndpointListLease;

/**
 * Notifies the gateway whenever the validity of its endpoint list changes. Compares the lease with
 * the current time at each {@link #check}, and sets a timer for the expiry of the lease.
 */
final class EndpointListLeaseMonitor {

  private static final Logger LOG = Logger.getLogger(EndpointListLeaseMonitor.class.getName());

  private final Gateway gateway;
  private final EndpointListLease lease;
  private boolean valid;

  /** When the timer is due; null if none is set. */
  private Duration nextCheck;

  /** Creates a monitor of a lease that is not valid yet. */
  EndpointListLeaseMonitor(Gateway gateway, EndpointListLease lease) {
    this.gateway = gateway;
    this.lease = lease;
  }

  /** Returns whether the lease was valid at the last check. */
  boolean isValid() {
    return valid;
  }

  /** Compares the lease with the current time; to be called after each change of the lease. */
  void check() {
    boolean wasValid = valid;
    valid = lease.isValid(gateway.now());
    if (wasValid && !valid) {
      LOG.warning(
          "endpoint list expired, no requests are sent to any server: "
              + "reason=no response from discovery");
    }
    if (wasValid != valid) {
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
          // A timer that was replaced by an earlier one has no effect.
          if (expiry.equals(nextCheck)) {
            nextCheck = null;
            check();
          }
        });
  }
}
