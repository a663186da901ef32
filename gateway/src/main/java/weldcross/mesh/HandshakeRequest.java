package weldcross.mesh;

/**
 * What a caller says first on a connection that it opened.
 *
 * @param cluster the caller's cluster
 * @param from the caller
 * @param to whom the caller wants
 * @param incarnation the caller's
 * @param version the protocol version that the caller speaks
 */
public record HandshakeRequest(
    String cluster, PeerName from, PeerName to, Incarnation incarnation, int version) {}
