package weldcross.routing;

import java.time.Duration;

/**
 * One entry of the endpoint list, see {@link Router#endpointListed}.
 *
 * @param id the server; not null
 * @param zone the zone of the server; not null
 * @param group the replica group of the server; not null
 * @param status the status in the list; not null
 * @param startedAt when the server process started, relative to the start of the router and
 *     negative if earlier; null if the list does not specify it
 * @param primary whether the list names it as the primary of its group
 */
public record ListedEndpoint(
    ServerId id,
    ZoneId zone,
    GroupId group,
    EndpointStatus status,
    Duration startedAt,
    boolean primary) {}
