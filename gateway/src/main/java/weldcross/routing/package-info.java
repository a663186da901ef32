/**
 * The routing policy: which server each read and write goes to, and when.
 *
 * <p>{@link weldcross.routing.Router} is the entry point. It is a state machine without threads,
 * clocks or I/O, driven by its host, which implements {@link weldcross.routing.RouterActions}. All
 * decisions are made in this package, and it depends on no other package of the project. Files of
 * this package with decisions are listed under {@code policy} in {@code deploy/balancer.toml}.
 */
package weldcross.routing;
