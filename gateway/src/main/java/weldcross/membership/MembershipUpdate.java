package weldcross.membership;

import weldcross.mesh.PeerName;

/**
 * What is said of one gateway, as it goes from one to the next.
 *
 * @param life its incarnation, from its records; a later one ends all that was said of the one
 *     before
 * @param version within that life, raised by itself alone, to answer what is said of it
 * @param finding never UNHEARD
 * @param zone where it stands; empty where there are none
 * @param part of the traffic, in thousandths
 * @param by who found it, so that one gateway's doubt counts once however many pass it on
 */
public record MembershipUpdate(
    PeerName of, long life, long version, MemberState finding, String zone, int part, PeerName by) {

  /**
   * Whether this, heard after the other, is to be believed in its place. Of one life and version
   * the worse counts; GONE counts for its whole life, so that no late word brings it back.
   */
  boolean overrides(MembershipUpdate before) {
    if (before == null) {
      return true;
    }
    if (life != before.life) {
      return life > before.life;
    }
    if (finding == MemberState.GONE || before.finding == MemberState.GONE) {
      return before.finding != MemberState.GONE;
    }
    return version != before.version
        ? version > before.version
        : finding.compareTo(before.finding) > 0;
  }

  MembershipUpdate with(MemberState next, PeerName finder) {
    return new MembershipUpdate(of, life, version, next, zone, part, finder);
  }
}
