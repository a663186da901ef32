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
  void groupIsFoundedOnlyOnceAllOthersReplyWithoutEntries() {
    VoterRecovery recovery = new VoterRecovery(3, false, LogSummary.NONE, false);
    assertEquals(Decision.UNDECIDED, recovery.replied(B, REPLY_WITHOUT_LOG));
    assertEquals(
        Decision.UNDECIDED,
        recovery.replied(B, REPLY_WITHOUT_LOG),
        "the same voter twice counts once");
    assertEquals(Decision.FOUND_GROUP, recovery.replied(C, REPLY_WITHOUT_LOG));
    VoterRecovery late = new VoterRecovery(3, false, LogSummary.NONE, false);
    late.replied(B, replyWithLog(0, 0, 0));
    assertEquals(
        Decision.FOUND_GROUP,
        late.replied(C, REPLY_WITHOUT_LOG),
        "another founded the group, which has no entries");
    VoterRecovery lost = new VoterRecovery(3, false, LogSummary.NONE, false);
    assertEquals(
        Decision.NEW_IDENTITY, lost.replied(C, replyWithLog(1, 1, 1)), "another voter has entries");
  }

  /** Two lost their logs and one cannot read its own: none of them founds a new group. */
  @Test
  void voterWithUnusableLogFoundsNoGroup() {
    VoterRecovery damaged = new VoterRecovery(3, false, LogSummary.NONE, true);
    damaged.replied(B, REPLY_WITHOUT_LOG);
    assertEquals(Decision.UNDECIDED, damaged.replied(C, REPLY_WITHOUT_LOG));
    VoterRecovery empty = new VoterRecovery(3, false, LogSummary.NONE, false);
    empty.replied(B, REPLY_WITHOUT_LOG);
    assertEquals(
        Decision.NEW_IDENTITY,
        empty.replied(C, new Reply(false, false, false, 0, LogPosition.NONE, LogPosition.NONE, 0)));
  }

  /**
   * A vote that was lost may not be cast again in the same term, so the highest known term is used
   * up.
   */
  @Test
  void founderUsesUpTheHighestKnownTerm() {
    VoterRecovery recovery = new VoterRecovery(3, false, LogSummary.NONE, false);
    recovery.replied(B, replyWithLog(4, 0, 0));
    assertEquals(Decision.FOUND_GROUP, recovery.replied(C, replyWithLog(2, 0, 0)));
    assertEquals(4, recovery.highestTerm());
  }

  @Test
  void lostEntriesAndLostVotesLeadToANewIdentity() {
    LogSummary local = summary("a#0", 3, 2, 90);
    assertEquals(
        Decision.NEW_IDENTITY,
        new VoterRecovery(3, false, local, false)
            .replied(
                B,
                new Reply(
                    true, true, false, 3, new LogPosition(2, 100), new LogPosition(2, 91), 0)));
    assertEquals(
        Decision.NEW_IDENTITY,
        new VoterRecovery(3, false, local, false)
            .replied(
                B,
                new Reply(
                    true, true, false, 3, new LogPosition(2, 90), new LogPosition(2, 90), 4)));
    VoterRecovery well = new VoterRecovery(3, false, local, false);
    assertEquals(
        Decision.UNDECIDED,
        well.replied(
            B, new Reply(true, true, false, 3, new LogPosition(2, 90), new LogPosition(2, 90), 3)));
    assertEquals(
        Decision.RESUME,
        well.replied(
            C, new Reply(true, true, false, 3, new LogPosition(2, 88), LogPosition.NONE, 0)));
  }

  @Test
  void voterBehindTheOthersCatchesUp() {
    VoterRecovery recovery = new VoterRecovery(5, false, summary("a#0", 3, 2, 90), false);
    recovery.replied(B, replyWithLog(3, 2, 90));
    recovery.replied(C, REPLY_WITHOUT_LOG);
    assertEquals(
        Decision.UNDECIDED,
        recovery.replied(new PeerName("d"), replyWithLog(5, 2, 95)),
        "a reply without a log does not count");
    assertEquals(Decision.CATCH_UP, recovery.replied(new PeerName("e"), replyWithLog(4, 1, 99)));
    assertEquals(5, recovery.highestTerm());
    assertEquals(new LogPosition(2, 95), recovery.target());
  }

  /** Every majority that the voter may have been part of is represented among the replies. */
  @Test
  void repliesNeededRepresentEveryMajority() {
    for (int voters : new int[] {3, 5, 7}) {
      int wanted = 0;
      VoterRecovery recovery = new VoterRecovery(voters, false, summary("v0#0", 1, 1, 1), false);
      while (recovery.decision() == Decision.UNDECIDED) {
        wanted++;
        recovery.replied(new PeerName("v" + wanted), replyWithLog(1, 1, 1));
      }
      int othersInMajority = voters / 2;
      assertTrue(wanted + othersInMajority > voters - 1, voters + " voters, " + wanted + " asked");
    }
  }
}
