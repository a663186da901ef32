/**
 * The control endpoint: an HTTP and JSON interface on the loopback address through which an
 * operator on this machine queries the cluster status and manages its members.
 */
package weldcross.control;
