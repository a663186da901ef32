/**
 * Failure detection between gateways, based on SWIM and Lifeguard. Performs no I/O and reads no
 * clock; {@link weldcross.membership.net} transports its messages.
 */
package weldcross.membership;
