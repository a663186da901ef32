package weldcross.consensus.net;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.logging.LogManager;

/**
 * Runs the random faults of {@link ConsensusTest} over many seeds, by hand: prints each seed that
 * breaks a rule, and how long gateways took to agree once all faults had ended. Exits with 1 where
 * a rule was broken.
 */
final class ConsensusSweep {

  private static final Duration TIMEOUT = Duration.ofMinutes(5);

  private ConsensusSweep() {}

  /**
   * Runs the sweep.
   *
   * @param args the first seed, the last, the steps of each; and "trusted" to have voters trust
   *     storage that loses data
   */
  public static void main(String[] args) {
    LogManager.getLogManager().reset();
    List<Duration> durations = new ArrayList<>();
    int broken = 0;
    for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
      try {
        ConsensusSimulation simulation =
            ConsensusTest.random(seed, args.length > 3, Integer.parseInt(args[2]));
        simulation.heal();
        Optional<Duration> agreed = simulation.runUntil(TIMEOUT, simulation::allAgree);
        if (agreed.isEmpty()) {
          throw new AssertionError("not agreed: " + simulation.describe());
        }
        long last = simulation.committedViews.lastKey();
        if (last > simulation.node(0).view().number()) {
          throw new AssertionError("view " + last + " was lost");
        }
        durations.add(agreed.get());
      } catch (AssertionError | RuntimeException e) {
        broken++;
        System.out.println("seed " + seed + ": " + e);
      }
    }
    Collections.sort(durations);
    System.out.println(
        durations.size()
            + " seeds kept the rules, "
            + broken
            + " broke one; agreed after healing: median "
            + durations.get(durations.size() / 2).toMillis()
            + " ms, 99 in 100 within "
            + durations.get(durations.size() * 99 / 100).toMillis()
            + " ms, worst "
            + durations.get(durations.size() - 1).toMillis()
            + " ms");
    System.exit(broken > 0 ? 1 : 0);
  }
}
