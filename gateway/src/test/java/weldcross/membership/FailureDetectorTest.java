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

  private static MembershipSimulation convergedSimulation(int count, long seed) {
    MembershipSimulation simulation = new MembershipSimulation(count, seed);
    assertAllObserve(simulation, Duration.ofMinutes(10), simulation.nodes, MemberState.ALIVE);
    return simulation;
  }

  /** Runs until all active gateways observe the state, and returns the time taken. */
  private static Duration assertAllObserve(
      MembershipSimulation simulation,
      Duration max,
      List<MembershipSimulation.Node> members,
      MemberState state) {
    Optional<Duration> taken = simulation.runUntilAllObserve(max, members, state);
    return taken.orElseThrow(
        () -> new AssertionError("not observed as " + state + " by all within " + max));
  }

  private static void assertLessThan(Duration max, Duration taken) {
    assertTrue(taken.compareTo(max) < 0, taken + ", expected less than " + max);
  }

  /** A killed and a paused process cannot be told apart without proof that one has ended. */
  @Test
  void unresponsiveMemberIsUnreachableUntilProvenDead() {
    MembershipSimulation simulation = convergedSimulation(5, 1);
    MembershipSimulation.Node killed = simulation.nodes.get(1);
    MembershipSimulation.Node paused = simulation.nodes.get(2);
    killed.kill();
    paused.pause();
    assertAllObserve(simulation, MINUTE, List.of(killed, paused), MemberState.UNREACHABLE);
    FailureDetector detector = simulation.nodes.get(0).detector;
    detector.onConnectionRefused(simulation.now, killed.name, 2);
    assertTrue(
        simulation.allObserve(List.of(killed), MemberState.UNREACHABLE),
        "a connection attempt to another incarnation proves nothing");
    detector.onConnectionRefused(simulation.now, killed.name, 1);
    assertAllObserve(simulation, seconds(10), List.of(killed), MemberState.DEAD);
    assertTrue(simulation.allObserve(List.of(paused), MemberState.UNREACHABLE));
    paused.resume();
    assertAllObserve(simulation, seconds(10), List.of(paused), MemberState.ALIVE);
    killed.start();
    assertAllObserve(simulation, seconds(20), simulation.nodes, MemberState.ALIVE);
    assertEquals(0, simulation.falsePositives);
  }

  @Test
  void gracefulLeaveIsDetectedAsDeadWithinSeconds() {
    MembershipSimulation simulation = convergedSimulation(30, 2);
    MembershipSimulation.Node leaving = simulation.nodes.get(3);
    leaving.detector.leave();
    leaving.kill();
    assertLessThan(
        seconds(6), assertAllObserve(simulation, seconds(20), List.of(leaving), MemberState.DEAD));
  }

  private static boolean observesPartitions(MembershipSimulation simulation) {
    for (MembershipSimulation.Node a : simulation.nodes) {
      for (MembershipSimulation.Node b : simulation.nodes) {
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
  void partitionsObserveEachOtherUnreachableAndMergeAfterHealing() {
    MembershipSimulation simulation = convergedSimulation(9, 3);
    simulation.nodes.subList(0, 4).forEach(node -> node.partition = 1);
    assertTrue(simulation.runUntil(MINUTE, () -> observesPartitions(simulation)).isPresent());
    simulation.nodes.forEach(node -> node.partition = 0);
    assertLessThan(
        seconds(15), assertAllObserve(simulation, MINUTE, simulation.nodes, MemberState.ALIVE));
    assertEquals(0, simulation.falsePositives);
  }

  /**
   * A gateway that is paused for two of every three seconds must process the messages received
   * during a pause before it declares any member unreachable.
   */
  @Test
  void intermittentlyPausedGatewayDeclaresNoMemberUnreachable() {
    MembershipSimulation simulation = convergedSimulation(20, 4);
    MembershipSimulation.Node paused = simulation.nodes.get(0);
    long unreachableCount = 0;
    for (int k = 0; k < 100; k++) {
      paused.pause();
      simulation.run(seconds(2));
      paused.resume();
      simulation.run(seconds(1));
      unreachableCount +=
          paused.detector.members().stream()
              .filter(update -> update.state() == MemberState.UNREACHABLE)
              .count();
    }
    assertEquals(0, unreachableCount);
  }

  /** 30 % of all messages are lost, and each takes 100 to 200 ms. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void lossyNetworkCausesFewFalsePositivesAndNoDeadMembers(long seed) {
    MembershipSimulation simulation = convergedSimulation(20, seed);
    simulation.lossRate = 0.3;
    simulation.delayMillis = 100;
    simulation.run(Duration.ofMinutes(10));
    assertTrue(
        simulation.nodes.stream().anyMatch(node -> node.detector.healthScore() > 0),
        "a gateway without responses has a non-zero health score");
    double perGatewayHour = simulation.falsePositives / 20.0 * 6;
    assertTrue(
        perGatewayHour < 12,
        simulation.falsePositives + " false positives in ten minutes with 20 gateways");
    simulation.lossRate = 0;
    simulation.delayMillis = 1;
    assertAllObserve(simulation, MINUTE, simulation.nodes, MemberState.ALIVE);
  }

  /** An update spreads in a number of rounds logarithmic in the number of gateways. */
  @Test
  void messageRatePerGatewayIsIndependentOfClusterSize() {
    int[] counts = {30, 300};
    double[] messagesPerSecond = new double[2];
    for (int k = 0; k < counts.length; k++) {
      MembershipSimulation simulation = convergedSimulation(counts[k], 5);
      long before = simulation.messagesSent;
      simulation.run(seconds(30));
      messagesPerSecond[k] = (simulation.messagesSent - before) / 30.0 / counts[k];
      MembershipSimulation.Node leaving = simulation.nodes.get(7);
      leaving.detector.leave();
      leaving.kill();
      assertLessThan(
          seconds(12), assertAllObserve(simulation, MINUTE, List.of(leaving), MemberState.DEAD));
    }
    assertEquals(messagesPerSecond[0], messagesPerSecond[1], 0.2);
  }

  /**
   * Random restarts, pauses, partitions and message loss; {@link MembershipSimulation} checks the
   * safety properties at each state change.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void runningMemberIsNeverDeclaredDeadAndClusterReconverges(long seed) {
    MembershipSimulation simulation = convergedSimulation(5 + (int) (seed % 4), seed);
    for (int step = 0; step < 400; step++) {
      randomStep(simulation);
      simulation.run(Duration.ofMillis(simulation.random.nextInt(3000)));
    }
    simulation.lossRate = 0;
    simulation.nodes.forEach(FailureDetectorTest::recover);
    assertAllObserve(simulation, Duration.ofMinutes(2), simulation.nodes, MemberState.ALIVE);
  }

  private static void randomStep(MembershipSimulation simulation) {
    List<MembershipSimulation.Node> all = simulation.nodes;
    MembershipSimulation.Node node = all.get(simulation.random.nextInt(all.size()));
    switch (simulation.random.nextInt(9)) {
      case 0 -> {
        if (node.isActive()) {
          killAndMaybeReportRefusal(simulation, node);
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

  /** Kills a gateway; another one may detect that through a refused connection. */
  private static void killAndMaybeReportRefusal(
      MembershipSimulation simulation, MembershipSimulation.Node killed) {
    killed.kill();
    MembershipSimulation.Node other =
        simulation.nodes.get(simulation.random.nextInt(simulation.nodes.size()));
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
   * Explores all orders of seven steps of three gateways, one of which restarts while another
   * connects to it. A refused connection proves the end only of the incarnation known before the
   * attempt; crediting it to a later one would declare a running gateway dead.
   */
  @Test
  void noEventOrderDeclaresARunningIncarnationDead() {
    FailureDetectorExplorer explorer = new FailureDetectorExplorer(false);
    assertEquals(Optional.empty(), explorer.explore(7));
    assertTrue(explorer.stateCount() > 5_000, explorer.stateCount() + " states");
    assertTrue(
        new FailureDetectorExplorer(true).explore(7).isPresent(),
        "the exploration finds the injected bug");
  }
}
