package weldcross.consensus.raft;

import java.util.Map;
import java.util.TreeMap;
import weldcross.consensus.Member;
import weldcross.consensus.MembershipStateMachine;
import weldcross.consensus.MembershipView;
import weldcross.consensus.Proposal;
import weldcross.consensus.wire.EndedIncarnation;
import weldcross.consensus.wire.MemberRecord;
import weldcross.consensus.wire.ProposalRecord;
import weldcross.consensus.wire.ViewRecord;
import weldcross.mesh.PeerName;

/** Maps views and proposals to and from protobuf, for messages and stored records alike. */
public final class MembershipCodec {

  private MembershipCodec() {}

  /** A view without the incarnations that have ended, as gateways send it. */
  public static ViewRecord encodeView(MembershipView view) {
    return encodeSnapshot(view, Map.of());
  }

  /** The whole state of a {@link MembershipStateMachine}. */
  static ViewRecord encodeSnapshot(MembershipView view, Map<PeerName, Long> ended) {
    ViewRecord.Builder snapshot = ViewRecord.newBuilder().setNumber(view.number());
    view.members().values().forEach(member -> snapshot.addMembers(encodeMember(member)));
    ended.forEach(
        (name, incarnation) ->
            snapshot.addEnded(
                EndedIncarnation.newBuilder().setName(name.name()).setIncarnation(incarnation)));
    return snapshot.build();
  }

  private static MemberRecord encodeMember(Member member) {
    return MemberRecord.newBuilder()
        .setName(member.name().name())
        .setIncarnation(member.incarnation())
        .setZone(member.zone())
        .setWeight(member.weight())
        .build();
  }

  /** The view of a message or snapshot. */
  public static MembershipView decodeView(ViewRecord view) {
    Map<PeerName, Member> members = new TreeMap<>();
    for (MemberRecord each : view.getMembersList()) {
      PeerName name = new PeerName(each.getName());
      members.put(name, new Member(name, each.getIncarnation(), each.getZone(), each.getWeight()));
    }
    return new MembershipView(view.getNumber(), members);
  }

  /** Replaces the state of the state machine by that of a snapshot. */
  static void restore(MembershipStateMachine stateMachine, ViewRecord snapshot) {
    Map<PeerName, Long> ended = new TreeMap<>();
    for (EndedIncarnation each : snapshot.getEndedList()) {
      ended.put(new PeerName(each.getName()), each.getIncarnation());
    }
    stateMachine.restore(decodeView(snapshot), ended);
  }

  /** A proposal as it is sent and stored. */
  public static ProposalRecord encodeProposal(Proposal proposal) {
    return ProposalRecord.newBuilder()
        .setKind(proposal.kind().wireName())
        .setMember(proposal.member().name())
        .setIncarnation(proposal.incarnation())
        .setZone(proposal.zone())
        .setWeight(proposal.weight())
        .setProposer(proposal.proposer().name())
        .setExpectedViewNumber(proposal.expectedViewNumber())
        .build();
  }

  /** The proposal of a message or log entry; one of an unknown kind changes nothing. */
  public static Proposal decodeProposal(ProposalRecord proposal) {
    return new Proposal(
        Proposal.Kind.fromWireName(proposal.getKind()).orElse(Proposal.Kind.NO_OP),
        new PeerName(proposal.getMember()),
        proposal.getIncarnation(),
        proposal.getZone(),
        proposal.getWeight(),
        new PeerName(proposal.getProposer()),
        proposal.getExpectedViewNumber());
  }
}
