package weldcross.consensus;

import java.util.Arrays;
import java.util.Optional;

/** What became of a committed proposal. */
public enum ProposalResult {
  /** The view has changed by it. */
  APPLIED("DONE"),
  /** The view already was as proposed. */
  UNCHANGED("SAME"),
  /** The proposal's incarnation has ended by an earlier view. */
  INCARNATION_ENDED("ENDED"),
  /** It was based on another view than the one in force. */
  STALE_VIEW("CHANGED"),
  /** No member has that name. */
  UNKNOWN_MEMBER("UNKNOWN");

  private final String wireName;

  ProposalResult(String wireName) {
    this.wireName = wireName;
  }

  /** The word for this result in messages and in the control endpoint's JSON; never changes. */
  public String wireName() {
    return wireName;
  }

  /**
   * The result of a word in a message.
   *
   * @return empty for a word that this version does not know, and for the empty one
   */
  public static Optional<ProposalResult> fromWireName(String word) {
    return Arrays.stream(values()).filter(result -> result.wireName.equals(word)).findFirst();
  }
}
