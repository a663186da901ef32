package weldcross.consensus;

import java.util.Arrays;
import java.util.Optional;
import weldcross.mesh.PeerName;

/**
 * A proposed change of the membership view. Proposing the same change twice has no further effect,
 * so whoever gets no answer proposes it again.
 *
 * @param kind never null
 * @param member whom the change is about
 * @param incarnation of that member; zero and ignored for {@code FORGET} and {@code NO_OP}
 * @param zone of the member, for {@code JOIN}; else empty
 * @param weight of the member in thousandths, for {@code JOIN}; else zero
 * @param proposer who proposes it; for readers of the log only
 * @param basis for {@code FORGET} the number of the view that the operator saw; else zero
 */
public record Proposal(
    Kind kind,
    PeerName member,
    long incarnation,
    String zone,
    int weight,
    PeerName proposer,
    long basis) {

  /** The kinds of changes. */
  public enum Kind {
    /** This incarnation becomes a member. */
    JOIN("JOIN"),
    /** This incarnation leaves by itself. */
    LEAVE("LEAVE"),
    /** There is proof that this incarnation has ended. */
    DEAD("GONE"),
    /** An operator vouches that the member of this name has ended. */
    FORGET("FORGET"),
    /** Commits the entries of earlier terms; changes nothing. */
    NO_OP("NOTHING");

    private final String wireName;

    Kind(String wireName) {
      this.wireName = wireName;
    }

    /** The word for this kind in messages and stored records; never changes. */
    public String wireName() {
      return wireName;
    }

    /**
     * The kind of a word in a message or stored record.
     *
     * @return empty for a word that this version does not know
     */
    public static Optional<Kind> fromWireName(String word) {
      return Arrays.stream(values()).filter(kind -> kind.wireName.equals(word)).findFirst();
    }
  }

  /** This member joins the view. */
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

  /** This member leaves the view by itself. */
  public static Proposal leave(Member member) {
    return new Proposal(Kind.LEAVE, member.name(), member.incarnation(), "", 0, member.name(), 0);
  }

  /** The proposer has proof that this incarnation has ended. */
  public static Proposal dead(PeerName member, long incarnation, PeerName proposer) {
    return new Proposal(Kind.DEAD, member, incarnation, "", 0, proposer, 0);
  }

  /**
   * An operator removes a member.
   *
   * @param basis number of the view that the operator saw; the change applies to that view only
   */
  public static Proposal forget(PeerName member, PeerName proposer, long basis) {
    return new Proposal(Kind.FORGET, member, 0, "", 0, proposer, basis);
  }

  /** Changes nothing. */
  public static Proposal noOp(PeerName proposer) {
    return new Proposal(Kind.NO_OP, proposer, 0, "", 0, proposer, 0);
  }
}
