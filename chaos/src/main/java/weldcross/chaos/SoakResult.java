package weldcross.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import weldcross.chaos.history.HistoryChecker.Violation;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.ClientOperation.Outcome;
import weldcross.chaos.process.ProcessUsage;
import weldcross.chaos.soak.ProcessExit;
import weldcross.chaos.soak.SoakPlan;
import weldcross.chaos.soak.SoakVerdict;

/**
 * What came of a soak.
 *
 * @param plan what was done
 * @param verdict what it showed
 * @param exits how processes ended
 * @param usageAtStart by gateway, before clients sent anything
 * @param usageAtEnd by gateway, of the processes that ran at the end
 */
public record SoakResult(
    SoakPlan plan,
    SoakVerdict verdict,
    List<ProcessExit> exits,
    Map<String, ProcessUsage> usageAtStart,
    Map<String, ProcessUsage> usageAtEnd) {

  /**
   * Describes it for a terminal.
   *
   * @return one line of counts, one for each gateway and each violation
   */
  public String describe() {
    List<String> lines = new ArrayList<>();
    lines.add(countsLine());
    exits.stream()
        .filter(ProcessExit::killed)
        .forEach(exit -> lines.add("had to be killed: " + exit.describe()));
    usageAtStart.forEach((gateway, usage) -> lines.add(usageLine(gateway, usage)));
    verdict.violations().forEach(violation -> lines.add(violationLine(violation)));
    return String.join("\n", lines);
  }

  private String countsLine() {
    return String.format(
        "seed %d%s: %d requests, %d served, %d rejected, %d failed, %d not sent"
            + " (%d crossed a close), %d without an answer; %d stops, %d killed; %d violations",
        plan.seed(),
        plan.hasCrowd() ? " with a crowd" : "",
        verdict.history().operations().size(),
        count(Outcome.OK),
        count(Outcome.REJECTED),
        count(Outcome.FAILED),
        count(Outcome.NOT_SENT),
        verdict.crossings(),
        count(Outcome.TIMED_OUT) + count(Outcome.CONNECTION_CLOSED),
        exits.size(),
        exits.stream().filter(ProcessExit::killed).count(),
        verdict.violations().size());
  }

  private static String violationLine(Violation violation) {
    return violation.rule().description()
        + ": "
        + violation.rpc()
        + " at "
        + TimeUnit.NANOSECONDS.toMillis(violation.at())
        + " ms, "
        + violation.description();
  }

  private String usageLine(String gateway, ProcessUsage atStart) {
    ProcessUsage atEnd = usageAtEnd.get(gateway);
    String end = atEnd == null ? "ended" : atEnd.describe();
    return gateway + ": " + atStart.describe() + " at the start, " + end + " at the end";
  }

  private long count(Outcome outcome) {
    return verdict.history().operations().stream()
        .map(ClientOperation::outcome)
        .filter(outcome::equals)
        .count();
  }
}
