package weldcross.membership;

import java.time.Duration;
import java.util.List;
import weldcross.mesh.PeerName;

/**
 * What the seeing of others is told at the start.
 *
 * @param peers all that are known of at the start; others are learnt of
 * @param period one probe is sent in each, if all is well here
 * @param answerWithin a probe's answer, before others are asked to try
 * @param helpers how many are asked then
 * @param shortestDoubt in periods, times the logarithm of the number of gateways: how long a
 *     suspect may still speak when others suspect it too
 * @param longestDoubt times that, when nobody else does
 * @param mostNews that one message carries
 * @param spread each news is passed on so many times the logarithm of the number of gateways
 */
public record FailureDetectorConfig(
    PeerName self,
    List<PeerName> peers,
    String zone,
    int part,
    Duration period,
    Duration answerWithin,
    int helpers,
    double shortestDoubt,
    int longestDoubt,
    int mostNews,
    int spread) {

  /** As the papers have them, with a period of a second. */
  public static FailureDetectorConfig usual(
      PeerName self, List<PeerName> peers, String zone, int part) {
    return new FailureDetectorConfig(
        self, peers, zone, part, Duration.ofSeconds(1), Duration.ofMillis(400), 3, 4, 6, 12, 3);
  }
}
