package weldcross.membership;

import java.time.Duration;
import java.util.List;
import weldcross.mesh.PeerName;

/**
 * Immutable configuration of a {@link FailureDetector}.
 *
 * @param self name of this gateway
 * @param peers configured members; further members are discovered through updates
 * @param zone zone of this gateway; empty if zones are not used
 * @param trafficWeight share of all traffic that this gateway serves, in thousandths
 * @param probeInterval time between two probes
 * @param ackTimeout time to wait for an ack before indirect probes are requested
 * @param indirectProbes number of relays asked for an indirect probe
 * @param minSuspicionIntervals timeout of a fully confirmed suspicion, in probe intervals; scaled
 *     by the logarithm of the number of members
 * @param maxSuspicionFactor ratio of the timeout of an unconfirmed suspicion to that of a fully
 *     confirmed one
 * @param maxUpdatesPerMessage maximum number of updates piggybacked on one message
 * @param retransmitFactor number of deliveries of each update; scaled by the logarithm of the
 *     number of members
 */
public record FailureDetectorConfig(
    PeerName self,
    List<PeerName> peers,
    String zone,
    int trafficWeight,
    Duration probeInterval,
    Duration ackTimeout,
    int indirectProbes,
    double minSuspicionIntervals,
    int maxSuspicionFactor,
    int maxUpdatesPerMessage,
    int retransmitFactor) {

  private static final Duration DEFAULT_PROBE_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DEFAULT_ACK_TIMEOUT = Duration.ofMillis(400);
  private static final int DEFAULT_INDIRECT_PROBES = 3;
  private static final double DEFAULT_MIN_SUSPICION_INTERVALS = 4;
  private static final int DEFAULT_MAX_SUSPICION_FACTOR = 6;
  private static final int DEFAULT_MAX_UPDATES_PER_MESSAGE = 12;
  private static final int DEFAULT_RETRANSMIT_FACTOR = 3;

  /** Returns the values of the SWIM and Lifeguard papers, with a probe interval of one second. */
  public static FailureDetectorConfig defaults(
      PeerName self, List<PeerName> peers, String zone, int trafficWeight) {
    return new FailureDetectorConfig(
        self,
        peers,
        zone,
        trafficWeight,
        DEFAULT_PROBE_INTERVAL,
        DEFAULT_ACK_TIMEOUT,
        DEFAULT_INDIRECT_PROBES,
        DEFAULT_MIN_SUSPICION_INTERVALS,
        DEFAULT_MAX_SUSPICION_FACTOR,
        DEFAULT_MAX_UPDATES_PER_MESSAGE,
        DEFAULT_RETRANSMIT_FACTOR);
  }
}
