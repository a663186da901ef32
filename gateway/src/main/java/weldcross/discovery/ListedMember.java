package weldcross.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import weldcross.config.NamedValues;
import weldcross.routing.Condition;

/**
 * One server as the list has it.
 *
 * @param zone the place of its locality among the zones told at the start
 * @param upSinceMillis Unix time of its last start; 0 for long ago
 * @param head whether the list takes it for its group's primary
 */
public record ListedMember(
    String id,
    InetSocketAddress address,
    int zone,
    int group,
    Condition condition,
    long upSinceMillis,
    boolean head) {

  /** All entries, checked before any is used: half a list is worse than the one held. */
  public static List<ListedMember> read(NamedValues list, List<String> zones) {
    List<ListedMember> members = new ArrayList<>();
    for (int k = 0; k < list.count("members"); k++) {
      NamedValues entry = list.under("members." + k);
      Condition condition =
          switch (entry.text("phase")) {
            case "active" -> Condition.ON;
            case "leaving" -> Condition.DRAINING;
            case "left" -> Condition.GONE;
            default -> throw entry.fault("phase", "active, leaving or left");
          };
      boolean gone = condition == Condition.GONE;
      members.add(
          new ListedMember(
              entry.text("id"),
              gone ? null : entry.address("host_port"),
              zones.indexOf(entry.text("locality", "")),
              (int) entry.whole("cell", 0, 0),
              condition,
              entry.whole("up_since_ms", 0, 0),
              entry.text("mode", "").equals("read-write")));
    }
    return members;
  }
}
