package weldcross.mesh;

import java.time.Duration;
import java.util.List;

/**
 * What the link between gateways is told at the start.
 *
 * @param cluster gateways of another cluster are refused
 * @param self this gateway
 * @param peers all others that may speak to this one, and are spoken to
 * @param beatApart how often each connection is asked for a sign of life
 * @param stalledAfter without one for so long a connection counts as stalled, though it is open
 * @param dialWithin a dial or a greeting that takes longer has failed
 * @param shortestRest after a failed dial, the first time
 * @param longestRest after many
 * @param mostWaiting messages that may wait for one peer
 * @param mostBytes bytes that may wait for one peer, or be written and not yet taken by it
 */
public record MeshConfig(
    String cluster,
    PeerName self,
    List<PeerName> peers,
    Duration beatApart,
    Duration stalledAfter,
    Duration dialWithin,
    Duration shortestRest,
    Duration longestRest,
    int mostWaiting,
    int mostBytes) {

  /** A message may be no longer than this, on the wire and here. */
  public static final int LONGEST = 1 << 20;

  /** The protocol spoken, and the oldest that is understood. */
  public static final int VERSION = 1;

  public static final int OLDEST = 1;
}
