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

/** Converts views and proposals to and from protobuf, for both messages and stored records. */
public final class MembershipCodec {

  private MembershipCodec() {}

  /** Encodes a view without ended incarnations, as sent between gateways. */
  public static ViewRecord encodeView(MembershipView view) {
    return encodeSnapshot(view, Map.of());
  }

  /** Encodes the entire state of a {@link MembershipStateMachine}. */
  static ViewRecord encodeSnapshot(MembershipView view, Map<PeerName, Long> endedIncarnations) {
    ViewRecord.Builder snapshot = ViewRecord.newBuilder().setNumber(view.number());
    view.members().values().forEach(member -> snapshot.addMembers(encodeMember(member)));
    endedIncarnations.forEach(
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

  /** Decodes the view of a message or snapshot. */
  public static MembershipView decodeView(ViewRecord view) {
    Map<PeerName, Member> members = new TreeMap<>();
    for (MemberRecord member : view.getMembersList()) {
      PeerName name = new PeerName(member.getName());
      members.put(
          name, new Member(name, member.getIncarnation(), member.getZone(), member.getWeight()));
    }
    return new MembershipView(view.getNumber(), members);
  }

  /** Replaces the state of the state machine with that of a snapshot. */
  static void restore(MembershipStateMachine stateMachine, ViewRecord snapshot) {
    Map<PeerName, Long> endedIncarnations = new TreeMap<>();
    for (EndedIncarnation ended : snapshot.getEndedList()) {
      endedIncarnations.put(new PeerName(ended.getName()), ended.getIncarnation());
    }
    stateMachine.restore(decodeView(snapshot), endedIncarnations);
  }

  /** Encodes a proposal for a message or log entry. */
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

  /** Decodes the proposal of a message or log entry; an unknown kind becomes a no-op. */
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
