package weldcross.membership;

/**
 * The state of a member as one gateway sees it.
 *
 * <p>The order of the constants is the order of precedence between two updates of one incarnation
 * and version: the later constant wins.
 */
public enum MemberState {
  /** Configured as a peer, and never heard of. */
  UNKNOWN,
  /** It answers, or others say that it does. */
  ALIVE,
  /**
   * It did not answer and still has time to refute the suspicion. Treated as alive by everything
   * but the next probe.
   */
  SUSPECT,
  /** It did not answer in time. It may be running, cut off from this gateway, and still at work. */
  UNREACHABLE,
  /**
   * Proven: it said goodbye, or no process listens on its address. This incarnation does nothing
   * any more.
   */
  DEAD;

  /** Whether the member is expected to answer: alive, or suspected and not yet given up. */
  public boolean isReachable() {
    return this == ALIVE || this == SUSPECT;
  }
}
