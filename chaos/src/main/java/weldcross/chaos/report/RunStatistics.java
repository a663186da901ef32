package weldcross.chaos.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import weldcross.chaos.history.ChaosRunResult;
import weldcross.chaos.history.History;
import weldcross.chaos.history.HistoryChecker;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.RequestType;

/**
 * Statistics of a run: outcomes by second, gateway and fault, and latencies by request class.
 * Getters follow the JavaBeans convention, because the report template accesses them as properties.
 */
public final class RunStatistics {

  private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(1);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1000.0;

  /** Number of requests by outcome. */
  public static final class OutcomeCounts {
    private int served;
    private int rejected;
    private int failed;
    private int lost;

    void add(ClientOperation.Outcome outcome) {
      switch (outcome) {
        case OK -> served++;
        case REJECTED -> rejected++;
        case FAILED -> failed++;
        case NOT_SENT, CONNECTION_CLOSED, TIMED_OUT -> lost++;
      }
    }

    /**
     * Returns how many requests were served.
     *
     * @return number of requests
     */
    public int getServed() {
      return served;
    }

    /**
     * Returns how many requests were rejected, which means without effect.
     *
     * @return number of requests
     */
    public int getRejected() {
      return rejected;
    }

    /**
     * Returns how many requests failed and may have taken effect.
     *
     * @return number of requests
     */
    public int getFailed() {
      return failed;
    }

    /**
     * Returns how many requests got no answer.
     *
     * @return number of requests
     */
    public int getLost() {
      return lost;
    }

    /**
     * Returns the total.
     *
     * @return number of requests
     */
    public int getAll() {
      return served + rejected + failed + lost;
    }
  }

  /** Latencies of the served requests of one class, in milliseconds. */
  public static final class Latencies {
    private final String requestClass;
    private final Histogram micros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private int withinObjective;

    Latencies(String requestClass) {
      this.requestClass = requestClass;
    }

    void add(ClientOperation operation) {
      long latency = TimeUnit.NANOSECONDS.toMicros(operation.durationNanos());
      micros.recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, latency)));
      boolean within = operation.durationNanos() <= operation.type().latencyObjective().toNanos();
      withinObjective += within ? 1 : 0;
    }

    /**
     * Returns the request class.
     *
     * @return name of the class in the settings
     */
    public String getRequestClass() {
      return requestClass;
    }

    /**
     * Returns how many requests were served.
     *
     * @return number of requests
     */
    public long getCount() {
      return micros.getTotalCount();
    }

    /**
     * Returns the median latency.
     *
     * @return milliseconds
     */
    public double getMedian() {
      return micros.getValueAtPercentile(50) / MICROS_PER_MILLI;
    }

    /**
     * Returns the 99th percentile of the latency.
     *
     * @return milliseconds
     */
    public double getP99() {
      return micros.getValueAtPercentile(99) / MICROS_PER_MILLI;
    }

    /**
     * Returns the maximum latency.
     *
     * @return milliseconds
     */
    public double getMax() {
      return micros.getMaxValue() / MICROS_PER_MILLI;
    }

    /**
     * Returns the ratio of requests that were served within the latency objective.
     *
     * @return 0 to 1
     */
    public double getWithinObjective() {
      return (double) withinObjective / micros.getTotalCount();
    }
  }

  private final List<OutcomeCounts> seconds = new ArrayList<>();
  private final Map<String, OutcomeCounts> gateways = new TreeMap<>();
  private final Map<String, OutcomeCounts> causes = new LinkedHashMap<>();
  private final Map<RequestType, Latencies> latencies = new TreeMap<>();
  private final OutcomeCounts total = new OutcomeCounts();
  private final String consensus;

  /**
   * Computes the statistics of a run.
   *
   * @param result the result of the run
   */
  public RunStatistics(ChaosRunResult result) {
    History history = result.history();
    consensus = describeConsensus(history);
    for (int second = 0; second < result.scenario().duration().toSeconds(); second++) {
      seconds.add(new OutcomeCounts());
    }
    for (ClientOperation operation : history.operations()) {
      count(history, operation);
    }
  }

  private static String describeConsensus(History history) {
    if (history.convergedAfterMillis() == null) {
      return "";
    }
    long views = history.views().stream().mapToLong(History.ReportedView::number).max().orElse(0);
    return views
        + " membership views; all gateways converged "
        + history.convergedAfterMillis()
        + " ms after the last fault";
  }

  private void count(History history, ClientOperation operation) {
    int second = (int) TimeUnit.NANOSECONDS.toSeconds(Math.max(0, operation.sent()));
    if (second < seconds.size()) {
      seconds.get(second).add(operation.outcome());
    }
    total.add(operation.outcome());
    count(gateways, operation.gateway(), operation);
    if (operation.outcome() == ClientOperation.Outcome.OK) {
      latencies
          .computeIfAbsent(operation.type(), type -> new Latencies(type.className()))
          .add(operation);
    } else {
      String cause = HistoryChecker.likelyCause(history, operation).orElse("unknown");
      count(causes, cause, operation);
    }
  }

  private static void count(
      Map<String, OutcomeCounts> counts, String key, ClientOperation operation) {
    counts.computeIfAbsent(key, name -> new OutcomeCounts()).add(operation.outcome());
  }

  /**
   * Returns the outcomes by the second in which requests were sent.
   *
   * @return one entry for each second of the run
   */
  public List<OutcomeCounts> getSeconds() {
    return seconds;
  }

  /**
   * Returns the outcomes by gateway.
   *
   * @return the outcomes by gateway name
   */
  public Map<String, OutcomeCounts> getGateways() {
    return gateways;
  }

  /**
   * Returns the outcomes of requests that were not served, by the fault that most likely caused
   * them.
   *
   * @return the outcomes by fault description
   */
  public Map<String, OutcomeCounts> getCauses() {
    return causes;
  }

  /**
   * Returns the latencies by request class.
   *
   * @return one entry for each class with a served request
   */
  public List<Latencies> getLatencies() {
    return List.copyOf(latencies.values());
  }

  /**
   * Returns a summary of the membership views.
   *
   * @return a sentence without its final stop; empty for a run without consensus
   */
  public String getConsensus() {
    return consensus;
  }

  /**
   * Returns the outcomes of all requests.
   *
   * @return the outcomes of all requests
   */
  public OutcomeCounts getTotal() {
    return total;
  }

  /**
   * Formats the statistics for a terminal.
   *
   * @return several lines
   */
  public String describe() {
    List<String> lines = new ArrayList<>();
    lines.add(line("all", total));
    gateways.forEach((name, counts) -> lines.add(line(name, counts)));
    causes.forEach((cause, counts) -> lines.add(line("cause: " + cause, counts)));
    latencies.values().forEach(latency -> lines.add(line(latency)));
    if (!consensus.isEmpty()) {
      lines.add(consensus);
    }
    return String.join("\n", lines);
  }

  private static String line(String name, OutcomeCounts counts) {
    return String.format(
        "%-40s %6d requests: %d served, %d rejected, %d failed, %d lost",
        name,
        counts.getAll(),
        counts.getServed(),
        counts.getRejected(),
        counts.getFailed(),
        counts.getLost());
  }

  private static String line(Latencies latencies) {
    return String.format(
        "%-8s %6d served, median %.1f ms, p99 %.1f ms, max %.0f ms, %.3f within the objective",
        latencies.getRequestClass(),
        latencies.getCount(),
        latencies.getMedian(),
        latencies.getP99(),
        latencies.getMax(),
        latencies.getWithinObjective());
  }
}
