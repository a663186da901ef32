/**
 * Recorded history of a chaos run and the rules by which it is checked, independent of the
 * gateway's code.
 */
package weldcross.chaos.history;
