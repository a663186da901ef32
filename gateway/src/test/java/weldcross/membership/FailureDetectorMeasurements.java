package weldcross.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Figures of {@link FailureDetector} in memory, run by hand (docs/membership.md): what a gateway
 * sends, how soon a killed one is unreachable to all, how soon a goodbye is known to all, the same
 * after seven in ten die, and how many are falsely held unreachable on bad networks.
 */
final class FailureDetectorMeasurements {

  private static final Duration MAX = Duration.ofMinutes(20);
  private static final int SEEDS = 5;
  private static final int SEEDS_OF_LARGE_CLUSTERS = 2;
  private static final int LARGE = 300;
  private static final int SECONDS = 30;

  private FailureDetectorMeasurements() {}

  public static void main(String[] args) {
    for (int count : new int[] {5, 30, 100, 300, 1000}) {
      measureCluster(count, count >= LARGE ? SEEDS_OF_LARGE_CLUSTERS : SEEDS);
    }
    for (double lossRate : new double[] {0, 0.1, 0.3}) {
      measureFalsePositives(lossRate);
    }
  }

  private static MembershipSimulation connected(int count, long seed) {
    MembershipSimulation simulation = new MembershipSimulation(count, seed);
    simulation.runUntilAllHold(MAX, simulation.all, MemberState.ALIVE);
    return simulation;
  }

  private static void measureFalsePositives(double lossRate) {
    long falsely = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      MembershipSimulation simulation = connected(30, seed);
      simulation.lossRate = lossRate;
      simulation.delayMillis = lossRate > 0 ? 100 : 1;
      simulation.run(Duration.ofMinutes(20));
      falsely += simulation.falselyUnreachable;
    }
    System.out.printf(
        "30 gateways, %.0f%% of messages lost, %s: "
            + "%.3f falsely held unreachable a gateway hour%n",
        lossRate * 100,
        lossRate > 0 ? "100 to 200 ms each" : "1 to 2 ms each",
        falsely * 3.0 / SEEDS / 30);
  }

  private static void measureCluster(int count, int seeds) {
    List<Double> killed = new ArrayList<>();
    List<Double> goodbye = new ArrayList<>();
    List<Double> most = new ArrayList<>();
    double messages = 0;
    double bytes = 0;
    for (long seed = 1; seed <= seeds; seed++) {
      MembershipSimulation simulation = connected(count, seed);
      simulation.run(Duration.ofSeconds(SECONDS));
      long messagesBefore = simulation.messagesSent;
      long bytesBefore = simulation.bytesSent;
      simulation.run(Duration.ofSeconds(SECONDS));
      messages += (simulation.messagesSent - messagesBefore) / (double) SECONDS / count / seeds;
      bytes += (simulation.bytesSent - bytesBefore) / (double) SECONDS / count / seeds;
      List<MembershipSimulation.Node> nodes = simulation.all;
      nodes.get(0).detector.leave();
      nodes.get(0).kill();
      goodbye.add(secondsUntil(simulation, nodes.subList(0, 1), MemberState.DEAD));
      nodes.get(1).kill();
      killed.add(secondsUntil(simulation, nodes.subList(1, 2), MemberState.UNREACHABLE));
      List<MembershipSimulation.Node> sevenInTen = nodes.subList(2, 2 + (count - 2) * 7 / 10);
      sevenInTen.forEach(MembershipSimulation.Node::kill);
      most.add(secondsUntil(simulation, sevenInTen, MemberState.UNREACHABLE));
    }
    System.out.printf(
        "%d gateways: %.1f messages and %.0f bytes sent a gateway second; "
            + "goodbye known to all after %s s, a killed one unreachable to all after %s s, "
            + "seven in ten killed unreachable to all after %s s%n",
        count, messages, bytes, goodbye, killed, most);
  }

  private static double secondsUntil(
      MembershipSimulation simulation, List<MembershipSimulation.Node> members, MemberState state) {
    Optional<Duration> taken = simulation.runUntilAllHold(MAX, members, state);
    return taken.map(Duration::toMillis).map(millis -> millis / 1000.0).orElse(Double.NaN);
  }
}
