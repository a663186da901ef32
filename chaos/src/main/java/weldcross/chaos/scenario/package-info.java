/** What a chaos run plays: scenario files, faults and faults drawn at random. */
package weldcross.chaos.scenario;
