package weldcross.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FailureDetectorTest {

  private static final Duration MINUTE = Duration.ofMinutes(1);

  private static Duration seconds(long count) {
    return Duration.ofSeconds(count);
  }

  private static MembershipSimulation connected(int count, long seed) {
    MembershipSimulation simulation = new MembershipSimulation(count, seed);
    assertAllHold(simulation, Duration.ofMinutes(10), simulation.all, MemberState.ALIVE);
    return simulation;
  }

  /** Runs until all active gateways hold that state, and returns how long that took. */
  private static Duration assertAllHold(
      MembershipSimulation simulation,
      Duration max,
      List<MembershipSimulation.Node> members,
      MemberState state) {
    Optional<Duration> taken = simulation.runUntilAllHold(max, members, state);
    return taken.orElseThrow(() -> new AssertionError("not all " + state + " within " + max));
  }

  private static void assertShorter(Duration max, Duration taken) {
    assertTrue(taken.compareTo(max) < 0, taken + ", at most " + max);
  }

  /** Killed and paused are both unreachable: nothing tells them apart but proof. */
  @Test
  void unansweringMemberIsUnreachableAndOnlyProofMakesItDead() {
    MembershipSimulation simulation = connected(5, 1);
    MembershipSimulation.Node killed = simulation.all.get(1);
    MembershipSimulation.Node paused = simulation.all.get(2);
    killed.kill();
    paused.pause();
    assertAllHold(simulation, MINUTE, List.of(killed, paused), MemberState.UNREACHABLE);
    FailureDetector detector = simulation.all.get(0).detector;
    detector.onConnectionRefused(simulation.now, killed.name, 2);
    assertTrue(
        simulation.allHold(List.of(killed), MemberState.UNREACHABLE),
        "a connect begun under another incarnation proves nothing");
    detector.onConnectionRefused(simulation.now, killed.name, 1);
    assertAllHold(simulation, seconds(10), List.of(killed), MemberState.DEAD);
    assertTrue(simulation.allHold(List.of(paused), MemberState.UNREACHABLE));
    paused.resume();
    assertAllHold(simulation, seconds(10), List.of(paused), MemberState.ALIVE);
    killed.start();
    assertAllHold(simulation, seconds(20), simulation.all, MemberState.ALIVE);
    assertEquals(0, simulation.falselyUnreachable);
  }

  @Test
  void memberThatSaysGoodbyeIsDeadAtOnce() {
    MembershipSimulation simulation = connected(30, 2);
    MembershipSimulation.Node leaving = simulation.all.get(3);
    leaving.detector.leave();
    leaving.kill();
    assertShorter(
        seconds(6), assertAllHold(simulation, seconds(20), List.of(leaving), MemberState.DEAD));
  }

  private static boolean holdsPartitions(MembershipSimulation simulation) {
    for (MembershipSimulation.Node a : simulation.all) {
      for (MembershipSimulation.Node b : simulation.all) {
        MemberState expected =
            a.partition == b.partition ? MemberState.ALIVE : MemberState.UNREACHABLE;
        if (a != b && a.detector.stateOf(b.name) != expected) {
          return false;
        }
      }
    }
    return true;
  }

  @Test
  void partitionsHoldEachOtherUnreachableAndFindTogetherAgain() {
    MembershipSimulation simulation = connected(9, 3);
    simulation.all.subList(0, 4).forEach(node -> node.partition = 1);
    assertTrue(simulation.runUntil(MINUTE, () -> holdsPartitions(simulation)).isPresent());
    simulation.all.forEach(node -> node.partition = 0);
    assertShorter(
        seconds(15), assertAllHold(simulation, MINUTE, simulation.all, MemberState.ALIVE));
    assertEquals(0, simulation.falselyUnreachable);
  }

  /**
   * A gateway that is paused for two seconds of each three accuses nobody: it first reads what came
   * meanwhile.
   */
  @Test
  void slowGatewayDoesNotAccuseOthers() {
    MembershipSimulation simulation = connected(20, 4);
    MembershipSimulation.Node slow = simulation.all.get(0);
    long accused = 0;
    for (int k = 0; k < 100; k++) {
      slow.pause();
      simulation.run(seconds(2));
      slow.resume();
      simulation.run(seconds(1));
      accused +=
          slow.detector.members().stream()
              .filter(update -> update.state() == MemberState.UNREACHABLE)
              .count();
    }
    assertEquals(0, accused);
  }

  /** A third of all messages is lost, and each takes up to 0.2 s. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void badNetworkMakesFewFalselyUnreachableAndNobodyDead(long seed) {
    MembershipSimulation simulation = connected(20, seed);
    simulation.lossRate = 0.3;
    simulation.delayMillis = 100;
    simulation.run(Duration.ofMinutes(10));
    assertTrue(
        simulation.all.stream().anyMatch(node -> node.detector.healthScore() > 0),
        "who gets no answers suspects itself");
    double anHour = simulation.falselyUnreachable / 20.0 * 6;
    assertTrue(anHour < 12, simulation.falselyUnreachable + " in ten minutes of 20 gateways");
    simulation.lossRate = 0;
    simulation.delayMillis = 1;
    assertAllHold(simulation, MINUTE, simulation.all, MemberState.ALIVE);
  }

  /** An update takes rounds by the logarithm of the number of gateways. */
  @Test
  void messagesOfOneGatewayAreTheSameAtThirtyAndThreeHundred() {
    int[] counts = {30, 300};
    double[] messagesPerSecond = new double[2];
    for (int k = 0; k < counts.length; k++) {
      MembershipSimulation simulation = connected(counts[k], 5);
      long before = simulation.messagesSent;
      simulation.run(seconds(30));
      messagesPerSecond[k] = (simulation.messagesSent - before) / 30.0 / counts[k];
      MembershipSimulation.Node leaving = simulation.all.get(7);
      leaving.detector.leave();
      leaving.kill();
      assertShorter(
          seconds(12), assertAllHold(simulation, MINUTE, List.of(leaving), MemberState.DEAD));
    }
    assertEquals(messagesPerSecond[0], messagesPerSecond[1], 0.2);
  }

  /**
   * Restarts, pauses, partitions and losses at random: {@link MembershipSimulation} checks at each
   * step what must never be held.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void noRunningMemberIsEverHeldForDeadAndAllFindTogetherAgain(long seed) {
    MembershipSimulation simulation = connected(5 + (int) (seed % 4), seed);
    for (int step = 0; step < 400; step++) {
      randomStep(simulation);
      simulation.run(Duration.ofMillis(simulation.random.nextInt(3000)));
    }
    simulation.lossRate = 0;
    simulation.all.forEach(FailureDetectorTest::recover);
    assertAllHold(simulation, Duration.ofMinutes(2), simulation.all, MemberState.ALIVE);
  }

  private static void randomStep(MembershipSimulation simulation) {
    List<MembershipSimulation.Node> all = simulation.all;
    MembershipSimulation.Node node = all.get(simulation.random.nextInt(all.size()));
    switch (simulation.random.nextInt(9)) {
      case 0 -> {
        if (node.isActive()) {
          killAndPerhapsRefuse(simulation, node);
        }
      }
      case 1, 2 -> {
        if (!node.running) {
          node.start();
        }
      }
      case 3 -> {
        if (node.running) {
          node.pause();
        }
      }
      case 4, 5 -> {
        if (node.paused) {
          node.resume();
        }
      }
      case 6 -> node.partition = simulation.random.nextInt(2);
      case 7 -> simulation.lossRate = simulation.random.nextInt(3) * 0.2;
      default -> all.forEach(each -> each.partition = 0);
    }
  }

  /** Kills a gateway; another one may find that out by a refused connect. */
  private static void killAndPerhapsRefuse(
      MembershipSimulation simulation, MembershipSimulation.Node killed) {
    killed.kill();
    MembershipSimulation.Node other =
        simulation.all.get(simulation.random.nextInt(simulation.all.size()));
    if (other != killed && other.isActive() && simulation.random.nextBoolean()) {
      long known = simulation.random.nextLong(killed.incarnation) + 1;
      other.detector.onConnectionRefused(simulation.now, killed.name, known);
    }
  }

  private static void recover(MembershipSimulation.Node node) {
    node.partition = 0;
    if (!node.running) {
      node.start();
    } else if (node.paused) {
      node.resume();
    }
  }

  /**
   * All orders of seven steps of three gateways, one of which ends and starts again while another
   * connects to it.
   */
  @Test
  void inNoOrderIsAnIncarnationHeldForDeadThatHasNotEnded() {
    FailureDetectorExplorer explorer = new FailureDetectorExplorer(false);
    assertEquals(Optional.empty(), explorer.explore(7));
    assertTrue(explorer.states() > 5_000, explorer.states() + " states");
    assertTrue(
        new FailureDetectorExplorer(true).explore(7).isPresent(),
        "a refusal that counts for an incarnation it does not prove is found");
  }
}
