/** Statistics of a chaos run, its HTML report and its stored history. */
package weldcross.chaos.report;
