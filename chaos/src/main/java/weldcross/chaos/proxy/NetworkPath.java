package weldcross.chaos.proxy;

import java.time.Duration;

/**
 * One direction between two hosts, as packets find it. Set by the thread that plays a scenario,
 * read by the relay's.
 *
 * @param held what is sent waits here until the way is free again; nothing is lost
 * @param cut what is sent vanishes, and connections that lived through it are reset when the way is
 *     back
 * @param delay of everything
 * @param lost share of datagrams that vanish; of a stream's pieces, that come a retransmission
 *     later
 * @param repeated share of datagrams that come twice
 * @param reordered share of datagrams that are overtaken
 */
public record NetworkPath(
    boolean held, boolean cut, Duration delay, double lost, double repeated, double reordered) {

  public static final NetworkPath FREE = new NetworkPath(false, false, Duration.ZERO, 0, 0, 0);

  public NetworkPath withHeld(boolean on) {
    return new NetworkPath(on, cut, delay, lost, repeated, reordered);
  }

  public NetworkPath withCut(boolean on) {
    return new NetworkPath(held, on, delay, lost, repeated, reordered);
  }

  public NetworkPath withTrouble(Duration late, double loses, double repeats, double reorders) {
    return new NetworkPath(held, cut, late, loses, repeats, reorders);
  }

  boolean isFree() {
    return !held && !cut;
  }
}
