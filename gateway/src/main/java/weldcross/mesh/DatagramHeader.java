package weldcross.mesh;

/**
 * The sender of a datagram as stated in the datagram; the statement is not authenticated.
 *
 * @param cluster the sender's cluster
 * @param from the sender's name
 * @param incarnation the sender's incarnation
 * @param version the sender's protocol version
 */
public record DatagramHeader(String cluster, PeerName from, Incarnation incarnation, int version) {}
