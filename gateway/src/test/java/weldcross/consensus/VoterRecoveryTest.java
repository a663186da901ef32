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

  private static final Reply REPLY_WITH_UNUSABLE_LOG =
      new Reply(false, false, false, 0, LogPosition.NONE, LogPosition.NONE, 0);

  /** Recovery of one of three voters that has no stored log. */
  private static VoterRecovery recoveryWithoutLog() {
    return new VoterRecovery(3, false, LogSummary.NONE, false);
  }

  /** Recovery of one of three voters whose stored log cannot be used. */
  private static VoterRecovery recoveryWithUnusableLog() {
    return new VoterRecovery(3, false, LogSummary.NONE, true);
  }

  private static VoterRecovery recoveryWithLog(int voterCount, LogSummary log) {
    return new VoterRecovery(voterCount, false, log, false);
  }

  private static LogSummary summary(String identity, int term, int lastTerm, long lastIndex) {
    return new LogSummary(Optional.of(identity), term, new LogPosition(lastTerm, lastIndex));
  }

  private static Reply replyWithLog(int term, int lastTerm, long lastIndex) {
    return replyWithHistory(term, new LogPosition(lastTerm, lastIndex), LogPosition.NONE, 0);
  }

  /** Reply of a voter with a log that has recorded what the querying voter acknowledged to it. */
  private static Reply replyWithHistory(
      int term, LogPosition last, LogPosition acknowledged, int votedTerm) {
    return new Reply(true, true, false, term, last, acknowledged, votedTerm);
  }

  @Test
  void groupIsFoundedOnlyAfterAllOthersReplyWithoutEntries() {
    VoterRecovery recovery = recoveryWithoutLog();
    assertEquals(Decision.UNDECIDED, recovery.replyReceived(B, REPLY_WITHOUT_LOG));
    assertEquals(
        Decision.UNDECIDED,
        recovery.replyReceived(B, REPLY_WITHOUT_LOG),
        "two replies of the same voter count once");
    assertEquals(Decision.FOUND_GROUP, recovery.replyReceived(C, REPLY_WITHOUT_LOG));
    VoterRecovery late = recoveryWithoutLog();
    late.replyReceived(B, replyWithLog(0, 0, 0));
    assertEquals(
        Decision.FOUND_GROUP,
        late.replyReceived(C, REPLY_WITHOUT_LOG),
        "another voter has founded the group, which has no entries yet");
    VoterRecovery lost = recoveryWithoutLog();
    assertEquals(
        Decision.NEW_IDENTITY,
        lost.replyReceived(C, replyWithLog(1, 1, 1)),
        "another voter has entries");
  }

  /** Two voters have lost their logs and the third log is corrupt: none founds a new group. */
  @Test
  void voterWithUnusableLogDoesNotFoundGroup() {
    VoterRecovery corrupt = recoveryWithUnusableLog();
    corrupt.replyReceived(B, REPLY_WITHOUT_LOG);
    assertEquals(Decision.UNDECIDED, corrupt.replyReceived(C, REPLY_WITHOUT_LOG));
    VoterRecovery empty = recoveryWithoutLog();
    empty.replyReceived(B, REPLY_WITHOUT_LOG);
    assertEquals(Decision.NEW_IDENTITY, empty.replyReceived(C, REPLY_WITH_UNUSABLE_LOG));
  }

  /**
   * A founder may have lost a vote in any term known to the others, and must not vote twice in one
   * term.
   */
  @Test
  void highestTermOfFounderIncludesReplies() {
    VoterRecovery recovery = recoveryWithoutLog();
    recovery.replyReceived(B, replyWithLog(4, 0, 0));
    assertEquals(Decision.FOUND_GROUP, recovery.replyReceived(C, replyWithLog(2, 0, 0)));
    assertEquals(4, recovery.highestTerm());
  }

  @Test
  void voterThatLostEntriesOrVotesTakesNewIdentity() {
    LogPosition localEnd = new LogPosition(2, 90);
    LogSummary local = summary("a#0", 3, 2, 90);
    assertEquals(
        Decision.NEW_IDENTITY,
        recoveryWithLog(3, local)
            .replyReceived(
                B, replyWithHistory(3, new LogPosition(2, 100), new LogPosition(2, 91), 0)),
        "acknowledged entry 91 is lost");
    assertEquals(
        Decision.NEW_IDENTITY,
        recoveryWithLog(3, local).replyReceived(B, replyWithHistory(3, localEnd, localEnd, 4)),
        "vote in term 4 is lost");
    VoterRecovery intact = recoveryWithLog(3, local);
    assertEquals(
        Decision.UNDECIDED,
        intact.replyReceived(B, replyWithHistory(3, localEnd, localEnd, 3)),
        "acknowledged entries and votes are stored, but one reply is not enough");
    assertEquals(Decision.RESUME, intact.replyReceived(C, replyWithLog(3, 2, 88)));
  }

  @Test
  void voterBehindOthersCatchesUp() {
    VoterRecovery recovery = recoveryWithLog(5, summary("a#0", 3, 2, 90));
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
      VoterRecovery recovery = recoveryWithLog(voters, summary("v0#0", 1, 1, 1));
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
