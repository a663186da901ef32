/**
 * The adapter to the simulator: it hosts many routers in one process and speaks the simulator's
 * wire, lines of text on standard input and output. The words of the wire stay in {@link
 * weldcross.simulator.SimulatorMessageParser} and {@link weldcross.simulator.SimulatorActions}.
 */
package weldcross.simulator;
