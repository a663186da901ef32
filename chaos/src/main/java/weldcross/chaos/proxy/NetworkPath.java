package weldcross.chaos.proxy;

import java.time.Duration;

/**
 * One direction between two hosts, as packets find it.
 *
 * @param held what is sent waits until the path is open again; nothing is lost
 * @param cut what is sent vanishes, and connections that lived through it are reset when the path
 *     is back
 * @param delay of everything
 * @param lost share of datagrams that vanish, and of a stream's chunks that come a retransmission
 *     later; 0 to 1
 * @param repeated share of datagrams that come twice; 0 to 1
 * @param reordered share of datagrams that are overtaken; 0 to 1
 */
public record NetworkPath(
    boolean held, boolean cut, Duration delay, double lost, double repeated, double reordered) {

  /** A path without faults. */
  public static final NetworkPath OPEN = new NetworkPath(false, false, Duration.ZERO, 0, 0, 0);

  /**
   * Returns this path with its holding switched.
   *
   * @param on whether what is sent waits
   * @return the changed path
   */
  public NetworkPath withHeld(boolean on) {
    return new NetworkPath(on, cut, delay, lost, repeated, reordered);
  }

  /**
   * Returns this path with its cut switched.
   *
   * @param on whether what is sent vanishes
   * @return the changed path
   */
  public NetworkPath withCut(boolean on) {
    return new NetworkPath(held, on, delay, lost, repeated, reordered);
  }

  /**
   * Returns this path with other delays and losses.
   *
   * @param newDelay of everything
   * @param newLost share lost, 0 to 1
   * @param newRepeated share repeated, 0 to 1
   * @param newReordered share reordered, 0 to 1
   * @return the changed path
   */
  public NetworkPath withImpairment(
      Duration newDelay, double newLost, double newRepeated, double newReordered) {
    return new NetworkPath(held, cut, newDelay, newLost, newRepeated, newReordered);
  }

  /** Whether what is sent passes. */
  boolean isOpen() {
    return !held && !cut;
  }
}
