package weldcross.consensus.raft;

import java.util.List;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.wire.ConsensusMessage;
import weldcross.consensus.wire.RaftEnvelope;
import weldcross.consensus.wire.RecoveryQuery;
import weldcross.consensus.wire.RecoveryReply;
import weldcross.mesh.PeerName;

/** Sends a voter's messages to the other voters of its group. */
final class VoterMessenger {

  private final String group;
  private final List<PeerName> otherVoters;
  private final RaftVoterActions actions;

  VoterMessenger(ConsensusConfig config, RaftVoterActions actions) {
    this.group = config.group();
    this.otherVoters =
        config.voters().stream().filter(voter -> !voter.equals(config.self())).toList();
    this.actions = actions;
  }

  /** Returns whether a gateway is another voter of the group. */
  boolean isOtherVoter(PeerName name) {
    return otherVoters.contains(name);
  }

  /**
   * Sends a recovery query to all other voters.
   *
   * @param identity identity of this voter; empty if it has none
   */
  void sendRecoveryQuery(String identity) {
    sendToOthers(
        message().setRecoveryQuery(RecoveryQuery.newBuilder().setIdentity(identity)).build());
  }

  /** Sends an admission request to all other voters; only the leader acts on it. */
  void sendAdmissionRequest(VoterId identity) {
    sendToOthers(message().setAdmissionRequest(identity.getId()).build());
  }

  void sendRecoveryReply(PeerName to, RecoveryReply reply) {
    actions.send(to, message().setRecoveryReply(reply).build());
  }

  void sendRaft(PeerName to, RaftEnvelope envelope) {
    actions.send(to, message().setRaft(envelope).build());
  }

  private ConsensusMessage.Builder message() {
    return ConsensusMessage.newBuilder().setGroup(group);
  }

  private void sendToOthers(ConsensusMessage message) {
    otherVoters.forEach(voter -> actions.send(voter, message));
  }
}
