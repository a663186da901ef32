package weldcross.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import weldcross.mesh.PeerName;

/**
 * Selects the next member to probe. Each round visits every member once, in random order, which
 * bounds the time between two probes of a member.
 *
 * <p>Unreachable and unknown members have a separate round that receives one probe in four. A large
 * number of them therefore does not delay failure detection of the others, and their recovery is
 * still detected. Dead members are not probed.
 */
final class ProbeSchedule {

  /** One in this many probes targets a member that is not reachable. */
  private static final int PROBES_PER_UNREACHABLE_PROBE = 4;

  private final MemberTable members;
  private final SplittableRandom random;
  private final List<PeerName> reachableRound = new ArrayList<>();
  private final List<PeerName> unreachableRound = new ArrayList<>();
  private int probeCount;

  ProbeSchedule(MemberTable members, SplittableRandom random) {
    this.members = members;
    this.random = random;
  }

  /** Returns the next member to probe, or empty if there is none. */
  Optional<PeerName> next() {
    probeCount++;
    Optional<PeerName> unreachable =
        probeCount % PROBES_PER_UNREACHABLE_PROBE == 0 ? nextUnreachable() : Optional.empty();
    return unreachable.or(this::nextReachable).or(this::nextUnreachable);
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

  /** Skips members whose state has changed since the round was filled. */
  private Optional<PeerName> pollRound(List<PeerName> round, boolean reachable) {
    while (!round.isEmpty()) {
      PeerName next = round.remove(round.size() - 1);
      if (isEligible(next, reachable)) {
        return Optional.of(next);
      }
    }
    return Optional.empty();
  }

  private void fillRound(List<PeerName> round, boolean reachable) {
    for (PeerName name : members.names()) {
      if (isEligible(name, reachable)) {
        round.add(name);
      }
    }
    for (int last = round.size() - 1; last > 0; last--) {
      round.set(last, round.set(random.nextInt(last + 1), round.get(last)));
    }
  }

  private boolean isEligible(PeerName name, boolean reachable) {
    MemberState state = members.stateOf(name);
    return reachable
        ? state.isReachable()
        : state == MemberState.UNREACHABLE || state == MemberState.UNKNOWN;
  }
}
