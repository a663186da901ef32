package weldcross.chaos.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import weldcross.config.InvalidConfigException;

/**
 * The cluster, load and faults of a chaos run.
 *
 * @param name name of the scenario, part of the name of the run directory
 * @param description one line for reports
 * @param duration how long load is generated
 * @param rate requests per second, over all gateways
 * @param gateways number of gateways
 * @param groups number of replica groups
 * @param serversPerGroup servers of each replica group; the first is its primary
 * @param replicaLag replication lag of the replicas
 * @param serviceTime how long a server takes for a statement
 * @param meshEnabled whether gateways run the mesh and membership
 * @param voters number of gateways that vote on membership views; zero disables consensus
 * @param logLevel log level of the gateways
 * @param faults faults with fixed times
 * @param randomFaultKinds kinds of random faults; empty if there are only fixed faults
 * @param randomFaultCount number of random faults
 */
public record Scenario(
    String name,
    @JsonProperty("about") String description,
    @JsonProperty("lasting") Duration duration,
    int rate,
    int gateways,
    int groups,
    int serversPerGroup,
    @JsonProperty("lag") Duration replicaLag,
    @JsonProperty("service") Duration serviceTime,
    @JsonProperty("linked") boolean meshEnabled,
    int voters,
    @JsonProperty("log") String logLevel,
    List<Fault> faults,
    @JsonProperty("drawn") List<Fault.Kind> randomFaultKinds,
    @JsonProperty("draws") int randomFaultCount) {

  /**
   * Reads a scenario.
   *
   * @param file path of a TOML document
   * @return the scenario
   * @throws InvalidConfigException if a value is invalid; names the key and its line
   */
  public static Scenario read(String file) {
    return ScenarioReader.read(file);
  }

  /**
   * Returns a copy of this scenario with the given faults and no random ones.
   *
   * @param newFaults all faults of the run
   * @return the copy
   */
  public Scenario withFaults(List<Fault> newFaults) {
    return copy(duration, List.copyOf(newFaults), List.of(), 0);
  }

  /**
   * Returns a copy of this scenario with another duration.
   *
   * @param newDuration how long load is generated
   * @return the copy
   */
  public Scenario withDuration(Duration newDuration) {
    return copy(newDuration, faults, randomFaultKinds, randomFaultCount);
  }

  private Scenario copy(
      Duration newDuration,
      List<Fault> newFaults,
      List<Fault.Kind> newRandomFaultKinds,
      int newRandomFaultCount) {
    return new Scenario(
        name,
        description,
        newDuration,
        rate,
        gateways,
        groups,
        serversPerGroup,
        replicaLag,
        serviceTime,
        meshEnabled,
        voters,
        logLevel,
        newFaults,
        newRandomFaultKinds,
        newRandomFaultCount);
  }

  /**
   * Formats this scenario as a scenario file, without the settings for random faults.
   *
   * @return a TOML document that {@link #read} accepts
   */
  public String toml() {
    StringBuilder toml = new StringBuilder();
    toml.append("name = \"").append(name).append("\"\n");
    toml.append("about = \"").append(description).append("\"\n");
    toml.append("seconds = ").append(duration.toSeconds()).append('\n');
    toml.append("rate = ").append(rate).append('\n');
    toml.append("gateways = ").append(gateways).append('\n');
    toml.append("groups = ").append(groups).append('\n');
    toml.append("servers_per_group = ").append(serversPerGroup).append('\n');
    toml.append("lag_ms = ").append(replicaLag.toMillis()).append('\n');
    toml.append("service_ms = ").append(serviceTime.toMillis()).append('\n');
    toml.append("linked = ").append(meshEnabled).append('\n');
    toml.append("voters = ").append(voters).append('\n');
    toml.append("log = \"").append(logLevel.toUpperCase(Locale.ROOT)).append("\"\n");
    for (Fault fault : faults) {
      toml.append('\n').append(String.join("\n", fault.toml())).append('\n');
    }
    return toml.toString();
  }
}
