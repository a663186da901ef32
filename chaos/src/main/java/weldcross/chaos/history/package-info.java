/** What a chaos run records, and the rules it is checked by. Pure; knows nothing of the gateway. */
package weldcross.chaos.history;
