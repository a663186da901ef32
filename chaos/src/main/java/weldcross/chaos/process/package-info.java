/** Processes that a chaos run starts, their signals, and the loopback addresses they listen on. */
package weldcross.chaos.process;
