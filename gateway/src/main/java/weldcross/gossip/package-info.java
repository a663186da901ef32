/** The gossip message that gateways send each other in configurations that permit it. */
package weldcross.gossip;
