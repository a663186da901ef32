package weldcross.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import weldcross.consensus.VoterRecovery.Decision;
import weldcross.consensus.VoterRecovery.LogSummary;
import weldcross.consensus.VoterRecovery.Reply;
import weldcross.mesh.PeerName;

class VoterRecoveryTest {

  private static final PeerName B = new PeerName("b");
  private static final PeerName C = new PeerName("c");

  private static final Reply REPLY_WITHOUT_LOG =
      new Reply(false, true, false, 0, LogPosition.NONE, LogPosition.NONE, 0);

  private static LogSummary summary(String identity, int term, int lastTerm, long lastIndex) {
    return new LogSummary(Optional.of(identity), term, new LogPosition(lastTerm, lastIndex));
  }

  private static Reply replyWithLog(int term, int lastTerm, long lastIndex) {
    return new Reply(
        true, true, false, term, new LogPosition(lastTerm, lastIndex), LogPosition.NONE, 0);
  }

  @Test
  void groupIsFoundedOnlyAfterAllOthersReplyWithoutEntries() {
    VoterRecovery recovery = new VoterRecovery(3, false, LogSummary.NONE, false);
    assertEquals(Decision.UNDECIDED, recovery.replyReceived(B, REPLY_WITHOUT_LOG));
    assertEquals(
        Decision.UNDECIDED,
        recovery.replyReceived(B, REPLY_WITHOUT_LOG),
        "two replies of the same voter count once");
    assertEquals(Decision.FOUND_GROUP, recovery.replyReceived(C, REPLY_WITHOUT_LOG));
    VoterRecovery late = new VoterRecovery(3, false, LogSummary.NONE, false);
    late.replyReceived(B, replyWithLog(0, 0, 0));
    assertEquals(
        Decision.FOUND_GROUP,
        late.replyReceived(C, REPLY_WITHOUT_LOG),
        "another voter has founded the group, which has no entries yet");
    VoterRecovery lost = new VoterRecovery(3, false, LogSummary.NONE, false);
    assertEquals(
        Decision.NEW_IDENTITY,
        lost.replyReceived(C, replyWithLog(1, 1, 1)),
        "another voter has entries");
  }

  /** Two voters have lost their logs and the third log is corrupt: none founds a new group. */
  @Test
  void voterWithUnusableLogDoesNotFoundGroup() {
    VoterRecovery corrupt = new VoterRecovery(3, false, LogSummary.NONE, true);
    corrupt.replyReceived(B, REPLY_WITHOUT_LOG);
    assertEquals(Decision.UNDECIDED, corrupt.replyReceived(C, REPLY_WITHOUT_LOG));
    VoterRecovery empty = new VoterRecovery(3, false, LogSummary.NONE, false);
    empty.replyReceived(B, REPLY_WITHOUT_LOG);
    assertEquals(
        Decision.NEW_IDENTITY,
        empty.replyReceived(
            C, new Reply(false, false, false, 0, LogPosition.NONE, LogPosition.NONE, 0)));
  }

  /**
   * A founder may have lost a vote in any term known to the others, and must not vote twice in one
   * term.
   */
  @Test
  void highestTermOfFounderIncludesReplies() {
    VoterRecovery recovery = new VoterRecovery(3, false, LogSummary.NONE, false);
    recovery.replyReceived(B, replyWithLog(4, 0, 0));
    assertEquals(Decision.FOUND_GROUP, recovery.replyReceived(C, replyWithLog(2, 0, 0)));
    assertEquals(4, recovery.highestTerm());
  }

  @Test
  void voterThatLostEntriesOrVotesTakesNewIdentity() {
    LogSummary local = summary("a#0", 3, 2, 90);
    assertEquals(
        Decision.NEW_IDENTITY,
        new VoterRecovery(3, false, local, false)
            .replyReceived(
                B,
                new Reply(
                    true, true, false, 3, new LogPosition(2, 100), new LogPosition(2, 91), 0)));
    assertEquals(
        Decision.NEW_IDENTITY,
        new VoterRecovery(3, false, local, false)
            .replyReceived(
                B,
                new Reply(
                    true, true, false, 3, new LogPosition(2, 90), new LogPosition(2, 90), 4)));
    VoterRecovery intact = new VoterRecovery(3, false, local, false);
    assertEquals(
        Decision.UNDECIDED,
        intact.replyReceived(
            B, new Reply(true, true, false, 3, new LogPosition(2, 90), new LogPosition(2, 90), 3)));
    assertEquals(
        Decision.RESUME,
        intact.replyReceived(
            C, new Reply(true, true, false, 3, new LogPosition(2, 88), LogPosition.NONE, 0)));
  }

  @Test
  void voterBehindOthersCatchesUp() {
    VoterRecovery recovery = new VoterRecovery(5, false, summary("a#0", 3, 2, 90), false);
    recovery.replyReceived(B, replyWithLog(3, 2, 90));
    recovery.replyReceived(C, REPLY_WITHOUT_LOG);
    assertEquals(
        Decision.UNDECIDED,
        recovery.replyReceived(new PeerName("d"), replyWithLog(5, 2, 95)),
        "a reply without a log does not count towards the required replies");
    assertEquals(
        Decision.CATCH_UP, recovery.replyReceived(new PeerName("e"), replyWithLog(4, 1, 99)));
    assertEquals(5, recovery.highestTerm());
    assertEquals(new LogPosition(2, 95), recovery.target());
  }

  /** The required replies intersect every majority that the voter may have been part of. */
  @Test
  void requiredRepliesIntersectEveryMajority() {
    for (int voters : new int[] {3, 5, 7}) {
      int replies = 0;
      VoterRecovery recovery = new VoterRecovery(voters, false, summary("v0#0", 1, 1, 1), false);
      while (recovery.decision() == Decision.UNDECIDED) {
        replies++;
        recovery.replyReceived(new PeerName("v" + replies), replyWithLog(1, 1, 1));
      }
      int othersInMajority = voters / 2;
      assertTrue(
          replies + othersInMajority > voters - 1, voters + " voters, " + replies + " replies");
    }
  }
}
