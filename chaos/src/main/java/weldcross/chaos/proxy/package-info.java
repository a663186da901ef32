/** The fault proxy between all hosts of a chaos run, which delays, drops and blocks traffic. */
package weldcross.chaos.proxy;
