package weldcross.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import weldcross.config.ConfigValues;
import weldcross.routing.EndpointStatus;

/**
 * One entry of an endpoint list.
 *
 * @param id name of the server
 * @param address address on which the server listens; null if it was removed
 * @param zone index of its zone among the configured zones; -1 if it is in none of them
 * @param group number of its replica group
 * @param status whether it is active, draining or removed
 * @param startedAtMillis Unix time of its last start, in milliseconds; 0 if that was long ago
 * @param primary whether it is listed as the primary of its group
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
   * Reads the entries of a list. One invalid entry rejects the whole list, as an incomplete list is
   * worse than the previous one.
   *
   * @param list the list as sent by discovery
   * @param zones names of the configured zones, in the order of their indexes
   * @throws weldcross.config.InvalidConfigException if an entry is invalid; names the key
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
