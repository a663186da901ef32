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
  void registeredProposalIsTakenOnceByItsNumber() {
    long first = tracker.register(DEAD);
    long second = tracker.register(FORGET);
    assertEquals(Optional.of(FORGET), tracker.take(second));
    assertEquals(Optional.empty(), tracker.take(second));
    assertEquals(Optional.of(DEAD), tracker.take(first));
  }

  @Test
  void onlyOperatorProposalsOutliveAPeriod() {
    tracker.addOperatorProposal(FORGET);
    long repeated = tracker.register(DEAD);
    long once = tracker.register(FORGET);
    tracker.dropRepeated();
    assertEquals(Optional.empty(), tracker.take(repeated));
    assertEquals(Optional.of(FORGET), tracker.take(once));
  }

  @Test
  void operatorProposalIsCompletedOnce() {
    tracker.addOperatorProposal(FORGET);
    assertTrue(tracker.completeOperatorProposal(FORGET));
    assertFalse(tracker.completeOperatorProposal(FORGET));
    assertFalse(tracker.completeOperatorProposal(DEAD));
  }
}
