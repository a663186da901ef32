/**
 * The gateway: receives statements from PostgreSQL clients, routes each as {@link
 * weldcross.routing.Router} decides, and communicates with clients, servers, discovery and other
 * gateways.
 *
 * <p>{@link weldcross.gateway.Gateway} owns all state and is called only on the event loop's
 * thread. All I/O goes through {@code Transport}, which never blocks and reports results as events.
 * Times are durations since the gateway's start unless stated otherwise.
 */
package weldcross.gateway;
