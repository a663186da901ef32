package weldcross.shared;

import java.time.Duration;
import weldcross.routing.GroupId;
import weldcross.routing.ServerId;

/**
 * What some gateway saw of a server.
 *
 * @param start of the process it was seen in, as time since 1970; zero means long ago
 * @param position up to which it had applied all commits, as time since 1970; positive
 * @param primary whether it was the primary at that position
 * @param seenAt by the clock of the gateway that saw it, as time since 1970; for people alone
 * @param seenBy the name of that gateway; for people alone
 */
public record Sighting(
    ServerId server,
    GroupId group,
    Duration start,
    Duration position,
    boolean primary,
    Duration seenAt,
    String seenBy) {

  /**
   * Of two sightings of one server the one of the later process counts, of one process the one
   * further on.
   */
  public boolean isNewerThan(Sighting other) {
    int starts = other == null ? 1 : start.compareTo(other.start);
    return starts > 0 || starts == 0 && position.compareTo(other.position) > 0;
  }
}
