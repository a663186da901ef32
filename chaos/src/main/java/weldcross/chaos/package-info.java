/** Runs several gateways as processes under faults and checks the recorded history. */
package weldcross.chaos;
