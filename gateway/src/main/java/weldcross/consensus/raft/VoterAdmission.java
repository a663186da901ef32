package weldcross.consensus.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.report.RaftGroupMembers;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.logging.Level;

/**
 * Replaces the identity of a voter that lost its log, on the leader: the old identity is removed
 * first, then the new one is added. Only one change of the group is made at a time; the voter asks
 * again until it votes, so a change that fails is simply made again.
 */
final class VoterAdmission {

  private final RaftNode node;
  private final RaftVoterActions actions;

  VoterAdmission(RaftNode node, RaftVoterActions actions) {
    this.node = node;
    this.actions = actions;
  }

  /** Makes the next change by which this identity becomes a voter; none while one is under way. */
  void admit(VoterId candidate) {
    RaftGroupMembers group = node.getCommittedMembers();
    if (group.getLogIndex() != node.getEffectiveMembers().getLogIndex()) {
      return;
    }
    Optional<VoterId> member = memberOfSameName(group, candidate);
    if (member.isEmpty()) {
      // The next call makes it again if it fails.
      Future<?> unused =
          node.changeMembership(
              candidate, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, group.getLogIndex());
    } else if (!member.get().equals(candidate)) {
      actions.log(
          Level.WARNING,
          "voter lost its log and is replaced: voter="
              + member.get()
              + " replacement="
              + candidate);
      Future<?> unused =
          node.changeMembership(
              member.get(), MembershipChangeMode.REMOVE_MEMBER, group.getLogIndex());
    }
  }

  private static Optional<VoterId> memberOfSameName(RaftGroupMembers group, VoterId candidate) {
    for (RaftEndpoint endpoint : group.getMembers()) {
      VoterId member = (VoterId) endpoint;
      if (member.name().equals(candidate.name())) {
        return Optional.of(member);
      }
    }
    return Optional.empty();
  }
}
