package weldcross.consensus.net;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.MembershipView;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.wire.ConsensusMessage;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.extension.RestartableTimer;
import weldcross.membership.MemberState;
import weldcross.membership.net.MembershipExtension;
import weldcross.mesh.Incarnation;
import weldcross.mesh.PeerName;
import weldcross.mesh.net.MeshExtension;
import weldcross.mesh.net.PeerListener;
import weldcross.storage.FileStorageDirectory;
import weldcross.storage.StorageDirectory;

/**
 * The consensus as an extension of the gateway: a {@link ConsensusService} whose messages the mesh
 * carries, and whose proofs that a member has ended come from failure detection.
 */
public final class ConsensusExtension implements GatewayExtension, PeerListener {

  /** The subject under which the mesh carries consensus messages. */
  public static final int SUBJECT = 3;

  /** Also the name of the table that configures it. */
  private static final String NAME = "agreement";

  /** The voter's directory below the gateway's; names stored data, so it never changes. */
  private static final String DIRECTORY = "agreement";

  private static final Logger LOG = Logger.getLogger(ConsensusExtension.class.getName());

  /**
   * The Raft library's logger, which logs each message that it rejects. Held here, as a logger that
   * nobody references loses its level.
   */
  private static final Logger RAFT_LOG = Logger.getLogger("io.microraft");

  /** How long a stop waits until this gateway has left the view. */
  private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(2);

  private final MeshExtension mesh;
  private final Path directory;
  private final VoterExecutor executor;
  private final ConsensusService service;
  private ExtensionContext context;
  private RestartableTimer timer;
  private boolean left;
  private BiConsumer<Proposal, ProposalResult> operatorListener = (proposal, result) -> {};

  /**
   * Creates the extension; nothing runs before {@link #start}.
   *
   * @param mesh carries messages between gateways
   * @param membership gives proof that an incarnation has ended
   * @param directory of this gateway's stored data; the voter uses a directory below it
   * @param configuredShare of the fleet's budgets, in force until there is a view
   * @param seed of random election timeouts
   */
  public ConsensusExtension(
      ConsensusConfig config,
      MeshExtension mesh,
      MembershipExtension membership,
      Path directory,
      double configuredShare,
      long seed) {
    this.mesh = mesh;
    this.directory = directory;
    RAFT_LOG.setLevel(LOG.isLoggable(Level.FINE) ? Level.INFO : Level.SEVERE);
    executor = new VoterExecutor(config.isVoter() ? 1 : 0);
    service =
        new ConsensusService(
            config,
            new ExtensionActions(),
            configuredShare,
            executor,
            new MonotonicClock(),
            seed,
            new SecureRandom()::nextLong);
    mesh.subscribe(SUBJECT, this);
    membership.addListener(
        update -> {
          if (update.state() == MemberState.DEAD) {
            service.memberDied(update.member(), update.incarnation());
          }
        });
  }

  /** The service, for use on the event loop. */
  public ConsensusService service() {
    return service;
  }

  /** Sets the listener for results of operators' proposals; called before the start. */
  public void setOperatorListener(BiConsumer<Proposal, ProposalResult> listener) {
    operatorListener = listener;
  }

  // ---- Calls of the gateway

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(ExtensionContext gateway) {
    context = gateway;
    timer = new RestartableTimer(gateway, now -> service.onTimer());
  }

  @Override
  public void drain() {
    service.leave(LEAVE_TIMEOUT);
  }

  @Override
  public boolean isDone() {
    return left;
  }

  @Override
  public void stop() {
    service.end();
    executor.shutdown();
  }

  @Override
  public String describe() {
    return "consensus "
        + service.viewClient().describe(context.now())
        + service.voter().map(voter -> " voter=" + voter.phase()).orElse("");
  }

  // ---- Calls of the mesh

  @Override
  public void onStarted(Incarnation self) {
    service.start(self.number());
  }

  @Override
  public void onMessage(PeerName from, Incarnation incarnation, ByteBuffer content) {
    try {
      service.receive(from, ConsensusMessage.parseFrom(content));
    } catch (InvalidProtocolBufferException e) {
      LOG.fine(() -> "consensus: message ignored: peer=" + from + " reason=" + e.getMessage());
    }
  }

  @Override
  public void onConnectionUp(PeerName peer, Incarnation incarnation) {
    service.peerConnected(peer);
  }

  /** Effects of the service. */
  private final class ExtensionActions implements ConsensusActions {

    @Override
    public Duration now() {
      return context.now();
    }

    @Override
    public void send(PeerName to, ConsensusMessage message) {
      mesh.send(to, SUBJECT, message.toByteString().asReadOnlyByteBuffer(), true);
    }

    @Override
    public void post(Runnable task) {
      context.post(task);
    }

    @Override
    public void wakeAt(Duration when) {
      timer.schedule(when);
    }

    @Override
    public StorageDirectory openDirectory() throws IOException {
      return FileStorageDirectory.openDirectory(directory.resolve(DIRECTORY));
    }

    @Override
    public void viewChanged(MembershipView view) {
      LOG.info(
          () ->
              "consensus: view in force: view="
                  + view.number()
                  + " members="
                  + view.members().values().stream()
                      .map(member -> member.name() + ":" + member.incarnation())
                      .collect(Collectors.joining(" ", "[", "]")));
    }

    @Override
    public void setQuota(double share) {
      LOG.info(() -> "consensus: fleet quota changed: share=" + share);
      context.setQuota(share);
    }

    @Override
    public void incarnationEnded(long incarnation) {
      LOG.severe(
          () ->
              "consensus: own incarnation ended by the view, a later one begins: incarnation="
                  + incarnation
                  + " reason=forgotten by an operator or declared dead while alive");
      mesh.raiseIncarnation(incarnation);
    }

    @Override
    public void operatorProposalDecided(Proposal proposal, ProposalResult result) {
      LOG.warning(
          () ->
              "consensus: operator proposal decided: kind="
                  + proposal.kind()
                  + " member="
                  + proposal.member()
                  + " view="
                  + proposal.basis()
                  + " result="
                  + result);
      operatorListener.accept(proposal, result);
    }

    @Override
    public void left() {
      left = true;
      context.changed();
    }

    @Override
    public void log(Level level, String line) {
      LOG.log(level, () -> "consensus: " + line);
    }
  }
}
