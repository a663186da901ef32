package weldcross.consensus;

import java.time.Duration;
import java.util.List;
import weldcross.mesh.PeerName;

/**
 * What the agreement is told at the start.
 *
 * @param group the cluster's name and its voters: who is told otherwise belongs to another group
 * @param self this gateway; its part of the traffic in thousandths, its zone (empty where there are
 *     none)
 * @param voters in the same order everywhere; this gateway may be one of them
 * @param period a voter is asked for news of the view in each, and what it did not take is asked
 *     for again
 * @param shareFor a share of the fleet's budgets grows only once a view is known for so long
 * @param trustDisk whether disks never lose what they said was kept, so that a voter that starts
 *     asks nobody
 * @param heartbeat of the leader, in whole seconds
 * @param silence in whole seconds, more than the heartbeat: without a word of the leader for so
 *     long another one is sought
 */
public record ConsensusConfig(
    String group,
    PeerName self,
    String zone,
    int part,
    List<PeerName> voters,
    Duration period,
    Duration shareFor,
    boolean trustDisk,
    Duration heartbeat,
    Duration silence) {

  public boolean isVoter() {
    return voters.contains(self);
  }
}
