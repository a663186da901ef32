package weldcross.membership;

import java.util.Optional;
import weldcross.mesh.PeerName;

/**
 * The state of one member, as gossiped between gateways.
 *
 * @param member the member described
 * @param incarnation the member's incarnation, from its durable storage; an update of a later
 *     incarnation replaces those of all earlier ones
 * @param version version within the incarnation, raised only by the member itself to refute an
 *     update about it
 * @param state never {@link MemberState#UNKNOWN}
 * @param zone the member's zone; empty if zones are not used
 * @param trafficWeight share of all traffic that the member serves, in thousandths
 * @param reporter the gateway that detected the state; a suspicion counts once per reporter,
 *     however many gateways forward it
 */
public record MembershipUpdate(
    PeerName member,
    long incarnation,
    long version,
    MemberState state,
    String zone,
    int trafficWeight,
    PeerName reporter) {

  /**
   * Returns whether this update replaces one received earlier. At equal incarnation and version,
   * the later state constant wins; {@link MemberState#DEAD} is final for its incarnation, so that a
   * delayed update cannot revive it.
   */
  boolean overrides(Optional<MembershipUpdate> previous) {
    return previous.map(this::overrides).orElse(true);
  }

  private boolean overrides(MembershipUpdate previous) {
    if (incarnation != previous.incarnation) {
      return incarnation > previous.incarnation;
    }
    if (state == MemberState.DEAD || previous.state == MemberState.DEAD) {
      return previous.state != MemberState.DEAD;
    }
    if (version != previous.version) {
      return version > previous.version;
    }
    return state.compareTo(previous.state) > 0;
  }

  /** Returns whether both updates are suspicions of the same incarnation and version. */
  boolean confirmsSuspicionOf(MembershipUpdate previous) {
    return state == MemberState.SUSPECT
        && previous.state == MemberState.SUSPECT
        && incarnation == previous.incarnation
        && version == previous.version;
  }

  /** Returns a copy with another state and reporter. */
  MembershipUpdate withState(MemberState newState, PeerName newReporter) {
    return new MembershipUpdate(
        member, incarnation, version, newState, zone, trafficWeight, newReporter);
  }
}
