/** Clients of a chaos run, which send requests to gateways and record the outcomes. */
package weldcross.chaos.load;
