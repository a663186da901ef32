/** Clients of a chaos run: sessions that send requests to gateways and record what they see. */
package weldcross.chaos.load;
