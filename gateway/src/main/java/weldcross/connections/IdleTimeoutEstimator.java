package weldcross.connections;

import java.time.Duration;

/**
 * Learns how long a kept connection may have rested before it carries the next RPC. Whoever stands
 * between may forget a connection long before either end does; what is asked on it then is lost,
 * and an RPC that must not run twice with it. A pool ({@code
 * weldcross.gateway.ServerConnectionPool}) tells how each use ended and asks before the next; what
 * it has learnt is of all its servers together, as what they share is learnt sooner.
 *
 * <p>Against connections that end unseen while they rest; it catches servers that close early as
 * well. It could harm where each use of any connection fails alike, so that new ones are dialled in
 * vain: uses are therefore compared with those of new connections.
 */
public final class IdleTimeoutEstimator {

  /** Each use counts for so much less with the next one: the last twenty say most of it. */
  private static final double FADE = 0.95;

  /** Fewer uses than these prove little. */
  private static final double FEW = 10;

  /**
   * How much more often than a new connection a rested one may fail, as dialling costs time and
   * work.
   */
  private static final double TOLERATED = 0.1;

  /** Two classes for each doubling of the rest, up to some 18 minutes. */
  private static final int CLASSES = 41;

  private final double[] used = new double[CLASSES + 1];
  private final double[] failed = new double[CLASSES + 1];

  /**
   * Whether an RPC may go out on a connection that has rested so long.
   *
   * @param rested not negative
   */
  public boolean mayCarry(Duration rested) {
    return rate(classOf(rested)) <= rate(CLASSES) + TOLERATED;
  }

  /**
   * @param rested before this use; null for a new connection
   */
  public void answered(Duration rested) {
    count(rested, 0);
  }

  /**
   * It ended under a question before a word of the answer.
   *
   * @param rested before this use; null for a new connection
   */
  public void lost(Duration rested) {
    count(rested, 1);
  }

  private void count(Duration rested, int failure) {
    int k = rested == null ? CLASSES : classOf(rested);
    used[k] = used[k] * FADE + 1;
    failed[k] = failed[k] * FADE + failure;
  }

  private double rate(int k) {
    return failed[k] / Math.max(FEW, used[k]);
  }

  private static int classOf(Duration rested) {
    double doublings = Math.log((double) (rested.toMillis() + 1)) / Math.log(2);
    return Math.min(CLASSES - 1, (int) (2 * doublings));
  }
}
