package weldcross.consensus;

import java.time.Duration;
import java.util.List;
import weldcross.mesh.PeerName;

/**
 * Configuration of the consensus of one gateway, fixed from its start on.
 *
 * @param group name of the cluster and its voters; gateways of different groups reject each other's
 *     messages
 * @param self this gateway
 * @param zone where this gateway stands; empty where there are no zones
 * @param weight traffic weight of this gateway in thousandths
 * @param voters in the same order on all gateways; may include this one
 * @param requestPeriod between two requests for the latest view; what was not answered is requested
 *     again
 * @param quotaGrowthDelay for which a view must be known before this gateway's share of the fleet's
 *     budgets grows by it
 * @param trustStorage whether storage never loses what it reported as durable, so that a restarted
 *     voter asks nobody
 * @param heartbeatPeriod of the leader, in whole seconds
 * @param leaderTimeout after which a silent leader is replaced, in whole seconds; longer than the
 *     heartbeat period
 */
public record ConsensusConfig(
    String group,
    PeerName self,
    String zone,
    int weight,
    List<PeerName> voters,
    Duration requestPeriod,
    Duration quotaGrowthDelay,
    boolean trustStorage,
    Duration heartbeatPeriod,
    Duration leaderTimeout) {

  /** Whether this gateway is one of the voters. */
  public boolean isVoter() {
    return voters.contains(self);
  }
}
