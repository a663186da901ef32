package weldcross.consensus.net;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Random troubles of {@link ConsensusTest} over many seeds, run by hand: prints each seed that
 * breaks a rule, and how long gateways took to agree once all was healed. Ends with 1 at a breach.
 */
final class ConsensusSweep {

  private static final Duration MOST = Duration.ofMinutes(5);

  private ConsensusSweep() {}

  /**
   * Arguments: the first seed, the last, steps each; and "trusted" to have disks trusted that lie.
   */
  public static void main(String[] args) {
    java.util.logging.LogManager.getLogManager().reset();
    List<Duration> took = new ArrayList<>();
    int broken = 0;
    for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
      try {
        ConsensusSimulation w =
            ConsensusTest.random(seed, args.length > 3, Integer.parseInt(args[2]));
        w.heal();
        Duration agreed = w.until(MOST, w::agree);
        if (agreed == null) {
          throw new AssertionError(
              "not agreed: "
                  + w.all.stream()
                      .map(
                          n ->
                              n.name
                                  + " "
                                  + n.agreement.agreed().describe(w.now)
                                  + (n.agreement.voter() == null
                                      ? ""
                                      : " " + n.agreement.voter().describe()))
                      .toList());
        }
        if (w.agreedOn.lastKey() > w.all.get(0).view().number()) {
          throw new AssertionError("view " + w.agreedOn.lastKey() + " was lost");
        }
        took.add(agreed);
      } catch (AssertionError | RuntimeException e) {
        broken++;
        System.out.println("seed " + seed + ": " + e);
      }
    }
    Collections.sort(took);
    System.out.println(
        took.size()
            + " seeds kept the rules, "
            + broken
            + " broke one; agreed after healing: median "
            + took.get(took.size() / 2).toMillis()
            + " ms, 99 in 100 within "
            + took.get(took.size() * 99 / 100).toMillis()
            + " ms, worst "
            + took.get(took.size() - 1).toMillis()
            + " ms");
    System.exit(broken > 0 ? 1 : 0);
  }
}
