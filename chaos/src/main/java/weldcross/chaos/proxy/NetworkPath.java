package weldcross.chaos.proxy;

import java.time.Duration;

/**
 * The network faults in one direction between two hosts.
 *
 * @param stalled whether data waits until the path is open again; nothing is lost
 * @param cut whether data is dropped; connections that are open when the cut ends are reset then
 * @param delay the delay of all data
 * @param lossRate the probability that a datagram is dropped, or that a chunk of a stream is
 *     delayed by a retransmission; 0 to 1
 * @param duplicationRate the probability that a datagram is delivered twice; 0 to 1
 * @param reorderingRate the probability that a datagram is delayed so that later ones overtake it;
 *     0 to 1
 */
public record NetworkPath(
    boolean stalled,
    boolean cut,
    Duration delay,
    double lossRate,
    double duplicationRate,
    double reorderingRate) {

  /** A path without faults. */
  public static final NetworkPath OPEN = new NetworkPath(false, false, Duration.ZERO, 0, 0, 0);

  /**
   * Returns a copy of this path that is stalled or not.
   *
   * @param newStalled whether data waits until the path is open again
   * @return the changed path
   */
  public NetworkPath withStalled(boolean newStalled) {
    return new NetworkPath(newStalled, cut, delay, lossRate, duplicationRate, reorderingRate);
  }

  /**
   * Returns a copy of this path that is cut or not.
   *
   * @param newCut whether data is dropped
   * @return the changed path
   */
  public NetworkPath withCut(boolean newCut) {
    return new NetworkPath(stalled, newCut, delay, lossRate, duplicationRate, reorderingRate);
  }

  /**
   * Returns a copy of this path with another delay and other fault rates.
   *
   * @param newDelay the delay of all data
   * @param newLossRate the probability of loss, 0 to 1
   * @param newDuplicationRate the probability of duplication, 0 to 1
   * @param newReorderingRate the probability of reordering, 0 to 1
   * @return the changed path
   */
  public NetworkPath withImpairment(
      Duration newDelay, double newLossRate, double newDuplicationRate, double newReorderingRate) {
    return new NetworkPath(
        stalled, cut, newDelay, newLossRate, newDuplicationRate, newReorderingRate);
  }

  /** Returns whether data passes at all. */
  boolean isOpen() {
    return !stalled && !cut;
  }
}
