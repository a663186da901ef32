package weldcross.consensus.net;

import java.util.Optional;
import weldcross.consensus.MembershipView;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalOutcome;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.raft.MembershipCodec;
import weldcross.consensus.wire.ConsensusMessage;
import weldcross.consensus.wire.ProposalReply;
import weldcross.consensus.wire.ProposalRequest;
import weldcross.consensus.wire.ViewReply;
import weldcross.mesh.PeerName;

/**
 * Creates the view and proposal messages of one group, and decodes the fields of such messages that
 * protobuf represents as plain strings.
 */
final class MessageFactory {

  private final String group;

  MessageFactory(String group) {
    this.group = group;
  }

  ConsensusMessage viewRequest(long knownNumber) {
    return message().setViewRequest(knownNumber).build();
  }

  /** Creates a view reply; the view is empty if the receiver already has the latest one. */
  ConsensusMessage viewReply(Optional<MembershipView> view, Optional<PeerName> leader) {
    ViewReply.Builder reply = ViewReply.newBuilder().setLeader(encodeName(leader));
    view.map(MembershipCodec::encodeView).ifPresent(reply::setView);
    return message().setViewReply(reply).build();
  }

  ConsensusMessage proposalRequest(long number, Proposal proposal) {
    return message()
        .setProposalRequest(
            ProposalRequest.newBuilder()
                .setNumber(number)
                .setProposal(MembershipCodec.encodeProposal(proposal)))
        .build();
  }

  ConsensusMessage proposalReply(long number, ProposalOutcome outcome) {
    String result =
        outcome instanceof ProposalOutcome.Committed committed ? committed.result().wireName() : "";
    return message()
        .setProposalReply(
            ProposalReply.newBuilder()
                .setNumber(number)
                .setResult(result)
                .setLeader(encodeName(outcome.leader())))
        .build();
  }

  private ConsensusMessage.Builder message() {
    return ConsensusMessage.newBuilder().setGroup(group);
  }

  /** Decodes an outcome; an unknown result is treated as no result, so the proposal is retried. */
  static ProposalOutcome decodeOutcome(ProposalReply reply) {
    Optional<PeerName> leader = decodeName(reply.getLeader());
    Optional<ProposalResult> result = ProposalResult.fromWireName(reply.getResult());
    return result.isPresent()
        ? new ProposalOutcome.Committed(result.get(), leader)
        : new ProposalOutcome.NotLeader(leader);
  }

  /** Decodes a gateway name; empty for the empty string. */
  static Optional<PeerName> decodeName(String name) {
    return name.isEmpty() ? Optional.empty() : Optional.of(new PeerName(name));
  }

  private static String encodeName(Optional<PeerName> name) {
    return name.map(PeerName::name).orElse("");
  }
}
