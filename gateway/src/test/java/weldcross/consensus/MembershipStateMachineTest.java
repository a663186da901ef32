package weldcross.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.mesh.PeerName;

class MembershipStateMachineTest {

  private static final PeerName A = new PeerName("a");
  private static final PeerName B = new PeerName("b");
  private static final PeerName C = new PeerName("c");

  private static Member member(PeerName name, long incarnation) {
    return new Member(name, incarnation, "", 10);
  }

  @Test
  void endedIncarnationCannotRejoin() {
    MembershipStateMachine stateMachine = new MembershipStateMachine();
    assertEquals(ProposalResult.APPLIED, stateMachine.apply(Proposal.join(member(A, 3))));
    assertEquals(ProposalResult.UNCHANGED, stateMachine.apply(Proposal.join(member(A, 3))));
    assertEquals(ProposalResult.APPLIED, stateMachine.apply(Proposal.dead(A, 3, B)));
    assertEquals(ProposalResult.INCARNATION_ENDED, stateMachine.apply(Proposal.join(member(A, 3))));
    assertEquals(ProposalResult.UNCHANGED, stateMachine.apply(Proposal.dead(A, 3, C)));
    assertEquals(ProposalResult.APPLIED, stateMachine.apply(Proposal.join(member(A, 4))));
    assertEquals(
        ProposalResult.INCARNATION_ENDED,
        stateMachine.apply(Proposal.leave(member(A, 3))),
        "a delayed proposal of the previous incarnation");
    assertTrue(stateMachine.view().contains(A, 4));
    assertEquals(3, stateMachine.view().number());
    // Joining under a later incarnation ends the previous one.
    assertEquals(ProposalResult.APPLIED, stateMachine.apply(Proposal.join(member(A, 6))));
    assertEquals(ProposalResult.INCARNATION_ENDED, stateMachine.apply(Proposal.join(member(A, 5))));
  }

  /** An operator's removal applies only to the view the operator saw, not to later members. */
  @Test
  void forgetAppliesOnlyToExpectedView() {
    MembershipStateMachine stateMachine = new MembershipStateMachine();
    stateMachine.apply(Proposal.join(member(A, 1)));
    stateMachine.apply(Proposal.join(member(B, 1)));
    assertEquals(ProposalResult.STALE_VIEW, stateMachine.apply(Proposal.forget(A, B, 1)));
    assertEquals(ProposalResult.APPLIED, stateMachine.apply(Proposal.forget(A, B, 2)));
    assertEquals(ProposalResult.UNKNOWN_MEMBER, stateMachine.apply(Proposal.forget(A, B, 3)));
  }

  /**
   * View numbers are contiguous, an ended incarnation never rejoins, and a replica that applies the
   * same proposals has the same views.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void randomProposalsPreserveViewInvariants(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    MembershipStateMachine stateMachine = new MembershipStateMachine();
    MembershipStateMachine replica = new MembershipStateMachine();
    Map<PeerName, Long> highestEnded = new TreeMap<>();
    for (int step = 0; step < 5000; step++) {
      Proposal proposal = randomProposal(random, stateMachine.view().number());
      MembershipView before = stateMachine.view();
      ProposalResult result = stateMachine.apply(proposal);
      assertEquals(result, replica.apply(proposal));
      assertEquals(stateMachine.view(), replica.view());
      assertEquals(
          before.number() + (result == ProposalResult.APPLIED ? 1 : 0),
          stateMachine.view().number());
      assertEndedMembersStayEnded(before, stateMachine.view(), highestEnded);
      List.of(A, B, C).forEach(lost -> assertSuccessorIsAnotherMember(stateMachine.view(), lost));
      if (step % 500 == 0) {
        MembershipStateMachine restored = new MembershipStateMachine();
        restored.restore(replica.view(), Map.copyOf(replica.endedIncarnations()));
        replica.restore(restored.view(), restored.endedIncarnations());
      }
    }
  }

  private static Proposal randomProposal(SplittableRandom random, long viewNumber) {
    PeerName name = List.of(A, B, C).get(random.nextInt(3));
    long incarnation = 1L + random.nextInt(40);
    return switch (random.nextInt(4)) {
      case 0 -> Proposal.dead(name, incarnation, B);
      case 1 -> Proposal.leave(member(name, incarnation));
      case 2 -> Proposal.forget(name, B, viewNumber - random.nextInt(2));
      default -> Proposal.join(member(name, incarnation));
    };
  }

  /** Records the members removed by this view, and asserts that none has rejoined. */
  private static void assertEndedMembersStayEnded(
      MembershipView before, MembershipView view, Map<PeerName, Long> highestEnded) {
    for (Member member : before.members().values()) {
      if (!view.contains(member.name(), member.incarnation())) {
        highestEnded.merge(member.name(), member.incarnation(), Math::max);
      }
    }
    for (Member member : view.members().values()) {
      long ended = highestEnded.getOrDefault(member.name(), 0L);
      boolean wasMember = before.contains(member.name(), member.incarnation());
      assertTrue(member.incarnation() > ended || (wasMember && member.incarnation() >= ended));
    }
  }

  private static void assertSuccessorIsAnotherMember(MembershipView view, PeerName lost) {
    Optional<PeerName> successor = view.successorOf(lost);
    assertTrue(
        successor.isEmpty()
            || (!successor.get().equals(lost) && view.members().containsKey(successor.get())));
  }
}
