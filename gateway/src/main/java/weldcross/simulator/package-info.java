/**
 * Adapter for the simulator: runs many routers in one process and implements the simulator
 * protocol, lines of text on standard input and output. The names of the protocol are confined to
 * {@link weldcross.simulator.SimulatorMessageParser} and {@link
 * weldcross.simulator.SimulatorActions}.
 */
package weldcross.simulator;
