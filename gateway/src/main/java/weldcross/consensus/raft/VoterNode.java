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
 * A node of the Raft library that runs on a voter's store. Restarting the node creates a new
 * instance on the same store; a terminated one sends, stores and reports nothing more.
 */
final class VoterNode {

  private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(500);
  private static final int COMMITS_PER_SNAPSHOT = 256;

  /** Receives the events of a node; called on the voter's thread. */
  interface Listener {

    void send(PeerName to, RaftEnvelope envelope);

    /** Returns whether the node may currently become a candidate. */
    boolean mayBecomeCandidate();

    void viewCommitted(MembershipView view);

    /**
     * Reports a failed write, after which the store rejects writes. Called from within that write,
     * so the node must not be used or terminated before the write has returned.
     */
    void storageFailed(IOException failure);
  }

  /**
   * Runtime environment of a node.
   *
   * @param executor runs all tasks of the node on one thread, in order
   * @param clock monotonic clock
   * @param random source of random election timeouts
   */
  record VoterRuntime(RaftNodeExecutor executor, Clock clock, Random random) {}

  private final VoterId self;
  private final Listener listener;
  private final FailStopRaftStore store;
  private final RaftNode raft;
  private boolean terminated;

  /** Creates a node from the stored state; it is inactive until {@link #start}. */
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
            .setModelFactory(RaftRecordCodec.MODEL_FACTORY)
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

  /** Terminates the node; writes that it still makes are discarded. */
  void terminate() {
    terminated = true;
    store.detach();
    Future<?> unused = raft.terminate();
  }

  void handle(RaftMessage message) {
    raft.handle(message);
  }

  /**
   * Replicates a proposal; succeeds only on the leader.
   *
   * @param onCommit called with the result after the commit; not called on failure, in which case
   *     the proposal may or may not be committed
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

  /** Returns whether this node is the leader, to its own knowledge. */
  boolean isLeader() {
    return self.equals(raft.getTerm().getLeaderEndpoint());
  }

  /** Returns the leader known to this node; may be called from any thread. */
  Optional<PeerName> leader() {
    return Optional.ofNullable(raft.getTerm().getLeaderEndpoint())
        .map(leader -> ((VoterId) leader).name());
  }

  /** Returns whether this node's identity is a voting member of the committed group. */
  boolean isVotingMember() {
    return raft.getCommittedMembers().getVotingMembers().contains(self);
  }

  /** Returns the Raft library's node, for access to its term and group. */
  RaftNode raft() {
    return raft;
  }

  /** Sends the Raft library's messages to the other voters. */
  private final class EnvelopeTransport implements Transport {

    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
      boolean isCandidateRequest =
          message instanceof VoteRequest || message instanceof PreVoteRequest;
      if (!terminated && (listener.mayBecomeCandidate() || !isCandidateRequest)) {
        listener.send(((VoterId) to).name(), RaftMessageEncoder.encode(message));
      }
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
      return true;
    }
  }
}
