package weldcross.routing;

import java.time.Duration;
import java.util.List;

/**
 * What a router is told once, when it starts: the terms on which the service is run.
 *
 * @param gateways how many gateways share the servers
 * @param parallelCallOuts whether an RPC may have two call-outs out at once
 * @param callOutLimit the most call-outs of one RPC
 * @param tells whether gateways may send each other messages
 * @param longestComeBack the longest time to come back that clients heed; zero where they are told
 *     none
 * @param listOnRequest whether the server list comes only when asked for
 * @param askWithin how long a gateway without a watch may go without asking
 * @param goneBinds whether a server that left the list may get nothing new
 * @param tokensCarried whether a session read says how long ago its session's last write was
 *     committed
 * @param coldShare the least share of its capacity with which a server starts
 * @param coldFor after this long a started server is warm
 * @param fallMultiple a cold server falls over when sent more than this multiple of what it can do
 * @param fallWindow for this long
 */
public record RoutingConfig(
    List<RequestClass> methods,
    int gateways,
    ZoneId zone,
    boolean parallelCallOuts,
    int callOutLimit,
    boolean probes,
    boolean cancels,
    boolean tells,
    Duration longestComeBack,
    boolean listOnRequest,
    Duration askWithin,
    boolean goneBinds,
    boolean tokensCarried,
    double coldShare,
    Duration coldFor,
    double fallMultiple,
    Duration fallWindow) {}
