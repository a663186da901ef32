package weldcross.membership;

/**
 * The state of a member from the point of view of one gateway.
 *
 * <p>The order of the constants is significant: between two updates of the same incarnation and
 * version, the later constant takes precedence.
 */
public enum MemberState {
  /** Configured as a peer, but no update about it was received. */
  UNKNOWN,
  /** Responds to probes, or is reported to do so. */
  ALIVE,
  /**
   * Did not respond to a probe, and may still refute the suspicion. Treated as alive outside the
   * failure detector.
   */
  SUSPECT,
  /** Did not respond in time. May still be running behind a network partition. */
  UNREACHABLE,
  /**
   * Proven to have ended: announced its shutdown, or no process listens on its address. This
   * incarnation performs no further actions.
   */
  DEAD;

  /** Returns whether the member is expected to respond: alive or suspect. */
  public boolean isReachable() {
    return this == ALIVE || this == SUSPECT;
  }
}
