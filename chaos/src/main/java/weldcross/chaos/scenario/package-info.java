/** Scenarios of chaos runs: scenario files, faults and the generator of random faults. */
package weldcross.chaos.scenario;
