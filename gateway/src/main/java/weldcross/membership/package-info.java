/**
 * Failure detection between gateways after SWIM and Lifeguard. Pure: no I/O and no clock; {@link
 * weldcross.membership.net} carries its messages.
 */
package weldcross.membership;
