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
 * Gateway extension that runs a {@link ConsensusService}: the mesh carries its messages, and the
 * failure detector reports dead members to it.
 */
public final class ConsensusExtension implements GatewayExtension, PeerListener {

  /** Mesh subject of consensus messages. */
  public static final int SUBJECT = 3;

  /** Name of the extension and of its configuration table. */
  private static final String NAME = "agreement";

  /** Name of the voter's subdirectory; stable, because existing deployments store data there. */
  private static final String DIRECTORY = "agreement";

  private static final Logger LOG = Logger.getLogger(ConsensusExtension.class.getName());

  /**
   * Logger of the Raft library, which logs each message it rejects. Referenced strongly, because a
   * logger that is garbage collected loses its level.
   */
  private static final Logger RAFT_LOG = Logger.getLogger("io.microraft");

  /** How long a graceful shutdown waits for this gateway to leave the view. */
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
   * Creates the extension, which is inactive until {@link #start}.
   *
   * @param mesh carries messages between gateways
   * @param membership failure detection, which reports dead incarnations
   * @param directory data directory of this gateway; the voter uses a subdirectory
   * @param configuredShare share of the fleet's budgets, in force until a view is received
   * @param seed seed of random election timeouts
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

  /** Returns the service, which may only be used on the event loop. */
  public ConsensusService service() {
    return service;
  }

  /** Sets the listener for results of operators' proposals; must be called before the start. */
  public void setOperatorListener(BiConsumer<Proposal, ProposalResult> listener) {
    operatorListener = listener;
  }

  // ---- GatewayExtension

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
  public boolean isDrained() {
    return left;
  }

  @Override
  public void stop() {
    service.stop();
    executor.shutdown();
  }

  @Override
  public String describe() {
    return "consensus "
        + service.viewClient().describe(context.now())
        + service.voter().map(voter -> " voter=" + voter.phase()).orElse("");
  }

  // ---- PeerListener

  @Override
  public void onStarted(Incarnation self) {
    service.start(self.number());
  }

  @Override
  public void onMessage(PeerName from, Incarnation incarnation, ByteBuffer content) {
    try {
      service.receive(from, ConsensusMessage.parseFrom(content));
    } catch (InvalidProtocolBufferException e) {
      LOG.fine(
          () -> "consensus: invalid message ignored: peer=" + from + " reason=" + e.getMessage());
    }
  }

  @Override
  public void onConnectionUp(PeerName peer, Incarnation incarnation) {
    service.peerConnected(peer);
  }

  /** Side effects of the service, mapped to the mesh, the event loop and the log. */
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
              "consensus: own incarnation was ended, starting a later one: incarnation="
                  + incarnation
                  + " reason=removed by an operator or declared dead while alive");
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
                  + proposal.expectedViewNumber()
                  + " result="
                  + result);
      operatorListener.accept(proposal, result);
    }

    @Override
    public void left() {
      left = true;
      context.stateChanged();
    }

    @Override
    public void log(Level level, String message) {
      LOG.log(level, () -> "consensus: " + message);
    }
  }
}
