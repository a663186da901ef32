package weldcross.discovery;

import java.time.Duration;

/**
 * Decides how long an endpoint list may be used after the last response of discovery, and how often
 * discovery is requested. Makes decisions only; {@code weldcross.gateway.DiscoveryWatcher} does the
 * I/O.
 *
 * <p>A drain takes effect on a gateway even if no response that lists it was received. The
 * discovery protocol considers every change that discovery knows delivered at the latest {@link
 * #NOTICE_DEADLINE} after the request that should have returned it. If no request is open, it
 * considers a change known to a local agent delivered immediately. Requests to a draining server
 * must end within a grace period after the delivery. Until the deadline of the open request, or
 * until no request is open, and during the grace period that follows, the list is certain to have
 * every drain that is in effect. After the grace period, no server is known to accept requests.
 *
 * <p>Discovery has one of two forms. Either it is an agent on the gateway's host, which responds
 * immediately, or it is polled: one service shared by all gateways, which queues requests and
 * rejects them if its queue is long. Abandoning a request to the shared service early, or repeating
 * it immediately, adds to the load of the service without a benefit.
 *
 * <p>Times are durations since the start of the process. Not thread-safe.
 */
public final class EndpointListLease {

  /**
   * A change that discovery knows and that a request could have returned is considered delivered
   * this long after the request, whatever its outcome. Set by the protocol. For an open watch, the
   * limit is its wait plus {@link #MAX_QUEUE_TIME} if that is longer, see {@link #renew}; for a
   * watch of the shared service that ended without a response, it is this time again, see {@link
   * #disconnected}.
   */
  private static final Duration NOTICE_DEADLINE = Duration.ofSeconds(6);

  /**
   * A watch waits for this fraction of {@link #NOTICE_DEADLINE}. Shorter watches mean more requests
   * but keep the list valid for longer once discovery is down.
   */
  private static final int WATCH_DIVISOR = 4;

  /** Longest time of a request in the queue of the shared service. Set by the protocol. */
  private static final Duration MAX_QUEUE_TIME = Duration.ofSeconds(2);

  /** Longest backoff between failed requests to the shared service, in connect timeouts. */
  private static final int MAX_BACKOFF_FACTOR = 8;

  /**
   * A change known at a new address of discovery is considered delivered this long after the
   * address change. Set by the protocol.
   */
  private static final Duration NOTICE_DEADLINE_AFTER_ADDRESS_CHANGE = Duration.ofSeconds(4);

  /** A request later than this after the last response starts a new watch. Set by the protocol. */
  private static final Duration MAX_WATCH_GAP = Duration.ofMillis(200);

  private final Duration drainGracePeriod;
  private final boolean polled;

  /** When the lease expires, not counting an address change; null before the first response. */
  private Duration expiry;

  private Duration lastResponseAt;

  /** When the lease would expire if only the last response, complete or started, counted. */
  private Duration expiryByResponse;

  /** Whether the lease runs from the last response because discovery is down. */
  private boolean discoveryDown;

  /** When the lease expires unless the new address responds; null without an address change. */
  private Duration addressChangeExpiry;

  /**
   * Creates a lease without a list.
   *
   * @param drainGracePeriod time after the notice of a drain by which requests to that server end;
   *     not negative
   * @param polled whether discovery is one service that all gateways poll
   */
  public EndpointListLease(Duration drainGracePeriod, boolean polled) {
    this.drainGracePeriod = drainGracePeriod;
    this.polled = polled;
  }

  /**
   * Returns how long a watch may wait for changes. With an agent, the wait is short enough that a
   * watch without a response is noticed, and the list requested again, well before the changes it
   * missed are considered delivered. With the shared service, it is the interval between two polls,
   * so that the service is requested only once per interval. So long a wait is safe there, because
   * the changes that an open watch misses are considered delivered only after its wait.
   *
   * @param maxPollInterval longest time that a gateway without a watch may go without a request
   * @param polled whether discovery is one service that all gateways poll
   */
  public static Duration watchTimeout(Duration maxPollInterval, boolean polled) {
    if (polled) {
      return maxPollInterval;
    }
    Duration fraction = NOTICE_DEADLINE.dividedBy(WATCH_DIVISOR);
    Duration max = maxPollInterval.dividedBy(2);
    return fraction.compareTo(max) < 0 ? fraction : max;
  }

  /**
   * Returns how long a response may take, beyond the wait of its request, before the request is
   * abandoned.
   *
   * @param roundTrip how long a response may take without a queue
   * @param polled whether discovery is one service that all gateways poll
   */
  public static Duration responseTimeout(Duration roundTrip, boolean polled) {
    return polled ? MAX_QUEUE_TIME.plus(roundTrip) : roundTrip;
  }

