package weldcross.consensus.net;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.logging.LogManager;

/**
 * Runs the random faults of {@link ConsensusTest} with many seeds; started manually. Prints each
 * seed that violates an invariant, and the time that gateways took to agree after all faults were
 * removed. Exits with status 1 if an invariant was violated.
 */
final class ConsensusSweep {

  private static final Duration TIMEOUT = Duration.ofMinutes(5);

  private ConsensusSweep() {}

  /**
   * Runs the sweep.
   *
   * @param args first seed, last seed and number of steps per seed; a fourth argument, "trusted",
   *     makes voters trust storage that loses data
   */
  public static void main(String[] args) {
    LogManager.getLogManager().reset();
    List<Duration> agreementTimes = new ArrayList<>();
    int violations = 0;
    for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
      try {
        ConsensusSimulation simulation =
            ConsensusTest.runWithRandomFaults(seed, args.length > 3, Integer.parseInt(args[2]));
        simulation.heal();
        Optional<Duration> agreementTime = simulation.runUntil(TIMEOUT, simulation::allAgree);
        if (agreementTime.isEmpty()) {
          throw new AssertionError("gateways do not agree: " + simulation.describe());
        }
        long last = simulation.committedViews.lastKey();
        if (last > simulation.node(0).view().number()) {
          throw new AssertionError("committed view " + last + " was lost");
        }
        agreementTimes.add(agreementTime.get());
      } catch (AssertionError | RuntimeException e) {
        violations++;
        System.out.println("seed " + seed + ": " + e);
      }
    }
    Collections.sort(agreementTimes);
    System.out.println(
        agreementTimes.size()
            + " seeds passed, "
            + violations
            + " violated an invariant; time to agreement after healing: median "
            + agreementTimes.get(agreementTimes.size() / 2).toMillis()
            + " ms, 99th percentile "
            + agreementTimes.get(agreementTimes.size() * 99 / 100).toMillis()
            + " ms, maximum "
            + agreementTimes.get(agreementTimes.size() - 1).toMillis()
            + " ms");
    System.exit(violations > 0 ? 1 : 0);
  }
}
