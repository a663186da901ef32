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
 * One voter: a node of the consensus library (MicroRaft) with its storage and its messages.
 *
 * <p>Before it sends anything under its identity, {@link VoterRecovery} has compared its log with
 * what the other voters know. While its log may lack entries it grants its vote only to candidates
 * that have all of them, and never stands for election.
 *
 * <p>Everything runs on the executor's one thread; only {@link #leader} and {@link #phase} may be
 * called from others.
 */
public final class RaftVoter {

  /** The phases of a voter. */
  public enum Phase {
    /** Its storage is being read, or failed and is opened again. */
    OPENING,
    /** It asks the other voters what they know of it. */
    ASKING,
    /** It has a new identity that the leader has yet to admit. */
    JOINING,
    /** Its log may lack entries that it has acknowledged. */
    LEARNING,
    /** It takes part in elections and commits. */
    VOTING,
    /** It has been ended. */
    ENDED
  }

  /** Between two queries, and between two requests for admission. */
  private static final Duration QUERY_PERIOD = Duration.ofMillis(500);

  private static final Duration STORAGE_RETRY_DELAY = Duration.ofSeconds(1);

  /** A voter that waits logs a warning once in so many queries. */
  private static final int QUERIES_PER_WARNING = 20;

  private final ConsensusConfig config;
  private final RaftNodeExecutor executor;
  private final VoterNode.VoterRuntime runtime;
  private final LongSupplier nonces;
  private final RaftVoterActions actions;
  private final LeaderWatch leaderWatch;
  private final VoterMessenger messenger;
  private final VoterStorage storage = new VoterStorage();
  private final AcknowledgementHistory history = new AcknowledgementHistory();
  private volatile VoterNode node;
  private volatile Phase phase = Phase.OPENING;
  private VoterId self;
  private VoterRecovery recovery;
  private String loggedFailure;

  /** Grows with each node; what was scheduled for an earlier one does nothing. */
  private int generation;

  private int queries;
  private int highestTermHeard;

  /** Whether the stored log belongs to an identity that is no voter any more. */
  private boolean identityReplaced;

  /** Whether there is a stored log that is not used. */
  private boolean logUnusable;

