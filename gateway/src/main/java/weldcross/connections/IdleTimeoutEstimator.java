package weldcross.connections;

import java.time.Duration;

/**
 * Estimates how long a pooled connection may be idle before it is unsafe to reuse. Middleboxes may
 * drop the state of an idle connection long before either end closes it. A request sent on such a
 * connection is lost, and if it must not be executed twice, it has failed. The pool records the
 * result of each use and asks before the next one. The uses of all servers are counted together, as
 * the network path is shared.
 *
 * <p>The failure rate of idle connections is compared with that of new ones, so that failures that
 * affect all connections alike do not make the pool open new connections to no effect. Does no I/O;
 * not thread-safe.
 */
public final class IdleTimeoutEstimator {

  /** Factor by which each use reduces the weight of earlier ones; about 20 uses dominate. */
  private static final double DECAY = 0.95;

  /**
   * Least divisor of the failure rate. It makes the rate of a bucket with fewer weighted uses too
   * low, so that single failures do not prevent reuse.
   */
  private static final double MIN_USES = 10;

  /** Failure rate above that of new connections up to which reuse is cheaper than connecting. */
  private static final double TOLERATED_EXCESS = 0.1;

  /** Number of idle time buckets: two for each doubling, up to about 18 minutes. */
  private static final int IDLE_TIME_BUCKETS = 41;

  /** Index of the bucket of new connections, after those of idle ones. */
  private static final int NEW_CONNECTION_BUCKET = IDLE_TIME_BUCKETS;

  /** Weighted number of uses in each bucket. */
  private final double[] uses = new double[IDLE_TIME_BUCKETS + 1];

  /** Weighted number of failures in each bucket. */
  private final double[] failures = new double[IDLE_TIME_BUCKETS + 1];

  /**
   * Returns whether a request that must not be lost may be sent on an idle connection.
   *
   * @param idleTime how long the connection has been idle; not negative
   */
  public boolean mayReuse(Duration idleTime) {
    return failureRate(bucketOf(idleTime)) <= failureRate(NEW_CONNECTION_BUCKET) + TOLERATED_EXCESS;
  }

  /**
   * Records a request that was answered.
   *
   * @param idleTime how long the connection was idle before the request; null for a new connection
   */
  public void recordAnswered(Duration idleTime) {
    record(idleTime, 0);
  }

  /**
   * Records a request whose connection was closed before any byte of the response was received.
   *
   * @param idleTime how long the connection was idle before the request; null for a new connection
   */
  public void recordLost(Duration idleTime) {
    record(idleTime, 1);
  }

  private void record(Duration idleTime, int failure) {
    int bucket = idleTime == null ? NEW_CONNECTION_BUCKET : bucketOf(idleTime);
    uses[bucket] = uses[bucket] * DECAY + 1;
    failures[bucket] = failures[bucket] * DECAY + failure;
  }

  private double failureRate(int bucket) {
    return failures[bucket] / Math.max(MIN_USES, uses[bucket]);
  }

  private static int bucketOf(Duration idleTime) {
    double doublings = Math.log((double) (idleTime.toMillis() + 1)) / Math.log(2);
    return Math.min(IDLE_TIME_BUCKETS - 1, (int) (2 * doublings));
  }
}
