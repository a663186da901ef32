package weldcross.chaos.scenario;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import weldcross.config.InvalidConfigException;

/**
 * What a run plays.
 *
 * @param name of the scenario, part of the run's directory
 * @param about one line for a reader
 * @param lasting how long the load goes on
 * @param rate requests a second, over all gateways
 * @param gateways how many there are
 * @param groups how many replica groups there are
 * @param serversPerGroup servers of each group; the first is its primary
 * @param lag how far replicas are behind
 * @param service how long a statement takes at a server
 * @param linked whether gateways have the mesh and membership
 * @param voters how many gateways vote on membership views; zero for no consensus
 * @param log the level at which gateways log
 * @param faults those written in the scenario
 * @param drawn kinds that a seed may draw from; empty if only the written faults act
 * @param draws how many faults are drawn
 */
public record Scenario(
    String name,
    String about,
    Duration lasting,
    int rate,
    int gateways,
    int groups,
    int serversPerGroup,
    Duration lag,
    Duration service,
    boolean linked,
    int voters,
    String log,
    List<Fault> faults,
    List<Fault.Kind> drawn,
    int draws) {

  /**
   * Reads a scenario.
   *
   * @param file path of a TOML document
   * @return the scenario
   * @throws InvalidConfigException if a value cannot be used; names the key and its line
   */
  public static Scenario read(String file) {
    return ScenarioReader.read(file);
  }

  /**
   * Returns this scenario with other faults, and none to draw.
   *
   * @param otherFaults all faults that act
   * @return the changed scenario
   */
  public Scenario with(List<Fault> otherFaults) {
    return copy(lasting, List.copyOf(otherFaults), List.of(), 0);
  }

  /**
   * Returns this scenario with another duration.
   *
   * @param time how long the load goes on
   * @return the changed scenario
   */
  public Scenario lasting(Duration time) {
    return copy(time, faults, drawn, draws);
  }

  private Scenario copy(
      Duration newLasting, List<Fault> newFaults, List<Fault.Kind> newDrawn, int newDraws) {
    return new Scenario(
        name,
        about,
        newLasting,
        rate,
        gateways,
        groups,
        serversPerGroup,
        lag,
        service,
        linked,
        voters,
        log,
        newFaults,
        newDrawn,
        newDraws);
  }

  /**
   * Writes this scenario, without what may be drawn.
   *
   * @return a document that {@link #read} takes
   */
  public String toml() {
    StringBuilder toml = new StringBuilder();
    toml.append("name = \"").append(name).append("\"\n");
    toml.append("about = \"").append(about).append("\"\n");
    toml.append("seconds = ").append(lasting.toSeconds()).append('\n');
    toml.append("rate = ").append(rate).append('\n');
    toml.append("gateways = ").append(gateways).append('\n');
    toml.append("groups = ").append(groups).append('\n');
    toml.append("servers_per_group = ").append(serversPerGroup).append('\n');
    toml.append("lag_ms = ").append(lag.toMillis()).append('\n');
    toml.append("service_ms = ").append(service.toMillis()).append('\n');
    toml.append("linked = ").append(linked).append('\n');
    toml.append("voters = ").append(voters).append('\n');
    toml.append("log = \"").append(log.toUpperCase(Locale.ROOT)).append("\"\n");
    for (Fault fault : faults) {
      toml.append('\n').append(String.join("\n", fault.toml())).append('\n');
    }
    return toml.toString();
  }
}
