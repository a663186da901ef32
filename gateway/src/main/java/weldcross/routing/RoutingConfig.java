package weldcross.routing;

import java.time.Duration;
import java.util.List;

/**
 * The configuration of a {@link Router}, which does not change after its start.
 *
 * @param requestClasses the request classes; requests refer to them by index
 * @param gateways the number of gateways that share the servers, at least 1
 * @param zone the zone of this gateway
 * @param parallelAttempts whether a request may have two attempts in flight
 * @param maxAttempts the maximum number of attempts of one request, at least 1
 * @param healthChecks whether health checks may be sent to servers
 * @param cancellation whether attempts may be cancelled
 * @param gossip whether gateways may send gossip messages to each other
 * @param maxRetryAfter the longest Retry-After time that clients respect; zero if they ignore it
 * @param pollEndpointList whether the endpoint list is only sent on request
 * @param maxPollInterval the longest time that a gateway without a watch may go without requesting
 *     the endpoint list
 * @param removalIsBinding whether a server removed from the endpoint list must not receive new
 *     requests
 * @param clientsCarryTokens whether clients state in a session read how long ago the last write of
 *     the session was committed
 * @param initialCapacityFraction the smallest fraction of its full capacity that a server may have
 *     when it starts, in (0, 1]
 * @param slowStartDuration how long a started server warms up
 * @param overloadMultiple the multiple of its current capacity that overloads a server that is
 *     warming up
 * @param overloadWindow how long a server tolerates more than {@code overloadMultiple} before it
 *     fails
 */
public record RoutingConfig(
    List<RequestClass> requestClasses,
    int gateways,
    ZoneId zone,
    boolean parallelAttempts,
    int maxAttempts,
    boolean healthChecks,
    boolean cancellation,
    boolean gossip,
    Duration maxRetryAfter,
    boolean pollEndpointList,
    Duration maxPollInterval,
    boolean removalIsBinding,
    boolean clientsCarryTokens,
    double initialCapacityFraction,
    Duration slowStartDuration,
    double overloadMultiple,
    Duration overloadWindow) {}
