package weldcross.consensus.raft;

import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.MembershipView;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalOutcome;
import weldcross.consensus.VoterRecovery;
import weldcross.consensus.wire.ConsensusMessage;
import weldcross.consensus.wire.RaftEnvelope;
import weldcross.consensus.wire.RecoveryReply;
import weldcross.mesh.PeerName;
import weldcross.storage.CorruptLogException;

/**
 * A voter: a node of the Raft library (MicroRaft) with its storage and its messages.
 *
 * <p>Before the voter sends anything under its identity, {@link VoterRecovery} compares its log
 * with the replies of the other voters. While its log may lack entries, it grants its vote only to
 * candidates that have all of them, and never becomes a candidate.
 *
 * <p>All tasks run on the executor's single thread. Methods may only be called on that thread
 * unless stated otherwise.
 */
public final class RaftVoter {

  /** Phases of a voter. */
  public enum Phase {
    /** Its storage is being opened, or reopened after a failure. */
    OPENING,
    /** It queries the other voters to detect whether its log is complete. */
    ASKING,
    /** It has a new identity that the leader has not admitted yet. */
    JOINING,
    /** Its log may lack acknowledged entries, and is catching up. */
    LEARNING,
    /** It participates in elections and commits. */
    VOTING,
    /** It has been stopped. */
    ENDED
  }

  /** Interval between recovery queries, and between admission requests. */
  private static final Duration QUERY_PERIOD = Duration.ofMillis(500);

  private static final Duration STORAGE_RETRY_DELAY = Duration.ofSeconds(1);

  /** Number of unsuccessful queries between two logged warnings. */
  private static final int QUERIES_PER_WARNING = 20;

  private final ConsensusConfig config;
  private final RaftNodeExecutor executor;
  private final VoterNode.VoterRuntime runtime;
  private final LongSupplier nonces;
  private final RaftVoterActions actions;
  private final LeaderWatchdog leaderWatchdog;
  private final VoterMessenger messenger;
  private final VoterStorage storage = new VoterStorage();
  private final AcknowledgementHistory history = new AcknowledgementHistory();
  private volatile VoterNode node;
  private volatile Phase phase = Phase.OPENING;
  private VoterId self;
  private VoterRecovery recovery;
  private String loggedFailure;

  /** Incremented for each node, to ignore tasks scheduled for an earlier one. */
  private int generation;

  private int queryCount;
  private int highestRepliedTerm;

  /** Whether the stored log belongs to an identity that is no longer a voter. */
  private boolean identityReplaced;

  /** Whether there is a stored log that cannot be used. */
  private boolean logUnusable;

  /**
   * Creates a voter, which is inactive until {@link #start}.
   *
   * @param executor runs all tasks of this voter on one thread, in order
   * @param clock monotonic clock for the Raft library's timeouts
   * @param random source of the Raft library's random election timeouts
   * @param nonces generates the nonces of new identities, which must be unique across all processes
   *     of all voters
   */
  public RaftVoter(
      ConsensusConfig config,
      RaftNodeExecutor executor,
      Clock clock,
      Random random,
      LongSupplier nonces,
      RaftVoterActions actions) {
    this.config = config;
    this.executor = executor;
    this.leaderWatchdog = new LeaderWatchdog(clock, config.leaderTimeout());
    this.runtime = new VoterNode.VoterRuntime(executor, clock, random);
    this.nonces = nonces;
    this.actions = actions;
    this.messenger = new VoterMessenger(config, actions);
  }

  /** Opens the storage and starts the recovery; called once, from any thread. */
  public void start() {
    executor.execute(this::open);
  }

  /** Stops the voter permanently; may be called from any thread. */
  public void stop() {
    executor.execute(
        () -> {
          phase = Phase.ENDED;
          close();
        });
  }

  private void close() {
    generation++;
    if (node != null) {
      node.terminate();
      node = null;
    }
    storage.close();
  }

