/**
 * The control endpoint: HTTP and JSON on the loopback, by which an operator on this machine asks
 * what the gateway knows of the others and decides on members.
 */
package weldcross.control;
