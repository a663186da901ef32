package weldcross.mesh;

import java.time.Duration;
import java.util.List;

/**
 * Configuration of the mesh, fixed at the gateway's start.
 *
 * @param cluster gateways of another cluster are rejected
 * @param self this gateway
 * @param peers all others that this gateway connects to and accepts
 * @param heartbeatInterval how often a heartbeat is sent on each connection
 * @param heartbeatTimeout without an acknowledged heartbeat for so long a connection is closed
 * @param connectTimeout a connect, or a handshake, that takes longer has failed
 * @param minBackoff before connecting again after the first failure
 * @param maxBackoff after many failures
 * @param maxQueuedMessages messages that may be queued for one peer
 * @param maxQueuedBytes bytes that may be queued for one peer, and bytes that may be written and
 *     not yet taken by the network
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

  /** The longest content of a message, in bytes. */
  public static final int MAX_MESSAGE_BYTES = 1 << 20;

  /** The protocol version that this gateway speaks, and the newest that it understands. */
  public static final int PROTOCOL_VERSION = 1;

  /** The oldest protocol version that this gateway understands. */
  public static final int MIN_PROTOCOL_VERSION = 1;

  static boolean supportsVersion(int version) {
    return version >= MIN_PROTOCOL_VERSION && version <= PROTOCOL_VERSION;
  }
}
