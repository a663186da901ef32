/**
 * Service implementations that a gateway process of a chaos run loads from its class path: a
 * storage directory with injected faults, and a wall clock with an offset.
 */
package weldcross.chaos.agent;
