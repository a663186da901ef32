package weldcross.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import weldcross.mesh.PeerName;

class ProbeScheduleTest {

  private final MemberTable members = new MemberTable(List.of());
  private final ProbeSchedule schedule = new ProbeSchedule(members, new SplittableRandom(1));

  private static PeerName name(int number) {
    return new PeerName("n" + number);
  }

  private void putMember(int number, MemberState state) {
    PeerName name = name(number);
    members.put(new MembershipUpdate(name, 1, 0, state, "", 1, name));
  }

  private List<PeerName> nextProbes(int count) {
    List<PeerName> probes = new ArrayList<>();
    for (int k = 0; k < count; k++) {
      schedule.next().ifPresent(probes::add);
    }
    return probes;
  }

  @Test
  void eachReachableMemberIsProbedOncePerRound() {
    for (int k = 0; k < 6; k++) {
      putMember(k, k % 2 == 0 ? MemberState.ALIVE : MemberState.SUSPECT);
    }
    for (int round = 0; round < 3; round++) {
      List<PeerName> probes = nextProbes(6);
      Collections.sort(probes);
      assertEquals(members.names(), probes);
    }
  }

  @Test
  void oneProbeInFourGoesToAnUnreachableMember() {
    putMember(0, MemberState.ALIVE);
    putMember(1, MemberState.UNREACHABLE);
    assertEquals(
        List.of(name(0), name(0), name(0), name(1), name(0), name(0), name(0), name(1)),
        nextProbes(8));
  }

  @Test
  void unknownMemberIsProbedEveryTimeIfNoMemberIsReachable() {
    MemberTable onlyConfigured = new MemberTable(List.of(name(4)));
    ProbeSchedule probes = new ProbeSchedule(onlyConfigured, new SplittableRandom(1));
    for (int k = 0; k < 5; k++) {
      assertEquals(Optional.of(name(4)), probes.next());
    }
  }

  @Test
  void deadMemberIsNotProbed() {
    putMember(0, MemberState.DEAD);
    assertEquals(List.of(), nextProbes(8));
  }

  @Test
  void memberThatDiesDuringARoundIsSkipped() {
    for (int k = 0; k < 4; k++) {
      putMember(k, MemberState.ALIVE);
    }
    PeerName first = schedule.next().orElseThrow();
    for (int k = 0; k < 4; k++) {
      if (!name(k).equals(first)) {
        putMember(k, MemberState.DEAD);
      }
    }
    assertEquals(List.of(first, first, first), nextProbes(3));
  }
}
