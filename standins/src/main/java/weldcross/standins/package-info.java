/**
 * Outside systems as this project writes them from their public specifications, for its own tests: each in a package
 * of its own, on loopback, with a clock and faults that a test sets. Nothing here imports the gateway.
 */
package weldcross.standins;
