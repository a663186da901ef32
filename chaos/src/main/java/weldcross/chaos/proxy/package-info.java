/** The proxy between all hosts of a chaos run, which delays, loses and cuts what crosses it. */
package weldcross.chaos.proxy;
