/**
 * The routing policy: which server each read and write is sent to, and when.
 *
 * <p>{@link weldcross.routing.Router} is the entry point. It is a state machine without threads,
 * clocks or I/O, and is driven by a host that implements {@link weldcross.routing.RouterActions}.
 * All routing decisions are made in this package, which depends on no other package of the project.
 * The files that implement the policy are listed under {@code policy} in {@code
 * deploy/balancer.toml}.
 */
package weldcross.routing;
