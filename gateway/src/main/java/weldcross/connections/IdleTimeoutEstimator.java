package weldcross.connections;

import java.time.Duration;

/**
 * Estimates for how long a pooled connection may be idle before its next request. Middleboxes may
 * forget a connection long before either end does, and a request sent on it is lost; if that
 * request must not run twice, it has failed. The pool records how each use ended and asks before
 * the next one. Uses of all servers count together, as what lies on the way is shared.
 *
 * <p>Uses of an idle connection are compared with those of new connections, so that failures that
 * hit every connection alike do not make the pool connect in vain. Decides only; not thread-safe.
 */
public final class IdleTimeoutEstimator {

  /** Weight that a use keeps with each later one; about twenty uses dominate the estimate. */
  private static final double DECAY = 0.95;

  /** Weighted number of uses up to which the failure rate is taken to be lower than it is. */
  private static final double MIN_USES = 10;

  /** Failure rate, beyond that of new connections, that is worth the cost of connecting. */
  private static final double TOLERATED_EXCESS = 0.1;

  /** Two classes for each doubling of the idle time, up to some 18 minutes. */
  private static final int IDLE_CLASSES = 41;

  /** The class of new connections, after those of idle ones. */
  private static final int NEW_CONNECTION = IDLE_CLASSES;

  private final double[] uses = new double[IDLE_CLASSES + 1];
  private final double[] failures = new double[IDLE_CLASSES + 1];

  /**
   * Returns whether a request that must not be lost may be sent on an idle connection.
   *
   * @param idleTime not negative
   */
  public boolean mayReuse(Duration idleTime) {
    return failureRate(classOf(idleTime)) <= failureRate(NEW_CONNECTION) + TOLERATED_EXCESS;
  }

  /**
   * Records a request that was answered.
   *
   * @param idleTime before the request; null for a new connection
   */
  public void recordAnswered(Duration idleTime) {
    record(idleTime, 0);
  }

  /**
   * Records a request under which the connection ended before any byte of the response.
   *
   * @param idleTime before the request; null for a new connection
   */
  public void recordLost(Duration idleTime) {
    record(idleTime, 1);
  }

  private void record(Duration idleTime, int failure) {
    int index = idleTime == null ? NEW_CONNECTION : classOf(idleTime);
    uses[index] = uses[index] * DECAY + 1;
    failures[index] = failures[index] * DECAY + failure;
  }

  private double failureRate(int index) {
    return failures[index] / Math.max(MIN_USES, uses[index]);
  }

  private static int classOf(Duration idleTime) {
    double doublings = Math.log((double) (idleTime.toMillis() + 1)) / Math.log(2);
    return Math.min(IDLE_CLASSES - 1, (int) (2 * doublings));
  }
}
