package weldcross.consensus;

import weldcross.mesh.PeerName;

/**
 * One gateway as the view has it.
 *
 * @param life its incarnation; another life of the same name is another member
 * @param zone where it stands; empty where there are none
 * @param part of the traffic, in thousandths
 */
public record Member(PeerName name, long life, String zone, int part) {}
