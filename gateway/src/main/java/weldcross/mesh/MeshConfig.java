package weldcross.mesh;

import java.time.Duration;
import java.util.List;

/**
 * Configuration of the mesh, fixed when the gateway starts.
 *
 * @param cluster the cluster name; gateways of other clusters are rejected
 * @param self the name of this gateway
 * @param peers all other gateways of the cluster, which this gateway connects to and accepts
 *     connections from
 * @param heartbeatInterval interval between the heartbeats on each connection
 * @param heartbeatTimeout a connection without an acknowledged heartbeat for this long is closed
 * @param connectTimeout maximum duration of a connect and of a handshake
 * @param minBackoff delay before the next connect after the first failure
 * @param maxBackoff upper bound of the delay after repeated failures, before jitter
 * @param maxQueuedMessages maximum number of messages queued for one peer
 * @param maxQueuedBytes maximum number of bytes queued for one peer, and, as a separate limit, of
 *     bytes passed to its connection and not yet written to the network
 */
public record MeshConfig(
    String cluster,
    PeerName self,
    List<PeerName> peers,
    Duration heartbeatInterval,
    Duration heartbeatTimeout,
    Duration connectTimeout,
    Duration minBackoff,
    Duration maxBackoff,
    int maxQueuedMessages,
    int maxQueuedBytes) {

  /** The maximum content size of a message, in bytes. */
  public static final int MAX_MESSAGE_BYTES = 1 << 20;

  /** The protocol version that this gateway sends, and the newest that it supports. */
  public static final int PROTOCOL_VERSION = 1;

  /** The oldest protocol version that this gateway supports. */
  public static final int MIN_PROTOCOL_VERSION = 1;

  static boolean supportsVersion(int version) {
    return version >= MIN_PROTOCOL_VERSION && version <= PROTOCOL_VERSION;
  }
}
