package weldcross.consensus.raft;

import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.MembershipView;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.wire.RaftEnvelope;
import weldcross.mesh.PeerName;

/**
 * One node of the Raft library on a voter's store. A voter that is restarted on the same store gets
 * another; of a terminated one nothing is sent, stored or reported any more.
 */
final class VoterNode {

  private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(500);
  private static final int COMMITS_PER_SNAPSHOT = 256;

  /** Takes what a node does; called on the voter's thread. */
  interface Listener {

    void send(PeerName to, RaftEnvelope envelope);

    /** Whether the node may stand for election at present. */
    boolean mayStandForElection();

    void viewCommitted(MembershipView view);

    /** A write to the store failed, after which it takes none; called within the node. */
    void storageFailed(IOException failure);
  }

  /**
   * What a node runs on.
   *
   * @param executor runs all tasks of the node on one thread, in order
   * @param clock that never jumps
   * @param random for election timeouts
   */
  record VoterRuntime(RaftNodeExecutor executor, Clock clock, Random random) {}

  private final VoterId self;
  private final Listener listener;
  private final FailStopRaftStore store;
  private final RaftNode raft;
  private boolean terminated;

  /** Creates a node from what is stored; {@link #start} has it run. */
  VoterNode(
      VoterId self,
      ConsensusConfig config,
      VoterRuntime runtime,
      PersistentRaftStore persistentStore,
      Listener listener) {
    this.self = self;
    this.listener = listener;
    this.store = new FailStopRaftStore(persistentStore, listener::storageFailed);
    this.raft =
        RaftNode.newBuilder()
            .setGroupId(config.group())
            .setRestoredState(persistentStore.restore())
            .setConfig(raftConfig(config))
            .setExecutor(runtime.executor())
            .setTransport(new EnvelopeTransport())
            .setStateMachine(new ReplicatedView(config.self(), this::viewCommitted))
            .setStore(store)
            .setModelFactory(RaftRecordCodec.MODELS)
            .setRandom(runtime.random())
            .setClock(runtime.clock())
            .build();
  }

  private static RaftConfig raftConfig(ConsensusConfig config) {
    return RaftConfig.newBuilder()
        .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT.toMillis())
        .setLeaderHeartbeatPeriodSecs(config.heartbeatPeriod().toSeconds())
        .setLeaderHeartbeatTimeoutSecs(config.leaderTimeout().toSeconds())
        .setCommitCountToTakeSnapshot(COMMITS_PER_SNAPSHOT)
        .build();
  }

  private void viewCommitted(MembershipView view) {
    if (!terminated) {
      listener.viewCommitted(view);
    }
  }

  void start() {
    Future<?> unused = raft.start();
  }

  /** Ends the node; writes that it still makes are dropped. */
  void terminate() {
    terminated = true;
    store.detach();
    Future<?> unused = raft.terminate();
  }

  void handle(RaftMessage message) {
    raft.handle(message);
  }

  /**
   * Has a proposal committed; only the leader can.
   *
   * @param onCommit not called where it fails, after which it may be committed or not
   */
  void replicate(Proposal proposal, Consumer<ProposalResult> onCommit) {
    Future<?> unused =
        raft.<ProposalResult>replicate(MembershipCodec.encodeProposal(proposal))
            .whenComplete(
                (committed, failure) -> {
                  if (failure == null) {
                    onCommit.accept(committed.getResult());
                  }
                });
  }

  /** Whether this node is the leader, as far as it knows. */
  boolean isLeader() {
    return self.equals(raft.getTerm().getLeaderEndpoint());
  }

  /** The leader as far as this node knows; may be called from any thread. */
  Optional<PeerName> leader() {
    return Optional.ofNullable(raft.getTerm().getLeaderEndpoint())
        .map(leader -> ((VoterId) leader).name());
  }

  /** Whether the committed group has this node's identity as a voting member. */
  boolean isVotingMember() {
    return raft.getCommittedMembers().getVotingMembers().contains(self);
  }

  /** The library's node, to look at its term and group. */
  RaftNode raft() {
    return raft;
  }

  /** Sends messages to the other voters. */
  private final class EnvelopeTransport implements Transport {

    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
      boolean standsForElection =
          message instanceof VoteRequest || message instanceof PreVoteRequest;
      if (!terminated && (listener.mayStandForElection() || !standsForElection)) {
        listener.send(((VoterId) to).name(), RaftMessageEncoder.encode(message));
      }
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
      return true;
    }
  }
}
