package weldcross.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import weldcross.config.ConfigValues;
import weldcross.routing.EndpointStatus;

/**
 * One server as the list has it.
 *
 * @param zone the place of its locality among the zones told at the start
 * @param upSinceMillis Unix time of its last start; 0 for long ago
 * @param head whether the list takes it for its group's primary
 */
public record DiscoveredEndpoint(
    String id,
    InetSocketAddress address,
    int zone,
    int group,
    EndpointStatus condition,
    long upSinceMillis,
    boolean head) {

  /** All entries, checked before any is used: half a list is worse than the one held. */
  public static List<DiscoveredEndpoint> read(ConfigValues list, List<String> zones) {
    List<DiscoveredEndpoint> members = new ArrayList<>();
    for (int k = 0; k < list.count("members"); k++) {
      ConfigValues entry = list.under("members." + k);
      EndpointStatus condition =
          switch (entry.text("phase")) {
            case "active" -> EndpointStatus.ACTIVE;
            case "leaving" -> EndpointStatus.DRAINING;
            case "left" -> EndpointStatus.REMOVED;
            default -> throw entry.invalid("phase", "active, leaving or left");
          };
      boolean gone = condition == EndpointStatus.REMOVED;
      members.add(
          new DiscoveredEndpoint(
              entry.text("id"),
              gone ? null : entry.address("host_port"),
              zones.indexOf(entry.text("locality", "")),
              (int) entry.integer("cell", 0, 0),
              condition,
              entry.integer("up_since_ms", 0, 0),
              entry.text("mode", "").equals("read-write")));
    }
    return members;
  }
}
