package weldcross.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.consensus.VoterRecovery.Answer;
import weldcross.consensus.VoterRecovery.Kept;
import weldcross.consensus.VoterRecovery.Phase;
import weldcross.mesh.PeerName;

/** The pure modules of the agreement: views, who may vote, what share a gateway has. */
class MembershipStateMachineTest {

  private static final PeerName A = new PeerName("a"), B = new PeerName("b"), C = new PeerName("c");

  private static Member member(PeerName name, long life) {
    return new Member(name, life, "", 10);
  }

  // ---- Views

  @Test
  void lifeThatHasEndedIsNeverAMemberAgain() {
    MembershipStateMachine views = new MembershipStateMachine();
    assertEquals(ProposalResult.DONE, views.apply(Proposal.join(member(A, 3))));
    assertEquals(ProposalResult.SAME, views.apply(Proposal.join(member(A, 3))));
    assertEquals(ProposalResult.DONE, views.apply(Proposal.gone(A, 3, B)));
    assertEquals(ProposalResult.ENDED, views.apply(Proposal.join(member(A, 3))));
    assertEquals(ProposalResult.SAME, views.apply(Proposal.gone(A, 3, C)));
    assertEquals(ProposalResult.DONE, views.apply(Proposal.join(member(A, 4))));
    assertEquals(
        ProposalResult.ENDED,
        views.apply(Proposal.leave(member(A, 3))),
        "a late word of the life before");
    assertTrue(views.view().has(A, 4));
    assertEquals(3, views.view().number());
    // A later life that takes the place of one ends it.
    assertEquals(ProposalResult.DONE, views.apply(Proposal.join(member(A, 6))));
    assertEquals(ProposalResult.ENDED, views.apply(Proposal.join(member(A, 5))));
  }

  /** An operator forgets what he saw, and nothing that came after. */
  @Test
  void forgettingIsBoundToTheViewThatWasSeen() {
    MembershipStateMachine views = new MembershipStateMachine();
    views.apply(Proposal.join(member(A, 1)));
    views.apply(Proposal.join(member(B, 1)));
    assertEquals(ProposalResult.CHANGED, views.apply(Proposal.forget(A, B, 1)));
    assertEquals(ProposalResult.DONE, views.apply(Proposal.forget(A, B, 2)));
    assertEquals(ProposalResult.UNKNOWN, views.apply(Proposal.forget(A, B, 3)));
  }

  /**
   * Any motions in any order: numbers have no gaps, an ended life stays ended, and a copy says the
   * same.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void anyMotionsKeepTheRules(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    MembershipStateMachine views = new MembershipStateMachine();
    MembershipStateMachine copy = new MembershipStateMachine();
    Map<PeerName, Long> highestEnded = new TreeMap<>();
    for (int step = 0; step < 5000; step++) {
      PeerName name = List.of(A, B, C).get(random.nextInt(3));
      long life = 1L + random.nextInt(40);
      Proposal motion =
          switch (random.nextInt(4)) {
            case 0 -> Proposal.gone(name, life, B);
            case 1 -> Proposal.leave(member(name, life));
            case 2 -> Proposal.forget(name, B, views.view().number() - random.nextInt(2));
            default -> Proposal.join(member(name, life));
          };
      MembershipView before = views.view();
      ProposalResult verdict = views.apply(motion);
      assertEquals(verdict, copy.apply(motion));
      assertEquals(views.view(), copy.view());
      assertEquals(
          before.number() + (verdict == ProposalResult.DONE ? 1 : 0), views.view().number());
      before
          .members()
          .values()
          .forEach(
              m -> {
                if (!views.view().has(m.name(), m.life())) {
                  highestEnded.merge(m.name(), m.life(), Math::max);
                }
              });
      views
          .view()
          .members()
          .values()
          .forEach(
              m ->
                  assertTrue(
                      m.life() > highestEnded.getOrDefault(m.name(), 0L)
                          || (before.has(m.name(), m.life())
                              && m.life() >= highestEnded.getOrDefault(m.name(), 0L))));
      for (PeerName lost : List.of(A, B, C)) {
        PeerName owner = views.view().ownerAfter(lost);
        assertTrue(
            owner == null || (!owner.equals(lost) && views.view().members().containsKey(owner)));
      }
      if (step % 500 == 0) {
        MembershipStateMachine restored = new MembershipStateMachine();
        restored.restore(copy.view(), Map.copyOf(copy.ended()));
        copy.restore(restored.view(), restored.ended());
      }
    }
  }

  // ---- Who may vote

  private static Answer has(int term, int lastTerm, long lastIndex) {
    return new Answer(true, true, false, term, lastTerm, lastIndex, 0, 0, 0);
  }

  private static final Answer EMPTY = new Answer(false, true, false, 0, 0, 0, 0, 0, 0);

  @Test
  void foundingWantsAllOfThemAndNoRecordsAnywhere() {
    VoterRecovery one = new VoterRecovery(3, false, Kept.NOTHING, false);
    assertEquals(Phase.ASKING, one.answered(B, EMPTY));
    assertEquals(Phase.ASKING, one.answered(B, EMPTY), "the same one twice is one");
    assertEquals(Phase.FOUNDS, one.answered(C, EMPTY));
    VoterRecovery late = new VoterRecovery(3, false, Kept.NOTHING, false);
    late.answered(B, has(0, 0, 0));
    assertEquals(
        Phase.FOUNDS, late.answered(C, EMPTY), "another has founded and nothing was said yet");
    VoterRecovery lost = new VoterRecovery(3, false, Kept.NOTHING, false);
    assertEquals(Phase.IS_NEW, lost.answered(C, has(1, 1, 1)), "others have records");
  }

  /** Two lost theirs, one cannot read its own: whoever asks whom, nothing begins anew. */
  @Test
  void whoHadRecordsFoundsNothing() {
    VoterRecovery damaged = new VoterRecovery(3, false, Kept.NOTHING, true);
    damaged.answered(B, EMPTY);
    assertEquals(Phase.ASKING, damaged.answered(C, EMPTY));
    VoterRecovery empty = new VoterRecovery(3, false, Kept.NOTHING, false);
    empty.answered(B, EMPTY);
    assertEquals(
        Phase.IS_NEW, empty.answered(C, new Answer(false, false, false, 0, 0, 0, 0, 0, 0)));
  }

