package weldcross.membership;

import java.time.Duration;
import java.util.List;
import weldcross.mesh.PeerName;

/**
 * Configuration of a {@link FailureDetector}, fixed at its start.
 *
 * @param self this gateway
 * @param peers all members known at the start; others are learnt from updates
 * @param zone this gateway's zone; empty where there are none
 * @param trafficWeight this gateway's part of all traffic, in thousandths
 * @param probeInterval one probe is sent in each
 * @param ackTimeout how long a probe waits for its answer before others are asked to probe
 * @param indirectProbes how many others are asked then
 * @param minSuspicion how long a suspicion lasts when several share it: in probe intervals, times
 *     the logarithm of the number of members
 * @param maxSuspicionFactor times {@code minSuspicion}: how long it lasts when nobody else shares
 *     it
 * @param maxUpdatesPerMessage updates that one message carries
 * @param retransmitFactor each update is passed on so many times the logarithm of the number of
 *     members
 */
public record FailureDetectorConfig(
    PeerName self,
    List<PeerName> peers,
    String zone,
    int trafficWeight,
    Duration probeInterval,
    Duration ackTimeout,
    int indirectProbes,
    double minSuspicion,
    int maxSuspicionFactor,
    int maxUpdatesPerMessage,
    int retransmitFactor) {

  /** The values of the SWIM and Lifeguard papers, with a probe interval of one second. */
  public static FailureDetectorConfig defaults(
      PeerName self, List<PeerName> peers, String zone, int trafficWeight) {
    return new FailureDetectorConfig(
        self,
        peers,
        zone,
        trafficWeight,
        Duration.ofSeconds(1),
        Duration.ofMillis(400),
        3,
        4,
        6,
        12,
        3);
  }
}
