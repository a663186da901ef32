/** Child processes of a chaos run, with signals and resource usage, and their loopback subnets. */
package weldcross.chaos.process;
