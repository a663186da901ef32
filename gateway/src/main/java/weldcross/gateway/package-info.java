/**
 * The gateway: takes statements of PostgreSQL clients, has {@link weldcross.routing.Router} decide
 * on each, and exchanges messages with clients, servers, discovery and other gateways.
 *
 * <p>{@link weldcross.gateway.Gateway} owns all state and is called on one thread, the event loop.
 * Input and output is behind {@code Transport}, which never waits; its results come back as events.
 * Times are durations since the gateway's start unless said otherwise.
 */
package weldcross.gateway;
