package weldcross.consensus.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import io.microraft.report.RaftGroupMembers;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.MembershipStateMachine;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.VoterRecovery;
import weldcross.consensus.wire.Compare;
import weldcross.consensus.wire.Compared;
import weldcross.consensus.wire.MotionSaid;
import weldcross.consensus.wire.Raft;
import weldcross.consensus.wire.ViewSaid;
import weldcross.consensus.wire.Word;
import weldcross.mesh.PeerName;
import weldcross.storage.RecordLog;
import weldcross.storage.StorageDirectory;

/**
 * One voter: the consensus library's node (MicroRaft) with what it keeps and whom it speaks to.
 * Before it says anything under its identity {@link VoterRecovery} has compared what its disk has
 * with what the others know; while it may lack something it votes only for who has all of that, and
 * never stands itself.
 *
 * <p>All of it is used on the executor's one thread; only {@link #leader} and {@link #phase} are
 * asked from others.
 */
public final class RaftVoter {

  /** From start to end. */
  public enum Phase {
    /** Its disk is being read, or cannot be and is tried again. */
    OPENING,
    /** It asks the others what they know of it. */
    ASKING,
    /** Under a new identity; the leader has yet to take it up. */
    JOINING,
    /** It may lack something that it had kept. */
    LEARNING,
    VOTING,
    ENDED
  }

  private static final Duration AGAIN = Duration.ofMillis(500), DISK_AGAIN = Duration.ofSeconds(1);

  /** So many rounds of asking without an end are told. */
  private static final int ROUNDS_TOLD = 20;

  /**
   * Against a node that hears no leader and cannot make one. A node of MicroRaft 0.7 that was
   * asking for pre-votes when a leader appeared stands no more once that leader is gone; and one
   * that is refused pre-votes for its old term is not told of the new one (both seen in
   * AgreementSweep). After so many silences its node is begun anew, in the highest term that is
   * known. That also catches a process that stood still, whose leader's words wait to be read, and
   * a minority; it costs nothing that is kept.
   */
  private static final int DEAF = 4;

  private static final Duration ELECTION = Duration.ofMillis(500);
  private static final int SNAPSHOT_EACH = 256;

  /** What an identity has said to this voter, as far as this life has heard it. */
  private static final class Memory {
    int ackedTerm, votedTerm;
    long ackedIndex;
  }

  private final ConsensusConfig terms;
  private final RaftNodeExecutor executor;
  private final Clock clock;
  private final Random random;
  private final LongSupplier marks;
  private final RaftVoterActions host;
  private final Map<VoterId, Memory> memories = new HashMap<>();
  private volatile RaftNode node;
  private volatile Phase phase = Phase.OPENING;
  private StorageDirectory disk;
  private PersistentRaftStore kept;
  private FailStopRaftStore guarded;
  private VoterId self;
  private VoterRecovery returning;
  private String trouble;
  private int life, rounds, termHeard;

  /** Whether what the disk has was said under an identity that is no voter any more. */
  private boolean asAnother;

  /** Whether it has records that it does not use. */
  private boolean had;

  private long leaderHeardAt;

  /**
   * @param executor runs all of this voter on one thread, in order
   * @param clock that goes evenly; of the library's times
   * @param random of the library's election times
   * @param marks of new identities: none twice, in whatever life of whatever process
   */
  public RaftVoter(
      ConsensusConfig terms,
      RaftNodeExecutor executor,
      Clock clock,
      Random random,
      LongSupplier marks,
      RaftVoterActions host) {
    this.terms = terms;
    this.executor = executor;
    this.clock = clock;
    this.random = random;
    this.marks = marks;
    this.host = host;
  }

  public void start() {
    executor.execute(this::open);
  }

  public void end() {
    executor.execute(
        () -> {
          phase = Phase.ENDED;
          close();
        });
  }

  private void close() {
    life++;
    if (node != null) {
      guarded.end();
      node.terminate();
      node = null;
    }
    if (kept != null) {
      kept.close();
    } else if (disk != null) {
      try {
        disk.close();
      } catch (IOException e) {
        // Given up; it is opened anew.
      }
    }
    kept = null;
    disk = null;
  }