  /**
   * A vote that is forgotten may not be given again in the same term: the highest that is known is
   * spent.
   */
  @Test
  void founderThatVotedBeforeDoesNotVoteInThatTermAgain() {
    VoterRecovery one = new VoterRecovery(3, false, Kept.NOTHING, false);
    one.answered(B, has(4, 0, 0));
    assertEquals(Phase.FOUNDS, one.answered(C, has(2, 0, 0)));
    assertEquals(4, one.term());
  }

  @Test
  void whatOthersRememberTellsALostEndAndALostVote() {
    Kept kept = new Kept("a#0", 3, 2, 90);
    assertEquals(
        Phase.IS_NEW,
        new VoterRecovery(3, false, kept, false)
            .answered(B, new Answer(true, true, false, 3, 2, 100, 2, 91, 0)));
    assertEquals(
        Phase.IS_NEW,
        new VoterRecovery(3, false, kept, false)
            .answered(B, new Answer(true, true, false, 3, 2, 90, 2, 90, 4)));
    VoterRecovery well = new VoterRecovery(3, false, kept, false);
    assertEquals(Phase.ASKING, well.answered(B, new Answer(true, true, false, 3, 2, 90, 2, 90, 3)));
    assertEquals(Phase.GOES_ON, well.answered(C, new Answer(true, true, false, 3, 2, 88, 0, 0, 0)));
  }

  @Test
  void whoIsBehindLearnsBeforeItVotes() {
    VoterRecovery one = new VoterRecovery(5, false, new Kept("a#0", 3, 2, 90), false);
    one.answered(B, has(3, 2, 90));
    one.answered(C, EMPTY);
    assertEquals(
        Phase.ASKING,
        one.answered(new PeerName("d"), has(5, 2, 95)),
        "an empty one counts for nothing");
    assertEquals(Phase.LEARNS_FIRST, one.answered(new PeerName("e"), has(4, 1, 99)));
    assertEquals(5, one.term());
    assertEquals(2, one.targetTerm());
    assertEquals(95, one.targetIndex());
  }

  /**
   * Three of five, all but one of three: each majority that it may have been part of has one among
   * them.
   */
  @Test
  void enoughAreAskedThatNoMajorityIsMissed() {
    for (int voters : new int[] {3, 5, 7}) {
      int wanted = 0;
      VoterRecovery one = new VoterRecovery(voters, false, new Kept("v0#0", 1, 1, 1), false);
      while (one.phase() == Phase.ASKING) {
        wanted++;
        one.answered(new PeerName("v" + wanted), has(1, 1, 1));
      }
      int othersInMajority = voters / 2;
      assertTrue(wanted + othersInMajority > voters - 1, voters + " voters, " + wanted + " asked");
    }
  }

  // ---- The share

  @Test
  void shareShrinksAtOnceAndGrowsLate() {
    FleetQuota share = new FleetQuota(0.2, Duration.ofSeconds(30));
    share.known(Duration.ofSeconds(1), 0.5);
    assertEquals(0.2, share.share(Duration.ofSeconds(30)));
    assertEquals(Duration.ofSeconds(31), share.growsAt());
    assertEquals(0.5, share.share(Duration.ofSeconds(31)));
    assertNull(share.growsAt());
    share.known(Duration.ofSeconds(40), 0.25);
    assertEquals(0.25, share.share(Duration.ofSeconds(40)));
    share.known(Duration.ofSeconds(41), 0.5);
    share.known(Duration.ofSeconds(60), 0.3);
    assertEquals(
        0.25, share.share(Duration.ofSeconds(89)), "what gave more is over before its time");
    assertEquals(0.3, share.share(Duration.ofSeconds(90)));
  }

  /** The least of all that was known within the time, whatever comes when. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void noShareIsEverWiderThanTheLeastThatWasKnownWithinTheTime(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FleetQuota share = new FleetQuota(0.1, Duration.ofSeconds(30));
    List<Double> shares = new ArrayList<>(List.of(0.1));
    List<Duration> since = new ArrayList<>(List.of(Duration.ofSeconds(-100)));
    Duration now = Duration.ZERO;
    for (int step = 0; step < 2000; step++) {
      now = now.plusMillis(random.nextInt(20_000));
      double least = shares.get(shares.size() - 1);
      for (int k = shares.size() - 1; k >= 0; k--) {
        least = Math.min(least, shares.get(k));
        // This one was in force up to the next, and so still counts for a while after that.
        if (now.minus(since.get(k)).compareTo(Duration.ofSeconds(30)) >= 0) {
          break;
        }
      }
      assertTrue(
          share.share(now) <= least + 1e-12, step + ": " + share.share(now) + " over " + least);
      if (random.nextBoolean()) {
        double next = 1.0 / (1 + random.nextInt(20));
        share.known(now, next);
        shares.add(next);
        since.add(now);
      }
    }
  }
}
