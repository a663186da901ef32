package weldcross.routing;

import java.time.Duration;

/**
 * A request as a client sent it, see {@link Router#requestArrived}.
 *
 * @param id differs from that of every other request of this gateway; not null
 * @param classIndex the index of its class in {@link RoutingConfig#requestClasses}
 * @param group the replica group that holds its data; not null
 * @param session null where it has none
 * @param timeSinceLastWrite how long ago the last write of its session was committed, as the client
 *     says; zero if there was none, never null
 * @param timeout how long the client waits from now on; not null
 * @param clientRetry whether the client has sent the same request before
 */
public record NewRequest(
    RequestId id,
    int classIndex,
    GroupId group,
    SessionId session,
    Duration timeSinceLastWrite,
    Duration timeout,
    boolean clientRetry) {}
