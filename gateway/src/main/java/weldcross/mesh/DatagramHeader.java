package weldcross.mesh;

/**
 * The sender of a datagram, as the datagram states it; nothing vouches for it.
 *
 * @param cluster the sender's cluster
 * @param from the sender
 * @param incarnation the sender's
 * @param version the protocol version that the sender speaks
 */
public record DatagramHeader(String cluster, PeerName from, Incarnation incarnation, int version) {}
