/** Runs gateway processes under injected faults and checks the recorded history. */
package weldcross.chaos;
