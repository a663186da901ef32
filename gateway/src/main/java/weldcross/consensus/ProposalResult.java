package weldcross.consensus;

import java.util.Arrays;
import java.util.Optional;

/** Result of applying a committed proposal. */
public enum ProposalResult {
  /** The proposal changed the view. */
  APPLIED("DONE"),
  /** The view already contained the proposed change. */
  UNCHANGED("SAME"),
  /** The proposal's incarnation was ended by an earlier view. */
  INCARNATION_ENDED("ENDED"),
  /** The current view is not the one that the proposal expects. */
  STALE_VIEW("CHANGED"),
  /** No member has that name. */
  UNKNOWN_MEMBER("UNKNOWN");

  private final String wireName;

  ProposalResult(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the stable name of this result in messages and in the control endpoint's JSON. */
  public String wireName() {
    return wireName;
  }

  /**
   * Returns the result with a name read from a message.
   *
   * @return empty for the empty name and for a name that this version does not know
   */
  public static Optional<ProposalResult> fromWireName(String wireName) {
    return Arrays.stream(values()).filter(result -> result.wireName.equals(wireName)).findFirst();
  }
}
