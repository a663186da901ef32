package weldcross.consensus;

import weldcross.mesh.PeerName;

/**
 * A gateway in a membership view.
 *
 * @param name name of the gateway
 * @param incarnation incarnation of its process; a different incarnation of the same name is a
 *     different member
 * @param zone availability zone; empty if zones are not used
 * @param weight traffic weight in thousandths
 */
public record Member(PeerName name, long incarnation, String zone, int weight) {}
