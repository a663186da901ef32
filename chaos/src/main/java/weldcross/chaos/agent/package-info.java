/**
 * What works within a gateway process of a chaos run, found as a service on its class path: a
 * storage directory that fails on command and a wall clock that is off.
 */
package weldcross.chaos.agent;
