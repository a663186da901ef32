package weldcross.routing;

import java.time.Duration;
import java.util.List;

/**
 * What a router is told once, when it starts: the terms on which the service is run.
 *
 * @param gateways how many gateways share the servers
 * @param parallelAttempts whether an RPC may have two call-outs out at once
 * @param maxAttempts the most call-outs of one RPC
 * @param gossip whether gateways may send each other messages
 * @param maxRetryAfter the longest time to come back that clients heed; zero where they are told
 *     none
 * @param pollEndpointList whether the server list comes only when asked for
 * @param maxPollInterval how long a gateway without a watch may go without asking
 * @param removalIsBinding whether a server that left the list may get nothing new
 * @param clientsCarryTokens whether a session read says how long ago its session's last write was
 *     committed
 * @param slowStartShare the least share of its capacity with which a server starts
 * @param slowStartDuration after this long a started server is warm
 * @param overloadMultiple a cold server falls over when sent more than this multiple of what it can
 *     do
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
    double slowStartShare,
    Duration slowStartDuration,
    double overloadMultiple,
    Duration overloadWindow) {}
