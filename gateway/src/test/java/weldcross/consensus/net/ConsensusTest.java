package weldcross.consensus.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.consensus.MembershipViewClient;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.raft.RaftVoter;
import weldcross.consensus.wire.ConsensusMessage;
import weldcross.consensus.wire.ViewRecord;
import weldcross.consensus.wire.ViewReply;

/**
 * The consensus of several gateways in memory: each situation of the table in docs/consensus.md,
 * and random faults.
 */
@Timeout(60)
class ConsensusTest {

  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(15);

  private static ConsensusSimulation start(int count, int voters, long seed) {
    ConsensusSimulation simulation = new ConsensusSimulation(count, voters, seed, false);
    assertWithin(simulation, MINUTE, simulation::allAgree, "all agree on all");
    return simulation;
  }

  private static void assertWithin(
      ConsensusSimulation simulation, Duration timeout, BooleanSupplier condition) {
    assertWithin(simulation, timeout, condition, "the condition holds in time");
  }

  private static void assertWithin(
      ConsensusSimulation simulation, Duration timeout, BooleanSupplier condition, String message) {
    assertTrue(
        simulation.runUntil(timeout, condition).isPresent(),
        () -> message + ": " + simulation.describe());
  }

  private static void assertHeals(ConsensusSimulation simulation) {
    simulation.heal();
    assertWithin(simulation, MINUTE, simulation::allAgree, "healed, all agree");
  }

  @Test
  void allJoinOneViewAndALeavingGatewayIsRemoved() {
    ConsensusSimulation simulation = start(5, 3, 1);
    assertEquals(5, simulation.node(4).view().members().size());
    ConsensusSimulation.Node leaving = simulation.node(4);
    leaving.service.leave(Duration.ofSeconds(2));
    assertWithin(simulation, Duration.ofSeconds(2), () -> leaving.left);
    assertWithin(
        simulation,
        RECOVERY_TIMEOUT,
        () -> !simulation.node(3).view().contains(leaving.name, leaving.incarnation));
    assertEquals(MembershipViewClient.Phase.LEFT, leaving.service.viewClient().phase());
  }

  /**
   * A dead member stays in the view until there is proof, which removes it everywhere; its next
   * incarnation joins again.
   */
  @Test
  void proofRemovesADeadIncarnationAndTheNextOneJoins() {
    ConsensusSimulation simulation = start(5, 3, 2);
    ConsensusSimulation.Node dead = simulation.node(3);
    dead.kill();
    simulation.run(Duration.ofSeconds(20));
    assertTrue(simulation.node(0).view().contains(dead.name, 1), "silence alone removes nobody");
    simulation.node(4).service.memberDied(dead.name, 1);
    assertWithin(
        simulation,
        RECOVERY_TIMEOUT,
        () ->
            simulation.allNodes.stream()
                .allMatch(n -> !n.alive || !n.view().contains(dead.name, 1)));
    dead.start();
    assertWithin(simulation, RECOVERY_TIMEOUT, simulation::allAgree);
    assertTrue(simulation.node(0).view().contains(dead.name, 2));
  }

  /** Cut off with the minority, or alone: no view changes there, and none is taken back later. */
  @Test
  void minorityChangesNoView() {
    ConsensusSimulation simulation = start(5, 3, 3);
    simulation.node(0).partition = 1;
    simulation.node(3).partition = 1;
    simulation.node(4).kill();
    final long before = simulation.node(0).view().number();
    simulation.node(3).service.memberDied(simulation.node(4).name, 1);
    simulation.node(1).service.memberDied(simulation.node(3).name, 1);
    assertWithin(
        simulation,
        MINUTE,
        () -> !simulation.node(2).view().contains(simulation.node(3).name, 1),
        "the majority continues");
    assertEquals(before, simulation.node(0).view().number());
    assertEquals(before, simulation.node(3).view().number());
    assertHeals(simulation);
    // Declared dead while it was alive: it joins again under a later incarnation.
    assertTrue(simulation.node(0).view().contains(simulation.node(3).name, 2));
  }

