package weldcross.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import weldcross.mesh.PeerName;

class MemberTableTest {

  private static final PeerName A = new PeerName("a");
  private static final PeerName B = new PeerName("b");
  private static final PeerName C = new PeerName("c");

  private final MemberTable members = new MemberTable(List.of(C, A));

  private static MembershipUpdate update(PeerName name, MemberState state) {
    return new MembershipUpdate(name, 1, 0, state, "", 1, name);
  }

  @Test
  void configuredPeerIsUnknownUntilItsFirstUpdate() {
    assertEquals(MemberState.UNKNOWN, members.stateOf(A));
    assertEquals(Optional.empty(), members.find(A));
    members.put(update(A, MemberState.ALIVE));
    assertEquals(MemberState.ALIVE, members.stateOf(A));
    assertEquals(1, members.unknownCount());
    assertEquals(1, members.knownCount());
  }

  @Test
  void unconfiguredMemberIsAddedByItsFirstUpdate() {
    members.put(update(B, MemberState.ALIVE));
    assertEquals(List.of(A, B, C), members.names());
  }

  @Test
  void reachableMembersAreAliveOrSuspect() {
    members.put(update(A, MemberState.SUSPECT));
    members.put(update(B, MemberState.ALIVE));
    members.put(update(C, MemberState.UNREACHABLE));
    assertEquals(List.of(A, B), members.reachable());
    members.put(update(B, MemberState.DEAD));
    assertEquals(List.of(A), members.reachable());
    assertEquals(
        Map.of(MemberState.SUSPECT, 1, MemberState.DEAD, 1, MemberState.UNREACHABLE, 1),
        members.countByState());
  }
}
