package weldcross.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import weldcross.mesh.PeerName;

class ProposalTrackerTest {

  private static final Proposal DEAD = Proposal.dead(new PeerName("a"), 3, new PeerName("b"));
  private static final Proposal FORGET = Proposal.forget(new PeerName("a"), new PeerName("b"), 7);

  private final ProposalTracker tracker = new ProposalTracker();

  @Test
  void registeredProposalIsRemovedOnceByNumber() {
    long first = tracker.register(DEAD);
    long second = tracker.register(FORGET);
    assertEquals(Optional.of(FORGET), tracker.remove(second));
    assertEquals(Optional.empty(), tracker.remove(second));
    assertEquals(Optional.of(DEAD), tracker.remove(first));
  }

  @Test
  void onlyOperatorProposalsRemainAfterRetriedOnesAreRemoved() {
    tracker.addOperatorProposal(FORGET);
    long retriedNumber = tracker.register(DEAD);
    long operatorNumber = tracker.register(FORGET);
    tracker.removeRetried();
    assertEquals(Optional.empty(), tracker.remove(retriedNumber));
    assertEquals(Optional.of(FORGET), tracker.remove(operatorNumber));
  }

  @Test
  void operatorProposalIsCompletedOnce() {
    tracker.addOperatorProposal(FORGET);
    assertTrue(tracker.completeOperatorProposal(FORGET));
    assertFalse(tracker.completeOperatorProposal(FORGET));
    assertFalse(tracker.completeOperatorProposal(DEAD));
  }
}