  /** Messages pass in one direction, then only by way of a third voter: still one view. */
  @Test
  void votersCutFromEachOtherButNotFromAThirdStillAgree() {
    ConsensusSimulation simulation = start(4, 3, 4);
    simulation.cutPairs.add(List.of(simulation.node(0), simulation.node(1)));
    simulation.run(Duration.ofSeconds(20));
    simulation.cutPairs.add(List.of(simulation.node(1), simulation.node(0)));
    simulation.node(3).kill();
    simulation.node(2).service.memberDied(simulation.node(3).name, 1);
    assertWithin(
        simulation, MINUTE, () -> !simulation.node(2).view().contains(simulation.node(3).name, 1));
    assertHeals(simulation);
  }

  /**
   * One voter, a majority and all voters are down: the last view stays; once they are back with
   * their storage, it changes again.
   */
  @Test
  void viewIsKeptWhileVotersAreDownAndChangesOnceTheyAreBack() {
    ConsensusSimulation simulation = start(5, 3, 5);
    simulation.node(0).kill();
    simulation.node(3).kill();
    simulation.node(4).service.memberDied(simulation.node(3).name, 1);
    assertWithin(
        simulation,
        MINUTE,
        () -> !simulation.node(4).view().contains(simulation.node(3).name, 1),
        "two of three continue");
    simulation.node(1).kill();
    long before = simulation.node(4).view().number();
    simulation.node(4).service.memberDied(simulation.node(0).name, 1);
    simulation.run(MINUTE);
    assertEquals(before, simulation.node(4).view().number(), "one of three changes no view");
    simulation.node(2).kill();
    simulation.run(MINUTE);
    assertHeals(simulation);
    assertTrue(simulation.committedViews.lastKey() > before);
  }

  /** A paused process holds an old view, and acts on none of it. */
  @Test
  void pausedLeaderReceivesTheLaterViewOnceItResumes() {
    ConsensusSimulation simulation = start(5, 3, 6);
    ConsensusSimulation.Node leader =
        simulation.nodes.get(simulation.node(4).service.viewClient().leader().orElseThrow());
    leader.paused = true;
    ConsensusSimulation.Node dead = simulation.node(3);
    dead.kill();
    simulation.node(4).service.memberDied(dead.name, 1);
    assertWithin(
        simulation,
        MINUTE,
        () -> !simulation.node(4).view().contains(dead.name, 1),
        "another voter leads");
    assertTrue(leader.view().contains(dead.name, 1));
    leader.resume();
    assertWithin(simulation, RECOVERY_TIMEOUT, () -> !leader.view().contains(dead.name, 1));
    assertHeals(simulation);
  }

  /** Two clusters of different configuration meet. */
  @Test
  void messageOfAnotherGroupIsRejectedAndLogged() {
    ConsensusSimulation simulation = start(3, 3, 7);
    long before = simulation.node(0).view().number();
    simulation
        .node(0)
        .service
        .receive(
            simulation.node(2).name,
            ConsensusMessage.newBuilder()
                .setGroup("test/n9")
                .setViewReply(ViewReply.newBuilder().setView(ViewRecord.newBuilder().setNumber(99)))
                .build());
    assertEquals(before, simulation.node(0).view().number());
    assertTrue(
        simulation
            .node(0)
            .logLines
            .get(simulation.node(0).logLines.size() - 1)
            .contains("message of another group rejected"));
  }

  @Test
  void operatorForgetsASilentMemberOnceAndIsAnswered() {
    ConsensusSimulation simulation = start(4, 3, 8);
    simulation.node(3).kill();
    simulation.node(0).service.forget(simulation.node(3).name);
    assertWithin(
        simulation,
        RECOVERY_TIMEOUT,
        () -> simulation.node(0).operatorResults.equals(List.of(ProposalResult.APPLIED)));
    assertWithin(
        simulation,
        RECOVERY_TIMEOUT,
        () -> !simulation.node(2).view().contains(simulation.node(3).name, 1));
    simulation.node(0).service.forget(simulation.node(3).name);
    assertWithin(
        simulation,
        RECOVERY_TIMEOUT,
        () ->
            simulation
                .node(0)
                .operatorResults
                .equals(List.of(ProposalResult.APPLIED, ProposalResult.UNKNOWN_MEMBER)));
  }

