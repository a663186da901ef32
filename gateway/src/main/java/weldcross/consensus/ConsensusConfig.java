package weldcross.consensus;

import java.time.Duration;
import java.util.List;
import weldcross.mesh.PeerName;

/**
 * Consensus configuration of one gateway; immutable once the gateway has started.
 *
 * @param group cluster name and voter list; gateways reject messages of other groups
 * @param self name of this gateway
 * @param zone availability zone of this gateway; empty if zones are not used
 * @param weight traffic weight of this gateway in thousandths
 * @param voters all voters, in the same order on every gateway; may include this one
 * @param requestPeriod interval between requests for the latest view; unanswered requests are
 *     retried at this interval
 * @param quotaGrowthDelay how long a view must have been known before it may increase this
 *     gateway's share of the fleet's budgets
 * @param trustStorage whether storage never loses data it reported as durable; if so, a restarted
 *     voter resumes without querying the other voters
 * @param heartbeatPeriod interval between the leader's heartbeats, in whole seconds
 * @param leaderTimeout time without a heartbeat after which the leader is replaced, in whole
 *     seconds; longer than the heartbeat period
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

  /** Returns whether this gateway is a voter. */
  public boolean isVoter() {
    return voters.contains(self);
  }
}
