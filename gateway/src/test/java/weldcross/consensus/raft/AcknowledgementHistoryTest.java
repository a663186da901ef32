package weldcross.consensus.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.model.message.RaftMessage;
import org.junit.jupiter.api.Test;
import weldcross.consensus.LogPosition;
import weldcross.consensus.raft.AcknowledgementHistory.Acknowledgement;

class AcknowledgementHistoryTest {

  private static final VoterId FOUNDER = VoterId.parse("n1#0");
  private static final VoterId REPLACEMENT = VoterId.parse("n1#5f");

  private final AcknowledgementHistory history = new AcknowledgementHistory();

  private static RaftMessage appended(VoterId sender, long index) {
    return RaftRecordCodec.MODEL_FACTORY
        .createAppendEntriesSuccessResponseBuilder()
        .setGroupId("group")
        .setSender(sender)
        .setTerm(3)
        .setLastLogIndex(index)
        .setQuerySequenceNumber(0)
        .setFlowControlSequenceNumber(0)
        .build();
  }

  private static RaftMessage vote(VoterId sender, int term, boolean granted) {
    return RaftRecordCodec.MODEL_FACTORY
        .createVoteResponseBuilder()
        .setGroupId("group")
        .setSender(sender)
        .setTerm(term)
        .setGranted(granted)
        .build();
  }

  @Test
  void identityWithoutMessagesHasNoAcknowledgement() {
    assertEquals(Acknowledgement.NONE, history.get(FOUNDER));
    assertTrue(history.hasOnlyFounders());
  }

  @Test
  void highestAcknowledgedEntryAndGrantedVoteAreKept() {
    history.record(appended(FOUNDER, 9), index -> 2);
    history.record(appended(FOUNDER, 5), index -> 2);
    history.record(vote(FOUNDER, 4, true), index -> 0);
    history.record(vote(FOUNDER, 3, true), index -> 0);
    history.record(vote(FOUNDER, 8, false), index -> 0);
    assertEquals(new Acknowledgement(new LogPosition(2, 9), 4), history.get(FOUNDER));
  }

  @Test
  void identitiesOfSameNameAreTrackedSeparately() {
    history.record(appended(FOUNDER, 9), index -> 2);
    assertTrue(history.hasOnlyFounders());
    history.record(vote(REPLACEMENT, 5, false), index -> 0);
    assertEquals(Acknowledgement.NONE, history.get(REPLACEMENT));
    assertFalse(history.hasOnlyFounders());
  }
}
