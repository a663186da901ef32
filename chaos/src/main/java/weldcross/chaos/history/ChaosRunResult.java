package weldcross.chaos.history;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import weldcross.chaos.scenario.Scenario;

/**
 * What came of a run.
 *
 * @param scenario the scenario with all its faults, also those drawn at random
 * @param seed by which it was run
 * @param history what was recorded
 * @param violations of the rules; empty if all were kept
 * @param restarts when each start of a gateway after the first was ready, for a reader
 * @param directory of the run
 */
public record ChaosRunResult(
    @JsonProperty("played") Scenario scenario,
    long seed,
    @JsonProperty("evidence") History history,
    @JsonProperty("breaches") List<HistoryChecker.Violation> violations,
    @JsonProperty("ready") List<String> restarts,
    @JsonProperty("where") String directory) {

  /**
   * Returns whether all rules were kept.
   *
   * @return true if there is no violation
   */
  @JsonIgnore
  public boolean isClean() {
    return violations.isEmpty();
  }
}