  private void open() {
    if (phase == Phase.ENDED) {
      return;
    }
    VoterRecovery.LogSummary summary = VoterRecovery.LogSummary.NONE;
    boolean corrupt = false;
    try {
      summary = openStore();
    } catch (CorruptLogException e) {
      // The log is discarded and replicated from the other voters under a new identity.
      corrupt = true;
      actions.log(Level.SEVERE, "voter log corrupt, not used: reason=" + e.getMessage());
    } catch (IOException e) {
      storageFailed(e);
      return;
    }
    self = summary.identity().map(VoterId::parse).orElse(null);
    logUnusable = corrupt || identityReplaced;
    recovery =
        new VoterRecovery(config.voters().size(), config.trustStorage(), summary, logUnusable);
    phase = Phase.ASKING;
    queryCount = 0;
    applyDecision();
    queryPeriodically(generation);
  }

  private VoterRecovery.LogSummary openStore() throws IOException {
    PersistentRaftStore store = storage.open(actions.openDirectory());
    if (store.tornBytes() > 0) {
      actions.log(
          Level.WARNING,
          "voter log repaired, incomplete write truncated: tornBytes=" + store.tornBytes());
    }
    return identityReplaced ? VoterRecovery.LogSummary.NONE : store.summary();
  }

  /**
   * Reopens the storage after a delay. The failed write may or may not be durable, so the log is
   * read and compared with the other voters again.
   */
  private void storageFailed(IOException failure) {
    String reason = String.valueOf(failure.getMessage());
    if (!reason.equals(loggedFailure)) {
      loggedFailure = reason;
      actions.log(
          Level.SEVERE, "voter storage failed, not voting until it recovers: reason=" + reason);
    }
    if (phase != Phase.ENDED) {
      phase = Phase.OPENING;
      close();
      executor.schedule(this::open, STORAGE_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Queries the other voters. Queries continue while this voter catches up, because the voter that
   * had the missing entries may lose them, and while it votes without a leader, because another
   * identity may have replaced it.
   */
  private void queryPeriodically(int queriedGeneration) {
    if (phase == Phase.ENDED || generation != queriedGeneration) {
      return;
    }
    executor.schedule(
        () -> queryPeriodically(queriedGeneration), QUERY_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    if (hasLostLeader()) {
      restartNode();
      return;
    }
    if (phase == Phase.JOINING || (phase == Phase.VOTING && leader().isPresent())) {
      return;
    }
    messenger.sendRecoveryQuery(ownIdentity());
    queryCount++;
    if (queryCount % QUERIES_PER_WARNING == 0) {
      logWaiting();
    }
  }

  private boolean hasLostLeader() {
    return node != null && phase != Phase.JOINING && !node.isLeader() && leaderWatchdog.isExpired();
  }

  private void logWaiting() {
    actions.log(
        Level.WARNING,
        phase == Phase.VOTING
            ? "voter has no known leader: voter=" + self
            : "voter is waiting for replies before it votes: " + recovery.describe());
  }

  private void applyDecision() {
    try {
      switch (recovery.decision()) {
        case FOUND_GROUP -> {
          self = VoterId.founder(config.self());
          initializeStore(true, recovery.highestTerm());
          startNode(Phase.VOTING);
        }
        case RESUME -> startNode(Phase.VOTING);
        case CATCH_UP -> {
          storage.store().recordSelfVote(recovery.highestTerm(), self);
          startNode(Phase.LEARNING);
        }
        case NEW_IDENTITY -> {
          self = new VoterId(config.self(), nonces.getAsLong());
          storage.recreate();
          identityReplaced = false;
          initializeStore(false, 0);
          startNode(Phase.JOINING);
          requestAdmissionPeriodically(generation);
        }
        case UNDECIDED -> {
          // More replies are needed.
        }
      }
    } catch (IOException e) {
      storageFailed(e);
    }
  }

  private void initializeStore(boolean voting, int votedTerm) throws IOException {
    List<String> founders =
        config.voters().stream().map(voter -> VoterId.founder(voter).getId()).toList();
    storage.store().initialize(self, founders, voting, votedTerm);
  }

  private void startNode(Phase nextPhase) {
    logStart();
    loggedFailure = null;
    leaderWatchdog.reset();
    phase = nextPhase;
    node = new VoterNode(self, config, runtime, storage.store(), new NodeListener());
    node.start();
    voteIfCaughtUp();
  }

  private void logStart() {
    VoterRecovery.Decision decision = recovery.decision();
    boolean mayHaveLostData =
        decision == VoterRecovery.Decision.NEW_IDENTITY
            || decision == VoterRecovery.Decision.CATCH_UP;
    String reason = recovery.reason().isEmpty() ? "" : " reason=" + recovery.reason();
    actions.log(
        mayHaveLostData ? Level.WARNING : Level.INFO,
        "voter started: voter=" + self + " decision=" + decision + reason);
  }

  /** Replaces the node with a new one on the same store. */
  private void restartNode() {
    actions.log(
        Level.INFO, "voter node restarted: voter=" + self + " reason=no message from a leader");
    generation++;
    node.terminate();
    try {
      storage.store().flush();
      storage.store().recordSelfVote(highestRepliedTerm, self);
      startNode(phase);
      queryPeriodically(generation);
    } catch (IOException e) {
      storageFailed(e);
    }
  }

  /** Restarts the recovery: reads the store and queries the other voters again. */
  private void reopen() {
    close();
    phase = Phase.OPENING;
    open();
  }

  private void requestAdmissionPeriodically(int requestedGeneration) {
    if (generation != requestedGeneration || phase != Phase.JOINING) {
      return;
    }
    messenger.sendAdmissionRequest(self);
    executor.schedule(
        () -> requestAdmissionPeriodically(requestedGeneration),
        QUERY_PERIOD.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void voteIfCaughtUp() {
    boolean admitted = phase == Phase.JOINING && node.isVotingMember();
    if (admitted || (phase == Phase.LEARNING && hasCaughtUp())) {
      phase = Phase.VOTING;
      actions.log(Level.INFO, "voter caught up and votes: voter=" + self);
    }
  }

  private boolean hasCaughtUp() {
    return recovery.localLogChanged(storage.summary()) == VoterRecovery.Decision.RESUME;
  }

  /** Handles a message of another gateway; may be called from any thread. */
  public void receive(PeerName from, ConsensusMessage message) {
    executor.execute(
        () -> {
          if (phase == Phase.ENDED || !message.getGroup().equals(config.group())) {
            return;
          }
          switch (message.getKindCase()) {
            case RAFT -> receiveRaft(from, message.getRaft());
            case RECOVERY_QUERY ->
                sendRecoveryReply(from, message.getRecoveryQuery().getIdentity());
            case RECOVERY_REPLY -> receiveRecoveryReply(from, message.getRecoveryReply());
            case ADMISSION_REQUEST -> admit(VoterId.parse(message.getAdmissionRequest()));
            default -> {
              // Not addressed to a voter, or sent by a later version.
            }
          }
        });
  }

  private void receiveRaft(PeerName from, RaftEnvelope envelope) {
    if (node == null) {
      return;
    }
    RaftMessage message = RaftMessageDecoder.decode(envelope, config.group()).orElse(null);
    if (message == null || !((VoterId) message.getSender()).name().equals(from)) {
      return;
    }
    if (message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest) {
      leaderWatchdog.reset();
    }
    history.record(message, storage.store()::termAt);
    if (phase == Phase.LEARNING
        && ElectionFilter.mayElectIncompleteLog(message, recovery.target())) {
      return;
    }
    node.handle(message);
    executor.submit(
        () -> {
          if (node != null) {
            voteIfCaughtUp();
          }
        });
  }

  private void sendRecoveryReply(PeerName to, String identity) {
    if (phase == Phase.OPENING) {
      return;
    }
    RecoveryReplyCodec.LocalState state =
        new RecoveryReplyCodec.LocalState(
            Optional.ofNullable(self),
            Optional.ofNullable(node).map(VoterNode::raft),
            storage.summary(),
            self != null && phase != Phase.JOINING,
            logUnusable,
            history);
    messenger.sendRecoveryReply(to, RecoveryReplyCodec.encode(identity, state));
  }

  private void receiveRecoveryReply(PeerName from, RecoveryReply reply) {
    // Replies to an earlier process that queried under another identity are ignored.
    if (phase == Phase.OPENING
        || phase == Phase.JOINING
        || !reply.getIdentity().equals(ownIdentity())
        || !messenger.isOtherVoter(from)) {
      return;
    }
    highestRepliedTerm = Math.max(highestRepliedTerm, reply.getTerm());
    if (phase == Phase.LEARNING) {
      recovery.localLogChanged(storage.summary());
    }
    recovery.replyReceived(from, RecoveryReplyCodec.decode(reply));
    if (phase == Phase.VOTING) {
      if (reply.getHasLog() && reply.getUnknownIdentity()) {
        actions.log(
            Level.WARNING, "voter identity is no longer a member of the group: voter=" + self);
        identityReplaced = true;
        reopen();
      }
    } else if (phase == Phase.ASKING) {
      applyDecision();
    } else if (recovery.decision() == VoterRecovery.Decision.NEW_IDENTITY) {
      reopen();
    } else {
      voteIfCaughtUp();
    }
  }

  private void admit(VoterId candidate) {
    if (node != null && node.isLeader() && config.voters().contains(candidate.name())) {
      new VoterAdmission(node.raft(), actions).admit(candidate);
    }
  }

  /**
   * Proposes a change; may be called from any thread. The reply, which may never come, is passed to
   * {@link RaftVoterActions#proposalAnswered} together with the proposer and the number.
   *
   * @param proposer gateway that receives the reply
   * @param number identifies the proposal to the proposer
   */
  public void propose(PeerName proposer, long number, Proposal proposal) {
    executor.execute(
        () -> {
          if (node == null || !node.isLeader()) {
            actions.proposalAnswered(proposer, number, new ProposalOutcome.NotLeader(leader()));
            return;
          }
          node.replicate(
              proposal,
              result ->
                  actions.proposalAnswered(
                      proposer, number, new ProposalOutcome.Committed(result, leader())));
        });
  }

  private String ownIdentity() {
    return self == null ? "" : self.getId();
  }

  /** Returns the leader known to this voter; may be called from any thread. */
  public Optional<PeerName> leader() {
    return Optional.ofNullable(node).flatMap(VoterNode::leader);
  }

  /** Returns the phase of this voter; may be called from any thread. */
  public Phase phase() {
    return phase;
  }

  /** Returns a one-line summary for the log; called on the voter's thread. */
  public String describe() {
    return "phase="
        + phase
        + " voter="
        + self
        + " log="
        + storage.summary()
        + " leader="
        + leader().map(PeerName::name).orElse("none")
        + (recovery == null ? "" : " " + recovery.describe());
  }

  /** Handles the events of the current node. */
  private final class NodeListener implements VoterNode.Listener {

    @Override
    public void send(PeerName to, RaftEnvelope envelope) {
      messenger.sendRaft(to, envelope);
    }

    @Override
    public boolean mayBecomeCandidate() {
      return phase == Phase.VOTING;
    }

    @Override
    public void viewCommitted(MembershipView view) {
      actions.viewCommitted(view);
    }

    /** Handles the failure in a new task, after the node's failed call has returned. */
    @Override
    public void storageFailed(IOException failure) {
      int failedGeneration = generation;
      executor.execute(
          () -> {
            if (generation == failedGeneration) {
              RaftVoter.this.storageFailed(failure);
            }
          });
    }
  }
}
