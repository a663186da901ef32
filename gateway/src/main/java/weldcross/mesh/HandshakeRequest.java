package weldcross.mesh;

/**
 * The first frame that a gateway sends on a connection that it opened.
 *
 * @param cluster the sender's cluster
 * @param from the sender's name
 * @param to the intended receiver
 * @param incarnation the sender's incarnation
 * @param version the sender's protocol version
 */
public record HandshakeRequest(
    String cluster, PeerName from, PeerName to, Incarnation incarnation, int version) {}
