package weldcross.consensus;

import java.util.Arrays;
import java.util.Optional;
import weldcross.mesh.PeerName;

/**
 * A proposed change of the membership view. Idempotent, so a proposal without a reply is retried.
 *
 * @param kind kind of change; never null
 * @param member gateway that the change concerns
 * @param incarnation incarnation of that gateway; zero and ignored for {@code FORGET} and {@code
 *     NO_OP}
 * @param zone availability zone of the member for {@code JOIN}; otherwise empty
 * @param weight traffic weight of the member in thousandths for {@code JOIN}; otherwise zero
 * @param proposer gateway that proposes the change; informational only
 * @param expectedViewNumber for {@code FORGET}, the number of the view that the operator saw;
 *     otherwise zero
 */
public record Proposal(
    Kind kind,
    PeerName member,
    long incarnation,
    String zone,
    int weight,
    PeerName proposer,
    long expectedViewNumber) {

  /** Kinds of changes. */
  public enum Kind {
    /** This incarnation joins the view. */
    JOIN("JOIN"),
    /** This incarnation leaves voluntarily. */
    LEAVE("LEAVE"),
    /** This incarnation is confirmed to have ended. */
    DEAD("GONE"),
    /** An operator confirms that the member of this name has ended. */
    FORGET("FORGET"),
    /** No change; committed by a new leader to commit the entries of earlier terms. */
    NO_OP("NOTHING");

    private final String wireName;

    Kind(String wireName) {
      this.wireName = wireName;
    }

    /** Returns the stable name of this kind in messages and stored records. */
    public String wireName() {
      return wireName;
    }

    /**
     * Returns the kind with a name read from a message or stored record.
     *
     * @return empty for a name that this version does not know
     */
    public static Optional<Kind> fromWireName(String wireName) {
      return Arrays.stream(values()).filter(kind -> kind.wireName.equals(wireName)).findFirst();
    }
  }

  /** Creates a proposal that this member joins the view. */
  public static Proposal join(Member member) {
    return new Proposal(
        Kind.JOIN,
        member.name(),
        member.incarnation(),
        member.zone(),
        member.weight(),
        member.name(),
        0);
  }

  /** Creates a proposal that this member leaves the view voluntarily. */
  public static Proposal leave(Member member) {
    return new Proposal(Kind.LEAVE, member.name(), member.incarnation(), "", 0, member.name(), 0);
  }

  /** Creates a proposal to remove an incarnation that the proposer has confirmed as dead. */
  public static Proposal dead(PeerName member, long incarnation, PeerName proposer) {
    return new Proposal(Kind.DEAD, member, incarnation, "", 0, proposer, 0);
  }

  /**
   * Creates an operator's proposal to remove a member.
   *
   * @param expectedViewNumber number of the view that the operator saw; the change applies only to
   *     that view
   */
  public static Proposal forget(PeerName member, PeerName proposer, long expectedViewNumber) {
    return new Proposal(Kind.FORGET, member, 0, "", 0, proposer, expectedViewNumber);
  }

  /** Creates a proposal that does not change the view. */
  public static Proposal noOp(PeerName proposer) {
    return new Proposal(Kind.NO_OP, proposer, 0, "", 0, proposer, 0);
  }
}
