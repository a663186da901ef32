package weldcross.consensus;

import weldcross.mesh.PeerName;

/**
 * One gateway of a membership view.
 *
 * @param name of the gateway
 * @param incarnation of its process; another incarnation of the same name is another member
 * @param zone where it stands; empty where there are no zones
 * @param weight traffic weight in thousandths
 */
public record Member(PeerName name, long incarnation, String zone, int weight) {}
