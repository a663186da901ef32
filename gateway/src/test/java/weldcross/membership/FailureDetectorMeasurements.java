package weldcross.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Figures of {@link FailureDetector} in memory, run by hand (docs/membership.md): what a gateway
 * sends, how soon one that was killed is silent to all, how soon a goodbye is known to all, the
 * same after seven in ten die, and who is falsely held silent on bad links.
 */
final class FailureDetectorMeasurements {

  private static final Duration MOST = Duration.ofMinutes(20);
  private static final int SEEDS = 5;

  private FailureDetectorMeasurements() {}

  public static void main(String[] args) {
    for (int count : new int[] {5, 30, 100, 300, 1000}) {
      size(count, count >= 300 ? 2 : SEEDS);
    }
    for (double loss : new double[] {0, 0.1, 0.3}) {
      long falsely = 0;
      Duration span = Duration.ofMinutes(20);
      for (long seed = 1; seed <= SEEDS; seed++) {
        MembershipSimulation w = new MembershipSimulation(30, seed);
        w.until(MOST, () -> w.hold(w.all, MemberState.ALIVE));
        w.loss = loss;
        w.delay = loss > 0 ? 100 : 1;
        w.run(span);
        falsely += w.falselyUnreachable;
      }
      System.out.printf(
          "30 gateways, %.0f%% of messages lost, %s: %.3f falsely held silent a gateway hour%n",
          loss * 100,
          loss > 0 ? "100 to 200 ms each" : "1 to 2 ms each",
          falsely * 3.0 / SEEDS / 30);
    }
  }

  private static void size(int count, int seeds) {
    List<Double> silent = new ArrayList<>();
    List<Double> goodbye = new ArrayList<>();
    List<Double> wave = new ArrayList<>();
    double sent = 0;
    double bytes = 0;
    for (long seed = 1; seed <= seeds; seed++) {
      MembershipSimulation w = new MembershipSimulation(count, seed);
      w.until(MOST, () -> w.hold(w.all, MemberState.ALIVE));
      w.run(Duration.ofSeconds(30));
      long messages = w.messages;
      long before = w.bytes;
      w.run(Duration.ofSeconds(30));
      sent += (w.messages - messages) / 30.0 / count / seeds;
      bytes += (w.bytes - before) / 30.0 / count / seeds;
      w.all.get(0).detector.leave();
      w.all.get(0).kill();
      goodbye.add(took(w, List.of(w.all.get(0)), MemberState.DEAD));
      w.all.get(1).kill();
      silent.add(took(w, List.of(w.all.get(1)), MemberState.UNREACHABLE));
      List<MembershipSimulation.Node> most = w.all.subList(2, 2 + (count - 2) * 7 / 10);
      most.forEach(MembershipSimulation.Node::kill);
      wave.add(took(w, most, MemberState.UNREACHABLE));
    }
    System.out.printf(
        "%d gateways: %.1f messages and %.0f bytes sent a gateway second; goodbye known to all after %s s, "
            + "a killed one silent to all after %s s, seven in ten killed silent to all after %s s%n",
        count, sent, bytes, goodbye, silent, wave);
  }

  private static double took(
      MembershipSimulation w, List<MembershipSimulation.Node> these, MemberState finding) {
    Duration took = w.until(MOST, () -> w.hold(these, finding));
    return took == null ? Double.NaN : took.toMillis() / 1000.0;
  }
}
