package weldcross.consensus;

import weldcross.mesh.PeerName;

/**
 * A change of the view that is asked for. Asking twice changes nothing the second time, so whoever
 * is not sure whether it was heard asks again.
 *
 * @param kind never null
 * @param of whom it is about
 * @param life of that one; not looked at by FORGET
 * @param zone and part, of JOIN
 * @param by who asks; it is only told to readers of the log
 * @param basis of FORGET: the number of the view that the operator saw
 */
public record Proposal(
    Kind kind, PeerName of, long life, String zone, int part, PeerName by, long basis) {

  /** What is asked for. */
  public enum Kind {
    /** This life is here. */
    JOIN,
    /** This life ends its work by itself. */
    LEAVE,
    /** There is proof that this life has ended. */
    GONE,
    /** An operator vouches that the one of this name does nothing more. */
    FORGET,
    /** A mark of the consensus; changes nothing. */
    NOTHING
  }

  public static Proposal join(Member member) {
    return new Proposal(
        Kind.JOIN, member.name(), member.life(), member.zone(), member.part(), member.name(), 0);
  }

  public static Proposal leave(Member member) {
    return new Proposal(Kind.LEAVE, member.name(), member.life(), "", 0, member.name(), 0);
  }

  public static Proposal gone(PeerName of, long life, PeerName by) {
    return new Proposal(Kind.GONE, of, life, "", 0, by, 0);
  }

  public static Proposal forget(PeerName of, PeerName by, long basis) {
    return new Proposal(Kind.FORGET, of, 0, "", 0, by, basis);
  }
}
