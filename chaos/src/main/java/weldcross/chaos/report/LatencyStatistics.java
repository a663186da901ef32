package weldcross.chaos.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import weldcross.chaos.ChaosRun;
import weldcross.chaos.history.History;
import weldcross.chaos.history.HistoryChecker;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.Method;

/**
 * What a trial's evidence comes to: counts by second, gateway and cause, and times by method. Pure.
 */
public final class LatencyStatistics {

  /** RPCs sent in one second, or at one gateway, by what became of them. */
  public static final class Count {
    private int served, pushedBack, aborted, lost;

    void add(ClientOperation.ClientOutcome outcome) {
      switch (outcome) {
        case OK -> served++;
        case PUSHED_BACK -> pushedBack++;
        case ABORTED -> aborted++;
        default -> lost++;
      }
    }

    public int getServed() {
      return served;
    }

    public int getPushedBack() {
      return pushedBack;
    }

    public int getAborted() {
      return aborted;
    }

    public int getLost() {
      return lost;
    }

    public int getAll() {
      return served + pushedBack + aborted + lost;
    }
  }

  /** Times of served RPCs of one method, in milliseconds. */
  public record Times(
      String method, long count, double median, double p99, double worst, double inSoft) {

    public String getMethod() {
      return method;
    }

    public long getCount() {
      return count;
    }

    public double getMedian() {
      return median;
    }

    public double getP99() {
      return p99;
    }

    public double getWorst() {
      return worst;
    }

    public double getInSoft() {
      return inSoft;
    }
  }

  private final List<Count> seconds = new ArrayList<>();
  private final Map<String, Count> gateways = new TreeMap<>();

  /** By what explains them, or that nothing does. */
  private final Map<String, Count> causes = new LinkedHashMap<>();

  private final List<Times> times = new ArrayList<>();
  private final Count total = new Count();
  private final String agreement;

  public LatencyStatistics(ChaosRun.Result trial) {
    History evidence = trial.evidence();
    long views = evidence.views().stream().mapToLong(History.Held::number).max().orElse(0);
    agreement =
        evidence.agreedAfter() == null
            ? ""
            : views
                + " views agreed on; all held one of all of them "
                + evidence.agreedAfter()
                + " ms after the last trouble";
    Map<Method, Histogram> histograms = new TreeMap<>();
    Map<Method, Integer> soft = new TreeMap<>();
    for (int k = 0; k < trial.played().lasting().toSeconds(); k++) {
      seconds.add(new Count());
    }
    for (ClientOperation each : evidence.asked()) {
      int second = (int) (Math.max(0, each.sent()) / 1_000_000_000L);
      if (second < seconds.size()) {
        seconds.get(second).add(each.outcome());
      }
      total.add(each.outcome());
      gateways.computeIfAbsent(each.gateway(), g -> new Count()).add(each.outcome());
      if (each.outcome() == ClientOperation.ClientOutcome.OK) {
        histograms
            .computeIfAbsent(each.method(), m -> new Histogram(60_000_000L, 3))
            .recordValue(Math.max(0, Math.min(60_000_000L, each.took() / 1000)));
        soft.merge(
            each.method(), each.took() <= each.method().soft.toNanos() ? 1 : 0, Integer::sum);
      } else {
        String cause = HistoryChecker.cause(evidence, each);
        causes
            .computeIfAbsent(cause == null ? "no trouble near" : cause, c -> new Count())
            .add(each.outcome());
      }
    }
    histograms.forEach(
        (method, h) ->
            times.add(
                new Times(
                    method.word,
                    h.getTotalCount(),
                    h.getValueAtPercentile(50) / 1000.0,
                    h.getValueAtPercentile(99) / 1000.0,
                    h.getMaxValue() / 1000.0,
                    (double) soft.get(method) / h.getTotalCount())));
  }

  public List<Count> getSeconds() {
    return seconds;
  }

  public Map<String, Count> getGateways() {
    return gateways;
  }

  public Map<String, Count> getCauses() {
    return causes;
  }

  public List<Times> getTimes() {
    return times;
  }

  /** Empty where nothing was to be agreed. */
  public String getAgreement() {
    return agreement;
  }

  public Count getTotal() {
    return total;
  }

  /** Lines for a terminal. */
  public String describe() {
    StringBuilder words = new StringBuilder(line("all", total));
    gateways.forEach((name, count) -> words.append('\n').append(line(name, count)));
    causes.forEach((cause, count) -> words.append('\n').append(line("near " + cause, count)));
    times.forEach(
        t ->
            words
                .append('\n')
                .append(
                    String.format(
                        "%-8s %6d served, median %.1f ms, p99 %.1f ms, worst %.0f ms, %.3f within the soft deadline",
                        t.method(), t.count(), t.median(), t.p99(), t.worst(), t.inSoft())));
    return words.append(agreement.isEmpty() ? "" : "\n" + agreement).toString();
  }

  private static String line(String name, Count c) {
    return String.format(
        "%-40s %6d RPCs: %d served, %d pushed back, %d aborted, %d lost",
        name, c.getAll(), c.getServed(), c.getPushedBack(), c.getAborted(), c.getLost());
  }
}
