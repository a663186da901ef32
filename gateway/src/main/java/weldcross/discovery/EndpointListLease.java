package weldcross.discovery;

import java.time.Duration;

/**
 * Decides for how long an endpoint list may be acted on after the last answer of discovery, and how
 * discovery is asked. Decides only; {@code weldcross.gateway.DiscoveryWatcher} does the I/O.
 *
 * <p>A drain binds a gateway even if its notice never arrived. What discovery knows counts as
 * notified at the latest {@link #NOTICE_DEADLINE} after the request that should have brought it;
 * without an open request, and with an agent beside the gateway that knows it, it counts at once.
 * Until then, and for the grace period in which requests to a draining server end, the list is
 * certain to have all that binds. After that no server is known to accept requests.
 *
 * <p>Discovery has two forms. It is an agent beside the gateway that answers at once, or it is
 * polled: one service that all gateways share, at which requests queue and are rejected if the
 * queue is long. A request to the latter that is abandoned early, or repeated at once, costs the
 * service work that serves nobody.
 *
 * <p>Times are durations since the start of the process. Not thread-safe.
 */
public final class EndpointListLease {

  /**
   * What discovery knows, and could be asked for, counts as notified after this time, whatever
   * became of the requests. From the protocol, which allows more to a watch that waits longer, but
   * not once it was abandoned.
   */
  private static final Duration NOTICE_DEADLINE = Duration.ofSeconds(6);

  /**
   * A watch waits for this fraction of that time: each one is a request, but the shorter it is, the
   * longer is the list certain to have all that binds once discovery goes down.
   */
  private static final int WATCH_DIVISOR = 4;

  /** Longest time that a request may spend in the queue of a polled service. From the protocol. */
  private static final Duration MAX_QUEUE_TIME = Duration.ofSeconds(2);

  /** Longest backoff between failed requests to a polled service, in connect timeouts. */
  private static final int MAX_BACKOFF_FACTOR = 8;

  /**
   * What a new address of discovery knows counts as notified so long after the move to it. From the
   * protocol.
   */
  private static final Duration NOTICE_DEADLINE_AFTER_MOVE = Duration.ofSeconds(4);

  /** A request later than this after the last answer starts a new watch. From the protocol. */
  private static final Duration WATCH_GAP = Duration.ofMillis(200);

  private final Duration drainGracePeriod;
  private final boolean polled;

  /** When the lease expires, a move apart; null before the first answer. */
  private Duration expiry;

  private Duration lastAnswer;

  /** When the lease would expire counted from the last answer alone. */
  private Duration expiryByAnswer;

  /** Whether the lease runs from the last answer, as discovery was found to be down. */
  private boolean discoveryDown;

  /** When the lease expires unless the new address answers; null if discovery does not move. */
  private Duration moveExpiry;

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
   * Returns for how long a watch may wait for changes. With an agent, so short that a silent one is
   * noticed, and the list requested anew, well before what the watch missed counts as notified.
   * With a polled service, no longer than the interval between two polls: what a silent watch
   * missed counts only after its wait.
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
   * Returns how long an answer may take, beyond the wait of its request, before that is abandoned.
   *
   * @param grace how long an answer may take without a queue
   * @param polled whether discovery is one service that all gateways poll
   */
  public static Duration answerTimeout(Duration grace, boolean polled) {
    return polled ? MAX_QUEUE_TIME.plus(grace) : grace;
  }

  /**
   * Returns the backoff after failed requests. With a polled service it grows with each failure and
   * has jitter, so that gateways that were rejected together do not return together.
   *
   * @param failures how many requests failed in a row, at least one
   * @param timedOut whether the last one timed out, and so has waited already
   * @param connectTimeout limit for a connection to come up
   * @param random a number in [0, 1), different for each gateway
   */
  public Duration backoff(int failures, boolean timedOut, Duration connectTimeout, double random) {
    if (!polled) {
      return timedOut ? Duration.ZERO : connectTimeout;
    }
    long factor = Math.min(MAX_BACKOFF_FACTOR, 1L << Math.min(failures, Integer.SIZE));
    return Duration.ofNanos((long) (connectTimeout.toNanos() * factor * (1 + random) / 2));
  }

  /**
   * Renews the lease: discovery answered, and the next request is sent in the same moment.
   *
   * @param now the current time
   * @param requestTimeout for how long that request may wait for changes
   */
  public void answered(Duration now, Duration requestTimeout) {
    Duration silence = requestTimeout.plus(MAX_QUEUE_TIME);
    Duration deadline = silence.compareTo(NOTICE_DEADLINE) > 0 ? silence : NOTICE_DEADLINE;
    lastAnswer = now;
    expiryByAnswer = now.plus(deadline).plus(drainGracePeriod);
    expiry = expiryByAnswer;
    discoveryDown = false;
  }

  /**
   * Notes that an answer began to arrive: there is a change, which binds from now on even if the
   * rest of the answer never comes.
   */
  public void answerStarted(Duration now) {
    Duration limit = now.plus(drainGracePeriod);
    if (expiryByAnswer != null && limit.compareTo(expiryByAnswer) < 0) {
      expiryByAnswer = limit;
      expiry = discoveryDown ? limit : expiry;
    }
  }

  /**
   * Notes that discovery is down: a request that an agent answers at once, if it has any list, was
   * sent some time ago, everything that arrived since was read, and there was no answer. An agent
   * that is down learns nothing, so it has nothing to notify. Only a watch that had become silent
   * before may have missed something, so the lease runs as long as what such a watch missed cannot
   * count: from the last answer. A lease that has expired is not revived, as the agent may have had
   * changes while no request could be sent.
   */
  public void discoveryFoundDown(Duration now) {
    if (!polled && isValid(now)) {
      expiry = expiryByAnswer;
      discoveryDown = true;
    }
  }

  /**
   * Notes that no request was open on which discovery could answer. With a polled service, earlier
   * changes may have been missed as well, by a request that was silent before it ended: then the
   * time of the last answer counts, and what is allowed to a watch that no longer waits.
   *
   * @param since since when; until the next answer
   */
  public void disconnected(Duration since) {
    Duration limit =
        polled && lastAnswer != null
            ? lastAnswer.plus(NOTICE_DEADLINE).plus(drainGracePeriod)
            : since.plus(drainGracePeriod);
    if (expiry != null && limit.compareTo(expiry) < 0) {
      expiry = limit;
      discoveryDown = false;
    }
  }

  /**
   * Notes that discovery has moved to another address, which has not answered yet; the old one may
   * go on to answer.
   */
  public void moved(Duration now) {
    moveExpiry = now.plus(NOTICE_DEADLINE_AFTER_MOVE).plus(drainGracePeriod);
  }

  /** Notes that the new address has answered, or that discovery is at the old one after all. */
  public void moveCompleted() {
    moveExpiry = null;
  }

  /**
   * Returns whether a request so long after the last answer starts a new watch, before which
   * changes may have been missed.
   */
  public static boolean isNewWatch(Duration sinceAnswer) {
    return sinceAnswer.compareTo(WATCH_GAP) > 0;
  }

  /** Returns whether the list is certain to have all that binds now. */
  public boolean isValid(Duration now) {
    return expiry != null && now.compareTo(expiresAt()) < 0;
  }

  /** Returns when the lease expires unless discovery answers; null before the first answer. */
  public Duration expiresAt() {
    return expiry == null || moveExpiry == null || expiry.compareTo(moveExpiry) < 0
        ? expiry
        : moveExpiry;
  }
}
