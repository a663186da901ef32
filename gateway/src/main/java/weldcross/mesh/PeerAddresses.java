package weldcross.mesh;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Where gateways are found, as told to one of them.
 *
 * @param listen where this one is called
 * @param datagrams where datagrams reach it; null where none are sent or heard
 * @param calls where each peer is called
 * @param tells where datagrams reach each peer; without those that hear none
 */
public record PeerAddresses(
    InetSocketAddress listen,
    InetSocketAddress datagrams,
    Map<PeerName, InetSocketAddress> calls,
    Map<PeerName, InetSocketAddress> tells) {}