  // ---- The disk, and what the others know

  private void open() {
    if (phase == Phase.ENDED) {
      return;
    }
    VoterRecovery.Kept has = VoterRecovery.Kept.NOTHING;
    boolean damaged = false;
    try {
      disk = host.disk();
      long[] torn = new long[1];
      kept = PersistentRaftStore.open(disk, torn);
      if (torn[0] > 0) {
        host.say(Level.WARNING, torn[0] + " torn bytes cut from the end of its log");
      }
      has = asAnother ? VoterRecovery.Kept.NOTHING : kept.inShort();
    } catch (RecordLog.Damaged e) {
      // Never guessed: what is damaged is fetched from the others, under another identity.
      damaged = true;
      host.say(Level.SEVERE, "its records are damaged, and not used: " + e.getMessage());
    } catch (IOException e) {
      failed(e);
      return;
    }
    self = has.identity() == null ? null : VoterId.of(has.identity());
    had = damaged || asAnother;
    returning = new VoterRecovery(terms.voters().size(), terms.trustDisk(), has, had);
    phase = Phase.ASKING;
    rounds = 0;
    decided();
    ask(life);
  }

  /** What was written may be kept or not: all is read anew, and compared anew. */
  private void failed(IOException why) {
    if (!String.valueOf(why.getMessage()).equals(trouble)) {
      trouble = String.valueOf(why.getMessage());
      host.say(Level.SEVERE, "its disk fails, it does not vote until that works: " + trouble);
    }
    if (phase != Phase.ENDED) {
      phase = Phase.OPENING;
      close();
      executor.schedule(this::open, DISK_AGAIN.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void failedLater(IOException why) {
    int ofLife = life;
    executor.execute(
        () -> {
          if (life == ofLife) {
            failed(why);
          }
        });
  }

  /**
   * Also while it learns: what it waits for may be lost by whoever had it, and is then waited for
   * no more. And where it votes and hears of no leader: another may have its place.
   */
  private void ask(int ofLife) {
    if (phase == Phase.ENDED || life != ofLife) {
      return;
    }
    executor.schedule(() -> ask(ofLife), AGAIN.toMillis(), TimeUnit.MILLISECONDS);
    if (node != null
        && phase != Phase.JOINING
        && !leads()
        && clock.millis() - leaderHeardAt > terms.silence().multipliedBy(DEAF).toMillis()) {
      again();
      return;
    }
    if (phase == Phase.JOINING || (phase == Phase.VOTING && leader() != null)) {
      return;
    }
    Word word =
        word()
            .setCompare(Compare.newBuilder().setIdentity(self == null ? "" : self.getId()))
            .build();
    others().forEach(voter -> host.send(voter, word));
    if (++rounds % ROUNDS_TOLD == 0) {
      host.say(
          Level.WARNING,
          phase == Phase.VOTING
              ? "it votes, and knows of no leader"
              : "it waits to hear what "
                  + "the other voters know before it votes: "
                  + returning.describe());
    }
  }

  private List<PeerName> others() {
    return terms.voters().stream().filter(v -> !v.equals(terms.self())).toList();
  }

  private Word.Builder word() {
    return Word.newBuilder().setGroup(terms.group());
  }

  private void decided() {
    try {
      switch (returning.phase()) {
        case FOUNDS -> {
          self = new VoterId(terms.self(), 0);
          begin(true, returning.term());
          run(Phase.VOTING);
        }
        case GOES_ON -> run(Phase.VOTING);
        case LEARNS_FIRST -> {
          kept.spend(returning.term(), self);
          run(Phase.LEARNING);
        }
        case IS_NEW -> {
          self = new VoterId(terms.self(), marks.getAsLong());
          kept = PersistentRaftStore.anew(disk);
          asAnother = false;
          begin(false, 0);
          run(Phase.JOINING);
          askForAdmission(life);
        }
        default -> {
          // Not yet.
        }
      }
    } catch (IOException e) {
      failed(e);
    }
  }

  private void begin(boolean voting, int spent) throws IOException {
    kept.begin(
        self, terms.voters().stream().map(v -> new VoterId(v, 0).getId()).toList(), voting, spent);
  }

  private void run(Phase next) {
    guarded = new FailStopRaftStore(kept, this::failedLater);
    boolean loud =
        returning.phase() == VoterRecovery.Phase.IS_NEW
            || returning.phase() == VoterRecovery.Phase.LEARNS_FIRST;
    host.say(
        loud ? Level.WARNING : Level.INFO,
        "it is "
            + self
            + ", "
            + returning.phase()
            + (returning.why().isEmpty() ? "" : ": " + returning.why()));
    trouble = null;
    leaderHeardAt = clock.millis();
    phase = next;
    int ofLife = life;
    node =
        RaftNode.newBuilder()
            .setGroupId(terms.group())
            .setRestoredState(kept.restored())
            .setConfig(
                RaftConfig.newBuilder()
                    .setLeaderElectionTimeoutMillis(ELECTION.toMillis())
                    .setLeaderHeartbeatPeriodSecs(terms.heartbeat().toSeconds())
                    .setLeaderHeartbeatTimeoutSecs(terms.silence().toSeconds())
                    .setCommitCountToTakeSnapshot(SNAPSHOT_EACH)
                    .build())
            .setExecutor(executor)
            .setTransport(new MeshTransport(ofLife))
            .setStateMachine(new Machine(ofLife))
            .setStore(guarded)
            .setModelFactory(RaftMessageCodec.MODELS)
            .setRandom(random)
            .setClock(clock)
            .build();
    node.start();
    caughtUp();
  }

  // ---- A new identity

  private void askForAdmission(int ofLife) {
    if (life != ofLife || phase != Phase.JOINING) {
      return;
    }
    others().forEach(voter -> host.send(voter, word().setAdmit(self.getId()).build()));
    executor.schedule(() -> askForAdmission(ofLife), AGAIN.toMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * The leader takes the place of what was lost from it, and gives it to who has come back; one at
   * a time.
   */
  private void admit(VoterId next) {
    if (node == null || !leads() || !terms.voters().contains(next.name())) {
      return;
    }
    RaftGroupMembers group = node.getCommittedMembers();
    if (group.getLogIndex() != node.getEffectiveMembers().getLogIndex()) {
      return;
    }
    for (RaftEndpoint each : group.getMembers()) {
      VoterId before = (VoterId) each;
      if (before.name().equals(next.name())) {
        if (!before.equals(next)) {
          host.say(
              Level.WARNING,
              before + " lost what it had kept: it votes no more, " + next + " takes its place");
          node.changeMembership(before, MembershipChangeMode.REMOVE_MEMBER, group.getLogIndex());
        }
        return;
      }
    }
    node.changeMembership(
        next, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, group.getLogIndex());
  }

  /** Whether it now has all that it may have had before, or is a voter under its new identity. */
  private void caughtUp() {
    boolean joined =
        phase == Phase.JOINING && node.getCommittedMembers().getVotingMembers().contains(self);
    if (joined
        || (phase == Phase.LEARNING
            && returning.has(kept.inShort()) == VoterRecovery.Phase.GOES_ON)) {
      phase = Phase.VOTING;
      host.say(Level.INFO, self + " has learnt what the others have, and votes");
    }
  }

  // ---- What comes

  /** From any thread: a word of another gateway; one of another group is not for this one. */
  public void heard(PeerName from, Word word) {
    executor.execute(
        () -> {
          if (phase == Phase.ENDED || !word.getGroup().equals(terms.group())) {
            return;
          }
          switch (word.getKindCase()) {
            case RAFT -> raft(from, word.getRaft());
            case COMPARE -> compared(from, word.getCompare().getIdentity());
            case COMPARED -> answered(from, word.getCompared());
            case ADMIT -> admit(VoterId.of(word.getAdmit()));
            default -> {
              // Not for a voter.
            }
          }
        });
  }

  private void raft(PeerName from, Raft said) {
    RaftMessage message = node == null ? null : RaftMessageCodec.message(said, terms.group());
    if (message == null || !((VoterId) message.getSender()).name().equals(from)) {
      return;
    }
    if (message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest) {
      leaderHeardAt = clock.millis();
    }
    remember(message);
    if (phase == Phase.LEARNING) {
      boolean lacking =
          (message instanceof VoteRequest v && lacks(v.getLastLogTerm(), v.getLastLogIndex()))
              || (message instanceof PreVoteRequest p
                  && lacks(p.getLastLogTerm(), p.getLastLogIndex()));
      if (lacking || message instanceof TriggerLeaderElectionRequest) {
        return;
      }
    }
    node.handle(message);
    executor.submit(
        () -> {
          if (node != null) {
            caughtUp();
          }
        });
  }

  /** Whether a candidate may lack what this voter, as it was before, helped to commit. */
  private boolean lacks(int term, long index) {
    return VoterRecovery.isBefore(term, index, returning.targetTerm(), returning.targetIndex());
  }

  private void remember(RaftMessage message) {
    Memory memory = memories.computeIfAbsent((VoterId) message.getSender(), id -> new Memory());
    if (message instanceof AppendEntriesSuccessResponse m) {
      int term = kept.termAt(m.getLastLogIndex());
      if (VoterRecovery.isBefore(memory.ackedTerm, memory.ackedIndex, term, m.getLastLogIndex())) {
        memory.ackedTerm = term;
        memory.ackedIndex = m.getLastLogIndex();
      }
    } else if (message instanceof VoteResponse m && m.isGranted()) {
      memory.votedTerm = Math.max(memory.votedTerm, m.getTerm());
    }
  }

  private void compared(PeerName from, String identity) {
    if (phase == Phase.OPENING) {
      return;
    }
    VoterRecovery.Kept has = kept == null ? VoterRecovery.Kept.NOTHING : kept.inShort();
    boolean joins = phase == Phase.JOINING;
    Memory memory =
        identity.isEmpty()
            ? new Memory()
            : memories.getOrDefault(VoterId.of(identity), new Memory());
    boolean founding = !had && (self == null || self.mark() == 0);
    boolean stranger = node != null && !identity.isEmpty();
    for (VoterId each : memories.keySet()) {
      founding &= each.mark() == 0;
    }
    if (node != null) {
      for (RaftGroupMembers group :
          List.of(node.getCommittedMembers(), node.getEffectiveMembers())) {
        for (RaftEndpoint each : group.getMembers()) {
          founding &= ((VoterId) each).mark() == 0;
          stranger &= !each.getId().equals(identity);
        }
      }
    }
    host.send(
        from,
        word()
            .setCompared(
                Compared.newBuilder()
                    .setHas(self != null && !joins)
                    .setIdentity(identity)
                    .setTerm(Math.max(has.term(), node == null ? 0 : node.getTerm().getTerm()))
                    .setLastTerm(has.lastTerm())
                    .setLastIndex(has.lastIndex())
                    .setAcknowledgedTerm(memory.ackedTerm)
                    .setAcknowledgedIndex(memory.ackedIndex)
                    .setVotedTerm(memory.votedTerm)
                    .setFounding(founding)
                    .setStranger(stranger))
            .build());
  }

  private void answered(PeerName from, Compared said) {
    // An answer to an earlier life, which asked under another identity, says nothing of this one.
    if (phase != Phase.OPENING
        && phase != Phase.JOINING
        && said.getIdentity().equals(self == null ? "" : self.getId())
        && others().contains(from)) {
      termHeard = Math.max(termHeard, said.getTerm());
      if (phase == Phase.LEARNING) {
        returning.has(kept.inShort());
      }
      returning.answered(
          from,
          new VoterRecovery.Answer(
              said.getHas(),
              said.getFounding(),
              said.getStranger(),
              said.getTerm(),
              said.getLastTerm(),
              said.getLastIndex(),
              said.getAcknowledgedTerm(),
              said.getAcknowledgedIndex(),
              said.getVotedTerm()));
      if (phase == Phase.VOTING) {
        if (said.getHas() && said.getStranger()) {
          host.say(Level.WARNING, self + " is no voter any more");
          asAnother = true;
          reopen();
        }
      } else if (phase == Phase.ASKING) {
        decided();
      } else if (returning.phase() == VoterRecovery.Phase.IS_NEW) {
        reopen();
      } else {
        caughtUp();
      }
    }
  }

  /** The same voter with the same records, and a new node of the library's. */
  private void again() {
    host.say(Level.INFO, "it has heard no leader for long, and begins anew");
    life++;
    guarded.end();
    node.terminate();
    try {
      kept.flush();
      kept.spend(termHeard, self);
      run(phase);
      ask(life);
    } catch (IOException e) {
      failed(e);
    }
  }

  /** All is read and asked anew. */
  private void reopen() {
    close();
    phase = Phase.OPENING;
    open();
  }

  /**
   * From any thread: a change is asked for; {@link RaftVoterActions#moved} is told what became of
   * it, or never.
   */
  public void move(PeerName asker, long number, Proposal motion) {
    executor.execute(
        () -> {
          if (node == null || !leads()) {
            host.moved(asker, number, null, leader());
            return;
          }
          node.<Object>replicate(RaftMessageCodec.said(motion))
              .whenComplete(
                  (done, fault) -> {
                    if (fault == null) {
                      host.moved(asker, number, (ProposalResult) done.getResult(), leader());
                    }
                    // Else it may have been taken or not; whoever asked asks again.
                  });
        });
  }

  private boolean leads() {
    return self.equals(node.getTerm().getLeaderEndpoint());
  }

  /** The voter that leads, as far as this one knows; null where it knows of none. */
  public PeerName leader() {
    RaftNode now = node;
    RaftEndpoint leader = now == null ? null : now.getTerm().getLeaderEndpoint();
    return leader == null ? null : ((VoterId) leader).name();
  }

  public Phase phase() {
    return phase;
  }

  /** For the log, from the voter's own thread or while that stands still. */
  public String describe() {
    return phase
        + " as "
        + self
        + ", keeps "
        + (kept == null ? "nothing" : kept.inShort())
        + ", leader "
        + leader()
        + ", "
        + (returning == null ? "" : returning.describe());
  }

  // ---- Of the library

  private final class MeshTransport implements Transport {
    private final int ofLife;

    MeshTransport(int ofLife) {
      this.ofLife = ofLife;
    }

    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
      boolean stands = message instanceof VoteRequest || message instanceof PreVoteRequest;
      if (ofLife == life && !(stands && phase != Phase.VOTING)) {
        host.send(((VoterId) to).name(), word().setRaft(RaftMessageCodec.said(message)).build());
      }
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
      return true;
    }
  }

  private final class Machine implements StateMachine {
    private final int ofLife;
    private final MembershipStateMachine views = new MembershipStateMachine();

    Machine(int ofLife) {
      this.ofLife = ofLife;
    }

    private void tell() {
      if (ofLife == life) {
        host.viewIs(views.view());
      }
    }

    @Override
    public Object runOperation(long index, Object operation) {
      ProposalResult verdict = views.apply(RaftMessageCodec.motion((MotionSaid) operation));
      if (verdict == ProposalResult.DONE) {
        tell();
      }
      return verdict;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> to) {
      to.accept(RaftMessageCodec.said(views.view(), views.ended()));
    }

    @Override
    public void installSnapshot(long index, List<Object> content) {
      RaftMessageCodec.restore(views, (ViewSaid) content.get(0));
      tell();
    }

    @Override
    public Object getNewTermOperation() {
      return RaftMessageCodec.said(
          new Proposal(Proposal.Kind.NOTHING, terms.self(), 0, "", 0, terms.self(), 0));
    }
  }
}