  /** The other voters know what its storage lost, and it joins again under a new identity. */
  @Test
  void voterThatLostAcknowledgedEntriesTakesANewIdentity() {
    ConsensusSimulation simulation = start(4, 3, 9);
    ConsensusSimulation.Node faulty = simulation.node(1);
    faulty.directory.ignoreForce = true;
    simulation.node(3).kill();
    simulation.node(3).start();
    assertWithin(simulation, MINUTE, simulation::allAgree);
    faulty.kill();
    faulty.directory.ignoreForce = false;
    faulty.start();
    assertWithin(
        simulation,
        MINUTE,
        () -> faulty.service.voter().orElseThrow().phase() == RaftVoter.Phase.VOTING);
    assertTrue(
        faulty.logLines.stream()
            .anyMatch(
                s ->
                    s.startsWith("voter started: voter=n1#")
                        && s.contains("decision=NEW_IDENTITY")),
        faulty.logLines.toString());
    assertHeals(simulation);
  }

  /** A flipped byte in durable data is found, and the log fetched from the others. */
  @Test
  void corruptLogIsNotUsed() {
    ConsensusSimulation simulation = start(3, 3, 10);
    ConsensusSimulation.Node faulty = simulation.node(2);
    faulty.kill();
    corruptLog(faulty);
    faulty.start();
    assertWithin(
        simulation,
        MINUTE,
        () -> faulty.service.voter().orElseThrow().phase() == RaftVoter.Phase.VOTING);
    assertTrue(
        faulty.logLines.stream().anyMatch(s -> s.contains("voter log damaged")),
        faulty.logLines.toString());
    assertHeals(simulation);
  }

  /**
   * A majority that lost its storage does not silently found a new group: no view changes until an
   * operator decides.
   */
  @Test
  void majorityWithoutStorageLogsItAndFoundsNoGroup() {
    ConsensusSimulation simulation = start(4, 3, 11);
    for (int k = 0; k < 2; k++) {
      simulation.node(k).kill();
      simulation.node(k).directory.clear();
      simulation.node(k).start();
    }
    long before = simulation.committedViews.lastKey();
    simulation.run(MINUTE.multipliedBy(2));
    assertEquals(before, simulation.committedViews.lastKey());
    assertNotEquals(
        RaftVoter.Phase.VOTING, simulation.node(0).service.voter().orElseThrow().phase());
    assertTrue(
        simulation.node(0).logLines.stream().anyMatch(s -> s.contains("decision=NEW_IDENTITY")),
        simulation.node(0).logLines.toString());
  }

  /** The same where the third log is corrupt: the empty ones are not taken for a first start. */
  @Test
  void majorityWithoutStorageAndACorruptLogFoundNoGroup() {
    ConsensusSimulation simulation = start(4, 3, 14);
    for (int k = 0; k < 3; k++) {
      simulation.node(k).kill();
    }
    simulation.node(0).directory.clear();
    simulation.node(1).directory.clear();
    corruptLog(simulation.node(2));
    for (int k = 0; k < 3; k++) {
      simulation.node(k).start();
    }
    long before = simulation.committedViews.lastKey();
    simulation.run(MINUTE.multipliedBy(2));
    assertEquals(before, simulation.committedViews.lastKey());
    for (int k = 0; k < 3; k++) {
      assertNotEquals(
          RaftVoter.Phase.VOTING, simulation.node(k).service.voter().orElseThrow().phase());
    }
  }

  private static void corruptLog(ConsensusSimulation.Node node) {
    String log =
        node.directory.fileNames().stream()
            .filter(n -> n.startsWith("log-"))
            .findFirst()
            .orElseThrow();
    byte[] bytes = node.directory.visibleBytes(log).clone();
    bytes[bytes.length / 3] ^= 4;
    node.directory.putDurable(log, bytes);
  }

  @Test
  void voterWithFailingStorageDoesNotVoteUntilItWorks() {
    ConsensusSimulation simulation = start(3, 3, 12);
    ConsensusSimulation.Node faulty = simulation.node(1);
    faulty.directory.failForce = true;
    ConsensusSimulation.Node dead = simulation.node(0);
    dead.kill();
    simulation.run(Duration.ofSeconds(10));
    dead.start();
    simulation.run(Duration.ofSeconds(10));
    assertTrue(
        faulty.logLines.stream().anyMatch(s -> s.contains("voter storage failed")),
        faulty.logLines.toString());
    assertHeals(simulation);
  }

