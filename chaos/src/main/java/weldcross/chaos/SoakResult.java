package weldcross.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import weldcross.chaos.history.HistoryChecker.Violation;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.ClientOperation.Outcome;
import weldcross.chaos.process.ProcessUsage;
import weldcross.chaos.soak.ProcessExit;
import weldcross.chaos.soak.SoakPlan;
import weldcross.chaos.soak.SoakVerdict;

/**
 * Result of a soak test.
 *
 * @param plan the plan that was executed
 * @param verdict the outcome of all checks
 * @param exits how gateway processes ended
 * @param usageAtStart resource usage by gateway, before clients sent the first request
 * @param usageAtEnd resource usage by gateway, for processes that were still running at the end
 */
public record SoakResult(
    SoakPlan plan,
    SoakVerdict verdict,
    List<ProcessExit> exits,
    Map<String, ProcessUsage> usageAtStart,
    Map<String, ProcessUsage> usageAtEnd) {

  /**
   * Formats the result for a terminal.
   *
   * @return one line of counts, then one for each killed process, gateway and violation
   */
  public String describe() {
    List<String> lines = new ArrayList<>();
    lines.add(countsLine());
    exits.stream()
        .filter(ProcessExit::killed)
        .forEach(exit -> lines.add("killed: " + exit.describe()));
    usageAtStart.forEach((gateway, usage) -> lines.add(usageLine(gateway, usage)));
    verdict.violations().stream().map(Violation::describe).forEach(lines::add);
    return String.join("\n", lines);
  }

  private String countsLine() {
    return String.format(
        "seed %d%s: %d requests, %d served, %d rejected, %d failed, %d not sent"
            + " (%d raced with a close), %d unanswered; %d stops, %d killed; %d violations",
        plan.seed(),
        plan.hasConnectionBursts() ? " with connection bursts" : "",
        verdict.history().operations().size(),
        count(Outcome.OK),
        count(Outcome.REJECTED),
        count(Outcome.FAILED),
        count(Outcome.NOT_SENT),
        verdict.closeRaces(),
        count(Outcome.TIMED_OUT) + count(Outcome.CONNECTION_CLOSED),
        exits.size(),
        exits.stream().filter(ProcessExit::killed).count(),
        verdict.violations().size());
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