  /**
   * Creates a voter that has yet to be started.
   *
   * @param executor runs all tasks of this voter on one thread, in order
   * @param clock that never jumps, for the library's timeouts
   * @param random for the library's election timeouts
   * @param nonces of new identities; no value twice, over all processes of all voters
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
    this.leaderWatch = new LeaderWatch(clock, config.leaderTimeout());
    this.runtime = new VoterNode.VoterRuntime(executor, clock, random);
    this.nonces = nonces;
    this.actions = actions;
    this.messenger = new VoterMessenger(config, actions);
  }

  /** Opens the storage and begins the recovery; may be called from any thread, once. */
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
      // Nothing in it is trusted: the log is fetched from the others, under a new identity.
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
    queries = 0;
    applyDecision();
    queryPeriodically(generation);
  }

  private VoterRecovery.LogSummary openStore() throws IOException {
    PersistentRaftStore store = storage.open(actions.openDirectory());
    if (store.tornBytes() > 0) {
      actions.log(
          Level.WARNING, "voter log repaired, torn end cut: tornBytes=" + store.tornBytes());
    }
    return identityReplaced ? VoterRecovery.LogSummary.NONE : store.summary();
  }

  /** What was written may be durable or not: the log is read and compared with the others anew. */
  private void storageFailed(IOException failure) {
    String reason = String.valueOf(failure.getMessage());
    if (!reason.equals(loggedFailure)) {
      loggedFailure = reason;
      actions.log(
          Level.SEVERE, "voter storage failed, not voting until it works: reason=" + reason);
    }
    if (phase != Phase.ENDED) {
      phase = Phase.OPENING;
      close();
      executor.schedule(this::open, STORAGE_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Asks the other voters what they know of this one. It also does so while it catches up, as what
   * it waits for may be lost by whoever had it, and while it votes without a leader, as another
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
    messenger.sendRecoveryQuery(selfId());
    if (++queries % QUERIES_PER_WARNING == 0) {
      logWaiting();
    }
  }

  private boolean hasLostLeader() {
    return node != null && phase != Phase.JOINING && !node.isLeader() && leaderWatch.isExpired();
  }

  private void logWaiting() {
    actions.log(
        Level.WARNING,
        phase == Phase.VOTING
            ? "voter knows of no leader: voter=" + self
            : "voter waits for replies before it votes: " + recovery.describe());
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
          storage.store().useUpTerm(recovery.highestTerm(), self);
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

  private void initializeStore(boolean voting, int usedTerm) throws IOException {
    List<String> founders =
        config.voters().stream().map(voter -> VoterId.founder(voter).getId()).toList();
    storage.store().initialize(self, founders, voting, usedTerm);
  }

  private void startNode(Phase next) {
    logStart();
    loggedFailure = null;
    leaderWatch.reset();
    phase = next;
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

  /** Starts a new node on the same store. */
  private void restartNode() {
    actions.log(Level.INFO, "voter node restarted: voter=" + self + " reason=no leader heard");
    generation++;
    node.terminate();
    try {
      storage.store().flush();
      storage.store().useUpTerm(highestTermHeard, self);
      startNode(phase);
      queryPeriodically(generation);
    } catch (IOException e) {
      storageFailed(e);
    }
  }

  /** Reads the store and asks the others anew. */
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

  /** Takes a message of another gateway; may be called from any thread. */
  public void receive(PeerName from, ConsensusMessage message) {
    executor.execute(
        () -> {
          if (phase == Phase.ENDED || !message.getGroup().equals(config.group())) {
            return;
          }
          switch (message.getKindCase()) {
            case RAFT -> receiveRaft(from, message.getRaft());
            case RECOVERY_QUERY -> reply(from, message.getRecoveryQuery().getIdentity());
            case RECOVERY_REPLY -> receiveReply(from, message.getRecoveryReply());
            case ADMISSION_REQUEST -> admit(VoterId.parse(message.getAdmissionRequest()));
            default -> {
              // Not for a voter, or of a later version.
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
      leaderWatch.reset();
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

  private void reply(PeerName from, String identity) {
    if (phase == Phase.OPENING) {
      return;
    }
    RecoveryReplies.Knowledge knowledge =
        new RecoveryReplies.Knowledge(
            Optional.ofNullable(self),
            Optional.ofNullable(node).map(VoterNode::raft),
            storage.summary(),
            self != null && phase != Phase.JOINING,
            logUnusable,
            history);
    messenger.sendRecoveryReply(from, RecoveryReplies.create(identity, knowledge));
  }

  private void receiveReply(PeerName from, RecoveryReply reply) {
    // A reply to an earlier process, which asked under another identity, says nothing of this one.
    if (phase == Phase.OPENING
        || phase == Phase.JOINING
        || !reply.getIdentity().equals(selfId())
        || !messenger.isOtherVoter(from)) {
      return;
    }
    highestTermHeard = Math.max(highestTermHeard, reply.getTerm());
    if (phase == Phase.LEARNING) {
      recovery.localLogChanged(storage.summary());
    }
    recovery.replyReceived(from, RecoveryReplies.decode(reply));
    if (phase == Phase.VOTING) {
      if (reply.getHasLog() && reply.getUnknownIdentity()) {
        actions.log(Level.WARNING, "voter is not in the group any more: voter=" + self);
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
   * Proposes a change; may be called from any thread.
   *
   * @param proposer passed to {@link RaftVoterActions#proposalAnswered}, as is the number
   * @param number passed back with the answer, which may never come
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

  private String selfId() {
    return self == null ? "" : self.getId();
  }

  /** The leader as far as this voter knows; may be called from any thread. */
  public Optional<PeerName> leader() {
    return Optional.ofNullable(node).flatMap(VoterNode::leader);
  }

  /** The phase of this voter; may be called from any thread. */
  public Phase phase() {
    return phase;
  }

  /** One line for the log without a line end; called on the voter's thread. */
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

  /** Takes what the present node does. */
  private final class NodeListener implements VoterNode.Listener {

    @Override
    public void send(PeerName to, RaftEnvelope envelope) {
      messenger.sendRaft(to, envelope);
    }

    @Override
    public boolean mayStandForElection() {
      return phase == Phase.VOTING;
    }

    @Override
    public void viewCommitted(MembershipView view) {
      actions.viewCommitted(view);
    }

    /** Acts once the node's call that has failed is over. */
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
