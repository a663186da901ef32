package weldcross.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Measures {@link FailureDetector} in a simulated cluster; run manually (see docs/membership.md).
 * Reports the messages sent per gateway, the time until all gateways observe a graceful leave, a
 * killed member and the loss of 70 % of the members, and the rate of false positives on lossy
 * networks.
 */
final class FailureDetectorMeasurements {

  private static final Duration MAX_WAIT = Duration.ofMinutes(20);
  private static final int SEEDS = 5;
  private static final int SEEDS_FOR_LARGE_CLUSTERS = 2;
  private static final int LARGE_CLUSTER_SIZE = 300;
  private static final int MEASURED_SECONDS = 30;

  private FailureDetectorMeasurements() {}

  public static void main(String[] args) {
    for (int count : new int[] {5, 30, 100, 300, 1000}) {
      measureCluster(count, count >= LARGE_CLUSTER_SIZE ? SEEDS_FOR_LARGE_CLUSTERS : SEEDS);
    }
    for (double lossRate : new double[] {0, 0.1, 0.3}) {
      measureFalsePositives(lossRate);
    }
  }

  private static MembershipSimulation convergedSimulation(int count, long seed) {
    MembershipSimulation simulation = new MembershipSimulation(count, seed);
    simulation.runUntilAllObserve(MAX_WAIT, simulation.nodes, MemberState.ALIVE);
    return simulation;
  }

  private static void measureFalsePositives(double lossRate) {
    long falsePositives = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      MembershipSimulation simulation = convergedSimulation(30, seed);
      simulation.lossRate = lossRate;
      simulation.delayMillis = lossRate > 0 ? 100 : 1;
      simulation.run(Duration.ofMinutes(20));
      falsePositives += simulation.falsePositives;
    }
    System.out.printf(
        "30 gateways, %.0f%% of messages lost, %s: %.3f false positives per gateway hour%n",
        lossRate * 100,
        lossRate > 0 ? "delay 100 to 200 ms" : "delay 1 to 2 ms",
        falsePositives * 3.0 / SEEDS / 30);
  }

  private static void measureCluster(int count, int seeds) {
    List<Double> killSeconds = new ArrayList<>();
    List<Double> leaveSeconds = new ArrayList<>();
    List<Double> majorityKillSeconds = new ArrayList<>();
    double messageRate = 0;
    double byteRate = 0;
    for (long seed = 1; seed <= seeds; seed++) {
      MembershipSimulation simulation = convergedSimulation(count, seed);
      simulation.run(Duration.ofSeconds(MEASURED_SECONDS));
      long messagesBefore = simulation.messagesSent;
      long bytesBefore = simulation.bytesSent;
      simulation.run(Duration.ofSeconds(MEASURED_SECONDS));
      messageRate +=
          (simulation.messagesSent - messagesBefore) / (double) MEASURED_SECONDS / count / seeds;
      byteRate += (simulation.bytesSent - bytesBefore) / (double) MEASURED_SECONDS / count / seeds;
      List<MembershipSimulation.Node> nodes = simulation.nodes;
      nodes.get(0).detector.leave();
      nodes.get(0).kill();
      leaveSeconds.add(secondsUntil(simulation, nodes.subList(0, 1), MemberState.DEAD));
      nodes.get(1).kill();
      killSeconds.add(secondsUntil(simulation, nodes.subList(1, 2), MemberState.UNREACHABLE));
      List<MembershipSimulation.Node> majority = nodes.subList(2, 2 + (count - 2) * 7 / 10);
      majority.forEach(MembershipSimulation.Node::kill);
      majorityKillSeconds.add(secondsUntil(simulation, majority, MemberState.UNREACHABLE));
    }
    System.out.printf(
        "%d gateways: %.1f messages/s and %.0f bytes/s sent per gateway; "
            + "leave observed by all after %s s, killed member unreachable to all after %s s, "
            + "70%% of members killed and unreachable to all after %s s%n",
        count, messageRate, byteRate, leaveSeconds, killSeconds, majorityKillSeconds);
  }

  private static double secondsUntil(
      MembershipSimulation simulation, List<MembershipSimulation.Node> members, MemberState state) {
    Optional<Duration> taken = simulation.runUntilAllObserve(MAX_WAIT, members, state);
    return taken.map(Duration::toMillis).map(millis -> millis / 1000.0).orElse(Double.NaN);
  }
}
