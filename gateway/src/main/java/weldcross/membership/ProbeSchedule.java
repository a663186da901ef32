package weldcross.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import weldcross.mesh.PeerName;

/**
 * Decides whom to probe next: rounds in random order in which each member comes once, so that
 * nobody is left out for long.
 *
 * <p>Members that are not reachable have a round of their own and one probe in four. Many of them
 * then do not delay the detection of others, and they are still found when they come back. Dead
 * members are not probed.
 */
final class ProbeSchedule {

  /** One probe in so many goes to a member that is not reachable. */
  private static final int UNREACHABLE_PROBE_EVERY = 4;

  private final MemberTable members;
  private final SplittableRandom random;
  private final List<PeerName> reachableRound = new ArrayList<>();
  private final List<PeerName> unreachableRound = new ArrayList<>();
  private int probes;

  ProbeSchedule(MemberTable members, SplittableRandom random) {
    this.members = members;
    this.random = random;
  }

  /** The next member to probe; empty where there is none. */
  Optional<PeerName> next() {
    probes++;
    Optional<PeerName> first =
        probes % UNREACHABLE_PROBE_EVERY == 0 ? nextUnreachable() : Optional.empty();
    return first.or(this::nextReachable).or(this::nextUnreachable);
  }

  private Optional<PeerName> nextReachable() {
    return nextOf(reachableRound, true);
  }

  private Optional<PeerName> nextUnreachable() {
    return nextOf(unreachableRound, false);
  }

  private Optional<PeerName> nextOf(List<PeerName> round, boolean reachable) {
    Optional<PeerName> next = pollRound(round, reachable);
    if (next.isPresent()) {
      return next;
    }
    fillRound(round, reachable);
    return pollRound(round, reachable);
  }

  /** Members whose state has changed since the round was filled are passed over. */
  private Optional<PeerName> pollRound(List<PeerName> round, boolean reachable) {
    while (!round.isEmpty()) {
      PeerName next = round.remove(round.size() - 1);
      if (belongsTo(next, reachable)) {
        return Optional.of(next);
      }
    }
    return Optional.empty();
  }

  private void fillRound(List<PeerName> round, boolean reachable) {
    for (PeerName name : members.names()) {
      if (belongsTo(name, reachable)) {
        round.add(name);
      }
    }
    for (int last = round.size() - 1; last > 0; last--) {
      round.set(last, round.set(random.nextInt(last + 1), round.get(last)));
    }
  }

  private boolean belongsTo(PeerName name, boolean reachable) {
    MemberState state = members.stateOf(name);
    return reachable
        ? state.isReachable()
        : state == MemberState.UNREACHABLE || state == MemberState.UNKNOWN;
  }
}
