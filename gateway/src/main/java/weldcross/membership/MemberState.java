package weldcross.membership;

/**
 * What one gateway holds true of another; three things that are never mixed, and what comes before
 * them.
 */
public enum MemberState {
  /** Told of at the start, and never heard of. */
  UNHEARD,
  /** It answers, or others say so. */
  HERE,
  /**
   * It did not answer, and has time to say that it is here. For everything but the next probe it is
   * here.
   */
  SUSPECT,
  /** It did not answer in time. It may be alive, cut off, and at work. */
  SILENT,
  /**
   * Proof: it said goodbye, or where it should listen nobody does. This life of it does nothing
   * more.
   */
  GONE
}
