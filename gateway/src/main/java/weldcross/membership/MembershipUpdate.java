package weldcross.membership;

import java.util.Optional;
import weldcross.mesh.PeerName;

/**
 * A statement about one member, as gateways pass it on to each other.
 *
 * @param member whom it is about
 * @param incarnation the member's incarnation, from its records; an update of a later incarnation
 *     replaces all of earlier ones
 * @param version within the incarnation; raised by the member alone, to refute what is said of it
 * @param state never {@link MemberState#UNKNOWN}
 * @param zone the member's zone; empty where there are none
 * @param trafficWeight the member's part of all traffic, in thousandths
 * @param reporter who found the state, so that one gateway's suspicion counts once however many
 *     pass it on
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
   * Whether this update, received after the other, takes its place. Of one incarnation and version
   * the worse state wins; {@link MemberState#DEAD} holds for the whole incarnation, so that no
   * delayed update revives it.
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

  /** Whether both updates confirm one suspicion: same incarnation and version, both suspect. */
  boolean confirmsSuspicionOf(MembershipUpdate previous) {
    return state == MemberState.SUSPECT
        && previous.state == MemberState.SUSPECT
        && incarnation == previous.incarnation
        && version == previous.version;
  }

  /** The same incarnation and version in another state. */
  MembershipUpdate withState(MemberState newState, PeerName newReporter) {
    return new MembershipUpdate(
        member, incarnation, version, newState, zone, trafficWeight, newReporter);
  }
}
