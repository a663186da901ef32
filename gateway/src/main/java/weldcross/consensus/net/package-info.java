/**
 * Joins the consensus to its gateway: {@link weldcross.consensus.net.ConsensusService} maps
 * messages to the membership view client and the voter, and {@link
 * weldcross.consensus.net.ConsensusExtension} joins the service to the mesh, the event loop and the
 * log.
 */
package weldcross.consensus.net;