  /** Snapshots keep logs short, and a voter that was down for long is sent one. */
  @Test
  void manyChangesAreReplacedBySnapshots() {
    ConsensusSimulation simulation = start(4, 3, 13);
    simulation.node(2).kill();
    ConsensusSimulation.Node leaving = simulation.node(3);
    for (int k = 0; k < 150; k++) {
      leaving.service.leave(Duration.ofSeconds(2));
      assertWithin(simulation, RECOVERY_TIMEOUT, () -> leaving.left);
      leaving.left = false;
      leaving.service.join();
      assertWithin(
          simulation,
          RECOVERY_TIMEOUT,
          () -> leaving.service.viewClient().phase() == MembershipViewClient.Phase.MEMBER);
    }
    assertTrue(simulation.committedViews.lastKey() > 290);
    assertTrue(
        simulation.node(0).directory.fileNames().stream().anyMatch(n -> n.startsWith("snapshot-")),
        simulation.node(0).directory.fileNames().toString());
    assertHeals(simulation);
  }

  // ---- Random faults

  /**
   * Runs a simulation with random faults, which checks views in each step.
   *
   * @param trusted whether voters trust their storage, which may lose data
   */
  static ConsensusSimulation random(long seed, boolean trusted, int steps) {
    ConsensusSimulation simulation =
        new ConsensusSimulation(5 + (int) (seed % 3), seed % 2 == 0 ? 3 : 5, seed, trusted);
    assertWithin(simulation, MINUTE, simulation::allAgree);
    ConsensusSimulation.Node faulty =
        simulation.allNodes.get(simulation.random.nextInt(simulation.voters.size()));
    for (int step = 0; step < steps; step++) {
      injectFault(simulation, faulty);
      simulation.run(Duration.ofMillis(simulation.random.nextInt(4000)));
    }
    return simulation;
  }

  private static void injectFault(ConsensusSimulation simulation, ConsensusSimulation.Node faulty) {
    SplittableRandom random = simulation.random;
    ConsensusSimulation.Node node =
        simulation.allNodes.get(random.nextInt(simulation.allNodes.size()));
    ConsensusSimulation.Node other =
        simulation.allNodes.get(random.nextInt(simulation.allNodes.size()));
    int kind = random.nextInt(14);
    if (kind <= 7) {
      changeProcess(node, kind);
    } else if (kind <= 11) {
      changeNetwork(simulation, node, other, kind);
    } else if (kind == 12) {
      faulty.directory.ignoreForce = !faulty.directory.ignoreForce;
    } else if (!other.alive && node.alive && !node.paused) {
      node.service.memberDied(other.name, other.incarnation);
    }
  }

  private static void changeProcess(ConsensusSimulation.Node node, int kind) {
    switch (kind) {
      case 0, 1 -> {
        if (node.alive) {
          node.kill();
        }
      }
      case 2, 3, 4 -> {
        if (!node.alive) {
          node.start();
        }
      }
      case 5 -> node.paused = node.alive;
      default -> {
        if (node.paused && node.alive) {
          node.resume();
        }
      }
    }
  }

  private static void changeNetwork(
      ConsensusSimulation simulation,
      ConsensusSimulation.Node node,
      ConsensusSimulation.Node other,
      int kind) {
    switch (kind) {
      case 8 -> node.partition = simulation.random.nextInt(2);
      case 9 -> simulation.allNodes.forEach(each -> each.partition = 0);
      case 10 -> simulation.cutPairs.add(List.of(node, other));
      default -> {
        simulation.cutPairs.clear();
        simulation.loss = simulation.random.nextBoolean() ? 0.2 : 0;
        simulation.delay = 1 + simulation.random.nextInt(100);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void viewsStayConsistentUnderRandomFaults(long seed) {
    ConsensusSimulation simulation = random(seed, false, 150);
    assertHeals(simulation);
    assertEquals(
        simulation.committedViews.lastKey(),
        simulation.node(0).view().number(),
        "no committed view was lost");
  }

  /**
   * With storage that is trusted and loses data the same faults break a rule: the checks do find
   * such faults.
   */
  @Test
  void trustedStorageThatLosesDataIsFoundOut() {
    int found = 0;
    for (long seed = 1; seed <= 60 && found == 0; seed++) {
      try {
        ConsensusSimulation simulation = random(seed, true, 150);
        simulation.heal();
        simulation.runUntil(MINUTE, simulation::allAgree);
        found += simulation.committedViews.lastKey() > simulation.node(0).view().number() ? 1 : 0;
      } catch (AssertionError e) {
        found++;
      }
    }
    assertTrue(found > 0);
  }
}
