package weldcross.consensus.raft;

import io.microraft.statemachine.StateMachine;
import java.util.List;
import java.util.function.Consumer;
import weldcross.consensus.MembershipStateMachine;
import weldcross.consensus.MembershipView;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.wire.ProposalRecord;
import weldcross.consensus.wire.ViewRecord;
import weldcross.mesh.PeerName;

/** Adapts {@link MembershipStateMachine} to the Raft library's replicated state machine. */
final class ReplicatedView implements StateMachine {

  private final PeerName self;
  private final Consumer<MembershipView> onCommit;
  private final MembershipStateMachine stateMachine = new MembershipStateMachine();

  /**
   * Creates the initial state, before the first log entry.
   *
   * @param onCommit called with each new view, including views restored from a snapshot
   */
  ReplicatedView(PeerName self, Consumer<MembershipView> onCommit) {
    this.self = self;
    this.onCommit = onCommit;
  }

  @Override
  public Object runOperation(long index, Object operation) {
    ProposalResult result =
        stateMachine.apply(MembershipCodec.decodeProposal((ProposalRecord) operation));
    if (result == ProposalResult.APPLIED) {
      onCommit.accept(stateMachine.view());
    }
    return result;
  }

  @Override
  public void takeSnapshot(long index, Consumer<Object> chunks) {
    chunks.accept(
        MembershipCodec.encodeSnapshot(stateMachine.view(), stateMachine.endedIncarnations()));
  }

  @Override
  public void installSnapshot(long index, List<Object> chunks) {
    MembershipCodec.restore(stateMachine, (ViewRecord) chunks.get(0));
    onCommit.accept(stateMachine.view());
  }

  @Override
  public Object getNewTermOperation() {
    return MembershipCodec.encodeProposal(Proposal.noOp(self));
  }
}
