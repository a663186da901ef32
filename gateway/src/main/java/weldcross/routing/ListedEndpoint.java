package weldcross.routing;

import java.time.Duration;

/**
 * One entry of the endpoint list, see {@link Router#endpointListed}.
 *
 * @param id the server; not null
 * @param zone the zone it is in; not null
 * @param group the replica group it belongs to; not null
 * @param status its state by the list; not null
 * @param startedAt when its process started, counted from the start of the router and negative if
 *     before it, as far as is known; null if the list does not say
 * @param primary whether the list names it as the primary of its group
 */
public record ListedEndpoint(
    ServerId id,
    ZoneId zone,
    GroupId group,
    EndpointStatus status,
    Duration startedAt,
    boolean primary) {}
