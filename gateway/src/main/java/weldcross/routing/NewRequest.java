package weldcross.routing;

import java.time.Duration;

/**
 * A request as received from a client, see {@link Router#requestArrived}.
 *
 * @param id unique among the requests of this gateway; not null
 * @param classIndex the index of its class in {@link RoutingConfig#requestClasses}
 * @param group the replica group that holds its data; not null
 * @param session the client session; null if there is none
 * @param timeSinceLastWrite how long ago the last write of the session was committed, as stated by
 *     the client; zero if there was none, never null
 * @param timeout how long the client waits for the answer, from now; not null
 * @param clientRetry whether the request is a retry by the client
 */
public record NewRequest(
    RequestId id,
    int classIndex,
    GroupId group,
    SessionId session,
    Duration timeSinceLastWrite,
    Duration timeout,
    boolean clientRetry) {}
