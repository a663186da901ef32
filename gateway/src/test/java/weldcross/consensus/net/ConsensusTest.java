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
 * Tests the consensus of several simulated gateways in each situation listed in docs/consensus.md,
 * and under random faults.
 */
@Timeout(60)
class ConsensusTest {

  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(15);

  private static ConsensusSimulation start(int count, int voters, long seed) {
    ConsensusSimulation simulation = new ConsensusSimulation(count, voters, seed, false);
    assertWithin(
        simulation, MINUTE, simulation::allAgree, "all gateways agree on a view of all members");
    return simulation;
  }

  private static void assertWithin(
      ConsensusSimulation simulation, Duration timeout, BooleanSupplier condition) {
    assertWithin(simulation, timeout, condition, "condition not met in time");
  }

  private static void assertWithin(
      ConsensusSimulation simulation, Duration timeout, BooleanSupplier condition, String message) {
    assertTrue(
        simulation.runUntil(timeout, condition).isPresent(),
        () -> message + ": " + simulation.describe());
  }

  private static void assertHeals(ConsensusSimulation simulation) {
    simulation.heal();
    assertWithin(simulation, MINUTE, simulation::allAgree, "all gateways agree after healing");
  }

  @Test
  void allGatewaysJoinAndLeavingGatewayIsRemoved() {
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
   * A silent member stays in the view until it is confirmed dead; then it is removed everywhere,
   * and its next incarnation joins.
   */
  @Test
  void confirmedDeadIncarnationIsRemovedAndNextOneJoins() {
    ConsensusSimulation simulation = start(5, 3, 2);
    ConsensusSimulation.Node dead = simulation.node(3);
    dead.kill();
    simulation.run(Duration.ofSeconds(20));
    assertTrue(
        simulation.node(0).view().contains(dead.name, 1),
        "an unconfirmed failure removes no member");
    simulation.node(4).service.memberDied(dead.name, 1);
    assertWithin(
        simulation,
        RECOVERY_TIMEOUT,
        () ->
            simulation.allNodes.stream()
                .allMatch(node -> !node.alive || !node.view().contains(dead.name, 1)));
    dead.start();
    assertWithin(simulation, RECOVERY_TIMEOUT, simulation::allAgree);
    assertTrue(simulation.node(0).view().contains(dead.name, 2));
  }

  /** Nodes partitioned from the majority commit no view, and their view is not reverted later. */
  @Test
  void minorityCannotChangeView() {
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
    // The node was declared dead while alive and rejoins under a later incarnation.
    assertTrue(simulation.node(0).view().contains(simulation.node(3).name, 2));
  }

  /** Two voters are cut off from each other, first in one direction, then in both. */
  @Test
  void votersPartitionedFromEachOtherAgreeThroughThirdVoter() {
    ConsensusSimulation simulation = start(4, 3, 4);
    simulation.blockedLinks.add(List.of(simulation.node(0), simulation.node(1)));
    simulation.run(Duration.ofSeconds(20));
    simulation.blockedLinks.add(List.of(simulation.node(1), simulation.node(0)));
    simulation.node(3).kill();
    simulation.node(2).service.memberDied(simulation.node(3).name, 1);
    assertWithin(
        simulation, MINUTE, () -> !simulation.node(2).view().contains(simulation.node(3).name, 1));
    assertHeals(simulation);
  }

  /**
   * One voter, then a majority, then all voters are down: the last view stays in force, and changes
   * again once the voters are back with their storage.
   */
  @Test
  void viewIsKeptWithoutMajorityAndChangesAfterRecovery() {
    ConsensusSimulation simulation = start(5, 3, 5);
    simulation.node(0).kill();
    simulation.node(3).kill();
    simulation.node(4).service.memberDied(simulation.node(3).name, 1);
    assertWithin(
        simulation,
        MINUTE,
        () -> !simulation.node(4).view().contains(simulation.node(3).name, 1),
        "two of three voters commit a view");
    simulation.node(1).kill();
    long before = simulation.node(4).view().number();
    simulation.node(4).service.memberDied(simulation.node(0).name, 1);
    simulation.run(MINUTE);
    assertEquals(before, simulation.node(4).view().number(), "one of three voters commits no view");
    simulation.node(2).kill();
    simulation.run(MINUTE);
    assertHeals(simulation);
    assertTrue(simulation.committedViews.lastKey() > before);
  }

  /**
   * A leader that was paused while another one committed a view must not keep its outdated view.
   */
  @Test
  void pausedLeaderReceivesNewerViewAfterResuming() {
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
        "another voter becomes leader and commits the removal");
    assertTrue(leader.view().contains(dead.name, 1));
    leader.resume();
    assertWithin(simulation, RECOVERY_TIMEOUT, () -> !leader.view().contains(dead.name, 1));
    assertHeals(simulation);
  }

