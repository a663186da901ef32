package weldcross.consensus.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.report.RaftGroupMembers;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.logging.Level;

/**
 * Replaces, on the leader, the identity of a voter that lost its log: the old identity is removed
 * first, then the new one is added. Group changes are made one at a time; the voter repeats its
 * request until it votes, so a failed change is retried with the next request.
 */
final class VoterAdmission {

  private final RaftNode node;
  private final RaftVoterActions actions;

  VoterAdmission(RaftNode node, RaftVoterActions actions) {
    this.node = node;
    this.actions = actions;
  }

  /** Starts the next group change towards admitting this identity, unless one is in progress. */
  void admit(VoterId candidate) {
    RaftGroupMembers group = node.getCommittedMembers();
    if (group.getLogIndex() != node.getEffectiveMembers().getLogIndex()) {
      return;
    }
    Optional<VoterId> member = memberWithSameName(group, candidate);
    if (member.isEmpty()) {
      // The result is ignored: a failed change is retried with the next request.
      Future<?> unused =
          node.changeMembership(
              candidate, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, group.getLogIndex());
    } else if (!member.get().equals(candidate)) {
      actions.log(
          Level.WARNING,
          "replacing identity of voter that lost its log: voter="
              + member.get()
              + " replacement="
              + candidate);
      Future<?> unused =
          node.changeMembership(
              member.get(), MembershipChangeMode.REMOVE_MEMBER, group.getLogIndex());
    }
  }

  private static Optional<VoterId> memberWithSameName(RaftGroupMembers group, VoterId candidate) {
    for (RaftEndpoint endpoint : group.getMembers()) {
      VoterId member = (VoterId) endpoint;
      if (member.name().equals(candidate.name())) {
        return Optional.of(member);
      }
    }
    return Optional.empty();
  }
}
