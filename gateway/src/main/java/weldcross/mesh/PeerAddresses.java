package weldcross.mesh;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

/**
 * The mesh addresses configured for one gateway.
 *
 * @param listenAddress address on which this gateway accepts connections
 * @param datagramListenAddress address on which this gateway receives datagrams; empty if it
 *     neither sends nor receives them
 * @param connectAddresses address on which each peer accepts connections
 * @param datagramAddresses address on which each peer receives datagrams; peers that receive none
 *     are absent
 */
public record PeerAddresses(
    InetSocketAddress listenAddress,
    Optional<InetSocketAddress> datagramListenAddress,
    Map<PeerName, InetSocketAddress> connectAddresses,
    Map<PeerName, InetSocketAddress> datagramAddresses) {}