  /** A gateway whose cluster name or voter list differs connects. */
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
            .logMessages
            .get(simulation.node(0).logMessages.size() - 1)
            .contains("message of another group rejected"));
  }

  @Test
  void forgetRemovesMemberOnceAndReportsResult() {
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

  /** Storage loses entries that it reported as durable; the other voters detect the loss. */
  @Test
  void voterThatLostAcknowledgedEntriesTakesNewIdentity() {
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
        faulty.logMessages.stream()
            .anyMatch(
                message ->
                    message.startsWith("voter started: voter=n1#")
                        && message.contains("decision=NEW_IDENTITY")),
        faulty.logMessages.toString());
    assertHeals(simulation);
  }

  /** A flipped bit in durable data is detected, and the log is replicated from the others. */
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
        faulty.logMessages.stream().anyMatch(message -> message.contains("voter log corrupt")),
        faulty.logMessages.toString());
    assertHeals(simulation);
  }

  /**
   * A majority that lost its storage must not silently found a new group: the view does not change
   * until an operator intervenes.
   */
  @Test
  void majorityThatLostStorageFoundsNoGroupAndLogsLoss() {
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
        simulation.node(0).logMessages.stream()
            .anyMatch(message -> message.contains("decision=NEW_IDENTITY")),
        simulation.node(0).logMessages.toString());
  }

  /** With the third log corrupt too, the empty logs must not be mistaken for a first start. */
  @Test
  void emptyMajorityAndCorruptLogFoundNoGroup() {
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
            .filter(name -> name.startsWith("log-"))
            .findFirst()
            .orElseThrow();
    byte[] bytes = node.directory.visibleBytes(log).clone();
    bytes[bytes.length / 3] ^= 4;
    node.directory.putDurable(log, bytes);
  }

  @Test
  void voterWithFailingStorageDoesNotVoteUntilItRecovers() {
    ConsensusSimulation simulation = start(3, 3, 12);
    ConsensusSimulation.Node faulty = simulation.node(1);
    faulty.directory.failForce = true;
    ConsensusSimulation.Node dead = simulation.node(0);
    dead.kill();
    simulation.run(Duration.ofSeconds(10));
    dead.start();
    simulation.run(Duration.ofSeconds(10));
    assertTrue(
        faulty.logMessages.stream().anyMatch(message -> message.contains("voter storage failed")),
        faulty.logMessages.toString());
    assertHeals(simulation);
  }

  /** Snapshots compact the log, and a voter that was down for a long time receives one. */
  @Test
  void snapshotsCompactLongLogs() {
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
        simulation.node(0).directory.fileNames().stream()
            .anyMatch(name -> name.startsWith("snapshot-")),
        simulation.node(0).directory.fileNames().toString());
    assertHeals(simulation);
  }

  // ---- Random faults

  private enum Fault {
    KILL,
    START,
    PAUSE,
    RESUME,
    PARTITION,
    MERGE_PARTITIONS,
    BLOCK_LINK,
    CHANGE_LINK_QUALITY,
    TOGGLE_LOST_WRITES,
    REPORT_DEAD
  }

  /** Faults to draw from; a repeated fault is more likely. */
  private static final List<Fault> WEIGHTED_FAULTS =
      List.of(
          Fault.KILL,
          Fault.KILL,
          Fault.START,
          Fault.START,
          Fault.START,
          Fault.PAUSE,
          Fault.RESUME,
          Fault.RESUME,
          Fault.PARTITION,
          Fault.MERGE_PARTITIONS,
          Fault.BLOCK_LINK,
          Fault.CHANGE_LINK_QUALITY,
          Fault.TOGGLE_LOST_WRITES,
          Fault.REPORT_DEAD);

  /**
   * Runs a simulation with random faults; the simulation asserts the invariants of views.
   *
   * @param trustStorage whether voters trust their storage, which may lose data
   */
  static ConsensusSimulation runWithRandomFaults(long seed, boolean trustStorage, int steps) {
    ConsensusSimulation simulation =
        new ConsensusSimulation(5 + (int) (seed % 3), seed % 2 == 0 ? 3 : 5, seed, trustStorage);
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
    switch (WEIGHTED_FAULTS.get(random.nextInt(WEIGHTED_FAULTS.size()))) {
      case KILL -> killIfAlive(node);
      case START -> startIfStopped(node);
      case PAUSE -> node.paused = node.alive;
      case RESUME -> resumeIfPaused(node);
      case PARTITION -> node.partition = random.nextInt(2);
      case MERGE_PARTITIONS -> simulation.allNodes.forEach(anyNode -> anyNode.partition = 0);
      case BLOCK_LINK -> simulation.blockedLinks.add(List.of(node, other));
      case CHANGE_LINK_QUALITY -> changeLinkQuality(simulation);
      case TOGGLE_LOST_WRITES -> faulty.directory.ignoreForce = !faulty.directory.ignoreForce;
      case REPORT_DEAD -> reportDead(node, other);
    }
  }

  private static void killIfAlive(ConsensusSimulation.Node node) {
    if (node.alive) {
      node.kill();
    }
  }

  private static void startIfStopped(ConsensusSimulation.Node node) {
    if (!node.alive) {
      node.start();
    }
  }

  private static void resumeIfPaused(ConsensusSimulation.Node node) {
    if (node.paused && node.alive) {
      node.resume();
    }
  }

  private static void changeLinkQuality(ConsensusSimulation simulation) {
    simulation.blockedLinks.clear();
    simulation.lossProbability = simulation.random.nextBoolean() ? 0.2 : 0;
    simulation.minDelayMillis = 1 + simulation.random.nextInt(100);
  }

  private static void reportDead(
      ConsensusSimulation.Node reporter, ConsensusSimulation.Node member) {
    if (!member.alive && reporter.alive && !reporter.paused) {
      reporter.service.memberDied(member.name, member.incarnation);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void viewsStayConsistentUnderRandomFaults(long seed) {
    ConsensusSimulation simulation = runWithRandomFaults(seed, false, 150);
    assertHeals(simulation);
    assertEquals(
        simulation.committedViews.lastKey(),
        simulation.node(0).view().number(),
        "a committed view was lost");
  }

  /**
   * Guards the checks themselves: with trusted storage that loses data, the same faults violate an
   * invariant, which the checks must detect.
   */
  @Test
  void checksDetectTrustedStorageThatLosesData() {
    int violations = 0;
    for (long seed = 1; seed <= 60 && violations == 0; seed++) {
      try {
        ConsensusSimulation simulation = runWithRandomFaults(seed, true, 150);
        simulation.heal();
        simulation.runUntil(MINUTE, simulation::allAgree);
        boolean viewLost = simulation.committedViews.lastKey() > simulation.node(0).view().number();
        violations += viewLost ? 1 : 0;
      } catch (AssertionError e) {
        violations++;
      }
    }
    assertTrue(violations > 0);
  }
}
