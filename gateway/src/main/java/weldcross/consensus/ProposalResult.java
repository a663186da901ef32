package weldcross.consensus;

/** What became of a motion. */
public enum ProposalResult {
  /** The view has changed by it. */
  DONE,
  /** The view was so already. */
  SAME,
  /** The life it speaks of has ended by an earlier view. */
  ENDED,
  /** It was made from another view than the one in force. */
  CHANGED,
  /** Nobody of that name is a member. */
  UNKNOWN
}
