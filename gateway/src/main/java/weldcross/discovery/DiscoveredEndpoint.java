package weldcross.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import weldcross.config.ConfigValues;
import weldcross.routing.EndpointStatus;

/**
 * One server as an endpoint list has it.
 *
 * @param id the server's name
 * @param address where it listens; null if it was removed
 * @param zone index of its zone among the configured ones; -1 if it has none of these
 * @param group number of its group
 * @param status whether it is active, draining or removed
 * @param startedAtMillis Unix time in milliseconds of its last start; 0 if that was long ago
 * @param primary whether the list takes it for the primary of its group
 */
public record DiscoveredEndpoint(
    String id,
    InetSocketAddress address,
    int zone,
    int group,
    EndpointStatus status,
    long startedAtMillis,
    boolean primary) {

  /**
   * Reads all entries of a list, or none: a list with a hole is worse than the one before it.
   *
   * @param list the list as discovery sent it
   * @param zones names of the configured zones, in the order of their numbers
   * @throws weldcross.config.InvalidConfigException if an entry cannot be used; names its key
   */
  public static List<DiscoveredEndpoint> read(ConfigValues list, List<String> zones) {
    List<DiscoveredEndpoint> endpoints = new ArrayList<>();
    for (int index = 0; index < list.count("members"); index++) {
      endpoints.add(readEntry(list.subtree("members." + index), zones));
    }
    return endpoints;
  }

  private static DiscoveredEndpoint readEntry(ConfigValues entry, List<String> zones) {
    EndpointStatus status =
        switch (entry.text("phase")) {
          case "active" -> EndpointStatus.ACTIVE;
          case "leaving" -> EndpointStatus.DRAINING;
          case "left" -> EndpointStatus.REMOVED;
          default -> throw entry.invalid("phase", "active, leaving or left");
        };
    return new DiscoveredEndpoint(
        entry.text("id"),
        status == EndpointStatus.REMOVED ? null : entry.address("host_port"),
        zones.indexOf(entry.text("locality", "")),
        (int) entry.integer("cell", 0, 0),
        status,
        entry.integer("up_since_ms", 0, 0),
        entry.text("mode", "").equals("read-write"));
  }
}
