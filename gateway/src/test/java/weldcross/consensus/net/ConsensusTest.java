package weldcross.consensus.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.consensus.MembershipViewClient;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.raft.RaftVoter;

/**
 * The agreement of several gateways in memory; a row of docs/consensus.md's table each, then all at
 * random.
 */
@Timeout(60)
class ConsensusTest {

  private static final Duration MINUTE = Duration.ofMinutes(1), HEALS = Duration.ofSeconds(15);

  private static ConsensusSimulation up(int count, int voters, long seed) {
    ConsensusSimulation w = new ConsensusSimulation(count, voters, seed, false);
    assertNotNull(w.until(MINUTE, w::agree), "all agree on all");
    return w;
  }

  private static void heals(ConsensusSimulation w) {
    w.heal();
    assertNotNull(
        w.until(MINUTE, w::agree),
        () ->
            "healed, all agree: "
                + w.all.stream()
                    .map(
                        n ->
                            n.name
                                + " "
                                + n.agreement.agreed().describe(w.now)
                                + (n.agreement.voter() == null
                                    ? ""
                                    : " " + n.agreement.voter().phase()))
                    .toList());
  }

  @Test
  void allBecomeMembersOfOneViewAndEachIsOutOnceItLeaves() {
    ConsensusSimulation w = up(5, 3, 1);
    assertEquals(5, w.all.get(4).view().members().size());
    ConsensusSimulation.Node goes = w.all.get(4);
    goes.agreement.leave(Duration.ofSeconds(2));
    assertNotNull(w.until(Duration.ofSeconds(2), () -> goes.left));
    assertNotNull(w.until(HEALS, () -> !w.all.get(3).view().has(goes.name, goes.life)));
    assertEquals(MembershipViewClient.Phase.LEFT, goes.agreement.agreed().phase());
  }

  /**
   * Seen says gone, agreed says member: proof ends it everywhere, and its next life is a member
   * again.
   */
  @Test
  void proofEndsALifeAndTheNextOneJoins() {
    ConsensusSimulation w = up(5, 3, 2);
    ConsensusSimulation.Node dies = w.all.get(3);
    dies.kill();
    w.run(Duration.ofSeconds(20));
    assertTrue(w.all.get(0).view().has(dies.name, 1), "silence alone ends nobody");
    w.all.get(4).agreement.gone(dies.name, 1);
    assertNotNull(
        w.until(
            HEALS, () -> w.all.stream().allMatch(n -> !n.lives || !n.view().has(dies.name, 1))));
    dies.start();
    assertNotNull(w.until(HEALS, w::agree));
    assertTrue(w.all.get(0).view().has(dies.name, 2));
  }

  /**
   * Cut off with the minority, or alone: nothing is agreed there, and nothing is taken back after.
   */
  @Test
  void minorityAgreesOnNothing() {
    ConsensusSimulation w = up(5, 3, 3);
    w.all.get(0).side = 1;
    w.all.get(3).side = 1;
    w.all.get(4).kill();
    long before = w.all.get(0).view().number();
    w.all.get(3).agreement.gone(w.all.get(4).name, 1);
    w.all.get(1).agreement.gone(w.all.get(3).name, 1);
    assertNotNull(
        w.until(MINUTE, () -> !w.all.get(2).view().has(w.all.get(3).name, 1)),
        "the majority goes on");
    assertEquals(before, w.all.get(0).view().number());
    assertEquals(before, w.all.get(3).view().number());
    heals(w);
    // Taken for gone while it lived: it comes back as a later life.
    assertTrue(w.all.get(0).view().has(w.all.get(3).name, 2));
  }

  /** One direction only, and two that hear a third and not each other: whoever leads, one view. */
  @Test
  void oneDirectionAndAThirdBetweenTwoStillAgree() {
    ConsensusSimulation w = up(4, 3, 4);
    w.deaf.add(List.of(w.all.get(0), w.all.get(1)));
    w.run(Duration.ofSeconds(20));
    w.deaf.add(List.of(w.all.get(1), w.all.get(0)));
    w.all.get(3).kill();
    w.all.get(2).agreement.gone(w.all.get(3).name, 1);
    assertNotNull(w.until(MINUTE, () -> !w.all.get(2).view().has(w.all.get(3).name, 1)));
    heals(w);
  }

  /**
   * Of the voters one, a majority, and all are down: the last view stays; back with their disks,
   * all goes on.
   */
  @Test
  void votersThatAreDownHoldUpAgreementAndNothingElse() {
    ConsensusSimulation w = up(5, 3, 5);
    w.all.get(0).kill();
    w.all.get(3).kill();
    w.all.get(4).agreement.gone(w.all.get(3).name, 1);
    assertNotNull(
        w.until(MINUTE, () -> !w.all.get(4).view().has(w.all.get(3).name, 1)),
        "two of three go on");
    w.all.get(1).kill();
    long before = w.all.get(4).view().number();
    w.all.get(4).agreement.gone(w.all.get(0).name, 1);
    w.run(MINUTE);
    assertEquals(before, w.all.get(4).view().number(), "one of three agrees on nothing");
    w.all.get(2).kill();
    w.run(MINUTE);
    heals(w);
    assertTrue(w.agreedOn.lastKey() > before);
  }

