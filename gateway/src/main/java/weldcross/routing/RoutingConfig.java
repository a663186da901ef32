package weldcross.routing;

import java.time.Duration;
import java.util.List;

/**
 * The configuration of a {@link Router}, fixed from its start.
 *
 * @param requestClasses the classes that requests name by their index
 * @param gateways how many gateways share the servers, at least 1
 * @param zone the zone of this gateway
 * @param parallelAttempts whether a request may have two attempts in flight
 * @param maxAttempts the most attempts of one request, at least 1
 * @param healthChecks whether servers may be sent health checks
 * @param cancellation whether attempts may be cancelled
 * @param gossip whether gateways may send each other messages
 * @param maxRetryAfter the longest time to come back that clients heed; zero if they heed none
 * @param pollEndpointList whether the endpoint list comes only when asked for
 * @param maxPollInterval how long a gateway without a watch may go without asking for the list
 * @param removalIsBinding whether a server that left the list may get nothing new
 * @param clientsCarryTokens whether a session read says how long ago its session's last write was
 *     committed
 * @param initialCapacityFraction the least share of its capacity that a server starts with, in (0,
 *     1]
 * @param slowStartDuration the time after which a started server is warm
 * @param overloadMultiple a server that warms up fails when sent more than this multiple of what it
 *     can do
 * @param overloadWindow for this long
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
