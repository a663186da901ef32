package weldcross.mesh;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

/**
 * The addresses of the mesh as configured for one gateway.
 *
 * @param listenAddress where this gateway accepts connections
 * @param datagramListenAddress where datagrams reach this gateway; empty where none are sent or
 *     received
 * @param connectAddresses where each peer accepts connections
 * @param datagramAddresses where datagrams reach each peer; without those that receive none
 */
public record PeerAddresses(
    InetSocketAddress listenAddress,
    Optional<InetSocketAddress> datagramListenAddress,
    Map<PeerName, InetSocketAddress> connectAddresses,
    Map<PeerName, InetSocketAddress> datagramAddresses) {}