  /** A process that stood still believes old things, and acts on none of them. */
  @Test
  void pausedLeaderWakesToALaterView() {
    ConsensusSimulation w = up(5, 3, 6);
    ConsensusSimulation.Node leader = w.nodes.get(w.all.get(4).agreement.agreed().leader());
    leader.paused = true;
    ConsensusSimulation.Node dies = w.all.get(3);
    dies.kill();
    w.all.get(4).agreement.gone(dies.name, 1);
    assertNotNull(w.until(MINUTE, () -> !w.all.get(4).view().has(dies.name, 1)), "another leads");
    assertTrue(leader.view().has(dies.name, 1));
    leader.resume();
    assertNotNull(w.until(HEALS, () -> !leader.view().has(dies.name, 1)));
    heals(w);
  }

  /** Two clusters that grew apart by a wrong configuration, and meet. */
  @Test
  void anotherGroupIsToldAndNotHeard() {
    ConsensusSimulation w = up(3, 3, 7);
    long before = w.all.get(0).view().number();
    w.all
        .get(0)
        .agreement
        .heard(
            w.all.get(2).name,
            weldcross.consensus.wire.Word.newBuilder()
                .setGroup("test/n9")
                .setTold(
                    weldcross.consensus.wire.Told.newBuilder()
                        .setView(weldcross.consensus.wire.ViewSaid.newBuilder().setNumber(99)))
                .build());
    assertEquals(before, w.all.get(0).view().number());
    assertTrue(
        w.all
            .get(0)
            .said
            .get(w.all.get(0).said.size() - 1)
            .contains("nothing is agreed between them"));
  }

  @Test
  void operatorForgetsASilentOneFromTheViewThatWasSeen() {
    ConsensusSimulation w = up(4, 3, 8);
    w.all.get(3).kill();
    w.all.get(0).agreement.forget(w.all.get(3).name);
    assertNotNull(w.until(HEALS, () -> w.all.get(0).told.equals(List.of(ProposalResult.DONE))));
    assertNotNull(w.until(HEALS, () -> !w.all.get(2).view().has(w.all.get(3).name, 1)));
    w.all.get(0).agreement.forget(w.all.get(3).name);
    assertNotNull(
        w.until(
            HEALS,
            () -> w.all.get(0).told.equals(List.of(ProposalResult.DONE, ProposalResult.UNKNOWN))));
  }

  /** One lying disk: what it lost is told by the others, and it comes back as another voter. */
  @Test
  void voterWhoseDiskLiedIsReplacedByItself() {
    ConsensusSimulation w = up(4, 3, 9);
    ConsensusSimulation.Node liar = w.all.get(1);
    liar.disk.forceLies = true;
    w.all.get(3).kill();
    w.all.get(3).start();
    assertNotNull(w.until(MINUTE, w::agree));
    liar.kill();
    liar.disk.forceLies = false;
    liar.start();
    assertNotNull(w.until(MINUTE, () -> liar.agreement.voter().phase() == RaftVoter.Phase.VOTING));
    assertTrue(
        liar.said.stream().anyMatch(s -> s.startsWith("it is n1#") && s.contains("IS_NEW")),
        liar.said.toString());
    heals(w);
  }

  /** A wrong byte in what was sure is found, and fetched from the others. */
  @Test
  void damagedLogIsNotUsed() {
    ConsensusSimulation w = up(3, 3, 10);
    ConsensusSimulation.Node hurt = w.all.get(2);
    hurt.kill();
    damage(hurt);
    hurt.start();
    assertNotNull(w.until(MINUTE, () -> hurt.agreement.voter().phase() == RaftVoter.Phase.VOTING));
    assertTrue(hurt.said.stream().anyMatch(s -> s.contains("damaged")), hurt.said.toString());
    heals(w);
  }

  /**
   * A majority that lost its disks does not start over silently: nothing is agreed until a person
   * decides.
   */
  @Test
  void majorityWithoutItsDisksSaysSoAndDoesNotBeginAnew() {
    ConsensusSimulation w = up(4, 3, 11);
    for (int k = 0; k < 2; k++) {
      w.all.get(k).kill();
      w.all.get(k).disk.wipe();
      w.all.get(k).start();
    }
    long before = w.agreedOn.lastKey();
    w.run(MINUTE.multipliedBy(2));
    assertEquals(before, w.agreedOn.lastKey());
    assertNotEquals(RaftVoter.Phase.VOTING, w.all.get(0).agreement.voter().phase());
    assertTrue(
        w.all.get(0).said.stream().anyMatch(s -> s.contains("IS_NEW")),
        w.all.get(0).said.toString());
  }