  /**
   * Returns the backoff after failed requests. With the shared service, it grows with each failure
   * and has jitter, so that gateways rejected at the same time do not retry at the same time.
   *
   * @param failures number of consecutive failures, at least one
   * @param responseTimedOut whether the last failure was a response that timed out, so that the
   *     gateway has already waited
   * @param connectTimeout limit for a connection to be established
   * @param random a number in [0, 1), different for each gateway
   */
  public Duration backoff(
      int failures, boolean responseTimedOut, Duration connectTimeout, double random) {
    if (!polled) {
      return responseTimedOut ? Duration.ZERO : connectTimeout;
    }
    long factor = Math.min(MAX_BACKOFF_FACTOR, 1L << Math.min(failures, Integer.SIZE));
    return Duration.ofNanos((long) (connectTimeout.toNanos() * factor * (1 + random) / 2));
  }

  /**
   * Renews the lease: discovery responded, and the next request is sent at the same time.
   *
   * @param now the current time
   * @param requestTimeout how long the next request may wait for changes
   */
  public void renew(Duration now, Duration requestTimeout) {
    Duration noticeAfterWait = requestTimeout.plus(MAX_QUEUE_TIME);
    Duration deadline =
        noticeAfterWait.compareTo(NOTICE_DEADLINE) > 0 ? noticeAfterWait : NOTICE_DEADLINE;
    lastResponseAt = now;
    expiryByResponse = now.plus(deadline).plus(drainGracePeriod);
    expiry = expiryByResponse;
    discoveryDown = false;
  }

  /**
   * Records that a part of a response was received. It shows that there is a change, which is
   * considered delivered now even if the rest of the response is never received.
   */
  public void responseStarted(Duration now) {
    Duration limit = now.plus(drainGracePeriod);
    if (expiryByResponse != null && limit.compareTo(expiryByResponse) < 0) {
      expiryByResponse = limit;
      expiry = discoveryDown ? limit : expiry;
    }
  }

  /**
   * Records that discovery is down: it did not respond to a request to which an agent with a list
   * responds immediately, and the gateway has read all its input, so the response is not merely
   * unread. An agent that is down receives no changes, so only the changes missed by an earlier
   * watch without a response can be outstanding, and the lease runs as if counted from the last
   * response. A lease that has expired is not revived: before this request, while the gateway could
   * not send one, the agent may have been up and have received changes.
   */
  public void discoveryDown(Duration now) {
    if (!polled && isValid(now)) {
      expiry = expiryByResponse;
      discoveryDown = true;
    }
  }

  /**
   * Records that no request was open to which discovery could respond. With an agent, the lease
   * ends a grace period after {@code since} unless it ends earlier. With the shared service, a
   * request that received no response before it ended may have missed earlier changes as well, so
   * the lease then runs from the last response, without the extra time of an open watch.
   *
   * @param since the start of the time without an open request, which lasts until the next response
   */
  public void disconnected(Duration since) {
    Duration limit =
        polled && lastResponseAt != null
            ? lastResponseAt.plus(NOTICE_DEADLINE).plus(drainGracePeriod)
            : since.plus(drainGracePeriod);
    if (expiry != null && limit.compareTo(expiry) < 0) {
      expiry = limit;
      discoveryDown = false;
    }
  }

  /**
   * Records that the address of discovery was changed and the new one has not responded yet. The
   * old one may continue to respond.
   */
  public void addressChanged(Duration now) {
    addressChangeExpiry = now.plus(NOTICE_DEADLINE_AFTER_ADDRESS_CHANGE).plus(drainGracePeriod);
  }

  /** Records that the new address has responded, or that the change was reverted. */
  public void addressChangeCompleted() {
    addressChangeExpiry = null;
  }

  /**
   * Returns whether a request this long after the last response starts a new watch, before which
   * changes may have been missed.
   */
  public static boolean isNewWatch(Duration sinceResponse) {
    return sinceResponse.compareTo(MAX_WATCH_GAP) > 0;
  }

  /** Returns whether the list is certain to have every drain that is in effect. */
  public boolean isValid(Duration now) {
    return expiry != null && now.compareTo(expiresAt()) < 0;
  }

  /** Returns when the lease expires without another response; null before the first response. */
  public Duration expiresAt() {
    return expiry == null
            || addressChangeExpiry == null
            || expiry.compareTo(addressChangeExpiry) < 0
        ? expiry
        : addressChangeExpiry;
  }
}
