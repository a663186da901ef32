/**
 * Connects consensus to the gateway: {@link weldcross.consensus.net.ConsensusService} dispatches
 * messages to the membership view client and the voter, and {@link
 * weldcross.consensus.net.ConsensusExtension} connects the service to the mesh, the event loop and
 * the log.
 */
package weldcross.consensus.net;
