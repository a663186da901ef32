/** The message that gateways send each other, where they may. */
package weldcross.gossip;
