package weldcross.chaos.history;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import weldcross.chaos.scenario.Scenario;

/**
 * Result of a chaos run. The JSON names differ from the component names, because they are kept as
 * earlier versions wrote them, so that stored results stay readable.
 *
 * @param scenario the scenario with all faults, including the random ones
 * @param seed seed of the run
 * @param history the recorded history
 * @param violations violations of the rules; empty if there are none
 * @param restarts one line for each gateway restart, with the time at which it was ready
 * @param directory run directory
 */
public record ChaosRunResult(
    @JsonProperty("played") Scenario scenario,
    long seed,
    @JsonProperty("evidence") History history,
    @JsonProperty("breaches") List<HistoryChecker.Violation> violations,
    @JsonProperty("ready") List<String> restarts,
    @JsonProperty("where") String directory) {

  /**
   * Returns whether no rule was violated.
   *
   * @return true if there is no violation
   */
  @JsonIgnore
  public boolean isClean() {
    return violations.isEmpty();
  }
}