  /**
   * The same where the third cannot read its own records: nobody takes the empty ones for a first
   * start.
   */
  @Test
  void majorityWithoutItsDisksAndADamagedOneDoNotBeginAnewEither() {
    ConsensusSimulation w = up(4, 3, 14);
    for (int k = 0; k < 3; k++) {
      w.all.get(k).kill();
    }
    w.all.get(0).disk.wipe();
    w.all.get(1).disk.wipe();
    damage(w.all.get(2));
    for (int k = 0; k < 3; k++) {
      w.all.get(k).start();
    }
    long before = w.agreedOn.lastKey();
    w.run(MINUTE.multipliedBy(2));
    assertEquals(before, w.agreedOn.lastKey());
    for (int k = 0; k < 3; k++) {
      assertNotEquals(RaftVoter.Phase.VOTING, w.all.get(k).agreement.voter().phase());
    }
  }

  private static void damage(ConsensusSimulation.Node node) {
    String log = node.disk.names().stream().filter(n -> n.startsWith("log-")).findFirst().get();
    byte[] bytes = node.disk.bytes(log).clone();
    bytes[bytes.length / 3] ^= 4;
    node.disk.set(log, bytes);
  }

  @Test
  void diskThatFailsIsLeftAloneUntilItWorks() {
    ConsensusSimulation w = up(3, 3, 12);
    ConsensusSimulation.Node hurt = w.all.get(1);
    hurt.disk.forceFails = true;
    ConsensusSimulation.Node dies = w.all.get(0);
    dies.kill();
    w.run(Duration.ofSeconds(10));
    dies.start();
    w.run(Duration.ofSeconds(10));
    assertTrue(
        hurt.said.stream().anyMatch(s -> s.contains("its disk fails")), hurt.said.toString());
    heals(w);
  }

  /** A log that is long is cut by snapshots, and who was away long is brought up to them. */
  @Test
  void manyChangesAreCutBySnapshots() {
    ConsensusSimulation w = up(4, 3, 13);
    w.all.get(2).kill();
    ConsensusSimulation.Node goes = w.all.get(3);
    for (int k = 0; k < 150; k++) {
      goes.agreement.leave(Duration.ofSeconds(2));
      assertNotNull(w.until(HEALS, () -> goes.left));
      goes.left = false;
      goes.agreement.join();
      assertNotNull(
          w.until(
              HEALS, () -> goes.agreement.agreed().phase() == MembershipViewClient.Phase.MEMBER));
    }
    assertTrue(w.agreedOn.lastKey() > 290);
    assertTrue(
        w.all.get(0).disk.names().stream().anyMatch(n -> n.startsWith("snapshot-")),
        w.all.get(0).disk.names().toString());
    heals(w);
  }

  // ---- At random

  /**
   * Plays troubles of all kinds; the world looks at views in each step, and at the end all have to
   * agree.
   */
  static ConsensusSimulation random(long seed, boolean trusted, int steps) {
    ConsensusSimulation w =
        new ConsensusSimulation(5 + (int) (seed % 3), seed % 2 == 0 ? 3 : 5, seed, trusted);
    assertNotNull(w.until(MINUTE, w::agree));
    ConsensusSimulation.Node liar = w.all.get(w.random.nextInt(w.voters.size()));
    for (int step = 0; step < steps; step++) {
      ConsensusSimulation.Node node = w.all.get(w.random.nextInt(w.all.size()));
      ConsensusSimulation.Node other = w.all.get(w.random.nextInt(w.all.size()));
      switch (w.random.nextInt(14)) {
        case 0, 1 -> {
          if (node.lives) {
            node.kill();
          }
        }
        case 2, 3, 4 -> {
          if (!node.lives) {
            node.start();
          }
        }
        case 5 -> node.paused = node.lives;
        case 6, 7 -> {
          if (node.paused && node.lives) {
            node.resume();
          }
        }
        case 8 -> node.side = w.random.nextInt(2);
        case 9 -> w.all.forEach(n -> n.side = 0);
        case 10 -> w.deaf.add(List.of(node, other));
        case 11 -> {
          w.deaf.clear();
          w.loss = w.random.nextBoolean() ? 0.2 : 0;
          w.delay = 1 + w.random.nextInt(100);
        }
        case 12 -> liar.disk.forceLies = !liar.disk.forceLies;
        default -> {
          if (!other.lives && node.lives && !node.paused) {
            node.agreement.gone(other.name, other.life);
          }
        }
      }
      w.run(Duration.ofMillis(w.random.nextInt(4000)));
    }
    return w;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void oneViewANumberThroughAnyTroubles(long seed) {
    ConsensusSimulation w = random(seed, false, 150);
    heals(w);
    assertEquals(w.agreedOn.lastKey(), w.all.get(0).view().number(), "nothing agreed on was lost");
  }

  /**
   * With disks that are trusted and lie the same troubles break it: the checks find what they are
   * there for.
   */
  @Test
  void withDisksTrustedALieIsFound() {
    int found = 0;
    for (long seed = 1; seed <= 60 && found == 0; seed++) {
      try {
        ConsensusSimulation w = random(seed, true, 150);
        w.heal();
        w.until(MINUTE, w::agree);
        found += w.agreedOn.lastKey() > w.all.get(0).view().number() ? 1 : 0;
      } catch (AssertionError e) {
        found++;
      }
    }
    assertTrue(found > 0);
  }
}
