package weldcross.consensus.net;

import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.executor.RaftNodeExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.MembershipView;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.wire.Word;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.membership.MemberState;
import weldcross.membership.net.MembershipExtension;
import weldcross.mesh.Incarnation;
import weldcross.mesh.PeerName;
import weldcross.mesh.net.MeshExtension;
import weldcross.mesh.net.PeerListener;
import weldcross.storage.FileStorageDirectory;
import weldcross.storage.StorageDirectory;

/**
 * What the gateways have agreed on, as a part of one of them: {@link ConsensusService} decides, the
 * link carries its words, a thread of the voter's own waits for its disk. Proof that a gateway
 * ended comes from who is seen.
 */
public final class ConsensusExtension implements GatewayExtension, PeerListener {

  /** Under which the link carries this part's words. */
  public static final int SUBJECT = 3;

  private static final Logger LOG = Logger.getLogger(ConsensusExtension.class.getName());

  /**
   * Of the library, which tells of each message that it refuses; held, as a logger that nobody
   * holds forgets.
   */
  private static final Logger LIBRARY = Logger.getLogger("io.microraft");

  /** So long a stop waits until this gateway is a member no more. */
  private static final Duration LEAVE_WITHIN = Duration.ofSeconds(2);

  private final MeshExtension link;
  private final Path directory;
  private final ScheduledThreadPoolExecutor thread;
  private final ConsensusService agreement;
  private ExtensionContext seam;
  private Duration wakeAt;
  private boolean left;
  private OperatorTold operator;

  /** Whom to tell what became of a change that an operator asked for. */
  public interface OperatorTold {
    void told(Proposal motion, ProposalResult verdict);
  }

  /**
   * @param seen whose proofs are passed on
   * @param directory below which the voter keeps its records
   * @param toldShare of the fleet's budgets, until a view is known
   * @param seed of chance
   */
  public ConsensusExtension(
      ConsensusConfig terms,
      MeshExtension link,
      MembershipExtension seen,
      Path directory,
      double toldShare,
      long seed) {
    this.link = link;
    this.directory = directory;
    LIBRARY.setLevel(LOG.isLoggable(Level.FINE) ? Level.INFO : Level.SEVERE);
    thread =
        new ScheduledThreadPoolExecutor(
            terms.isVoter() ? 1 : 0,
            task -> {
              Thread made = new Thread(task, "voter");
              made.setDaemon(true);
              return made;
            });
    thread.setRemoveOnCancelPolicy(true);
    agreement =
        new ConsensusService(
            terms,
            new OfPart(),
            toldShare,
            new OnThread(),
            new EvenClock(),
            seed,
            new SecureRandom()::nextLong);
    link.subscribe(SUBJECT, this);
    seen.addListener(
        news -> {
          if (news.state() == MemberState.DEAD) {
            agreement.gone(news.member(), news.incarnation());
          }
        });
  }

  public ConsensusService agreement() {
    return agreement;
  }

  /** Called before the part is started. */
  public void operator(OperatorTold told) {
    operator = told;
  }

  // ---- Of the gateway

  @Override
  public String name() {
    return "agreement";
  }

  @Override
  public void start(ExtensionContext gateway) {
    seam = gateway;
  }

  @Override
  public boolean isReady() {
    return true;
  }

  @Override
  public void reloaded() {
    // Its terms hold from a start on.
  }

  @Override
  public void drain() {
    agreement.leave(LEAVE_WITHIN);
  }

  @Override
  public boolean isDone() {
    return left;
  }

  @Override
  public void stop() {
    agreement.end();
    thread.shutdown();
  }

  @Override
  public String describe() {
    return agreement.agreed().describe(seam.now())
        + (agreement.voter() == null ? "" : ", voter " + agreement.voter().phase());
  }

  // ---- Of the link

  @Override
  public void onStarted(Incarnation self) {
    agreement.begun(self.number());
  }

  @Override
  public void onMessage(PeerName from, Incarnation life, ByteBuffer content) {
    try {
      agreement.heard(from, Word.parseFrom(content));
    } catch (InvalidProtocolBufferException e) {
      LOG.fine(() -> "agreement: a word of " + from + " that is none");
    }
  }

  @Override
  public void onConnectionUp(PeerName peer, Incarnation life) {
    agreement.up(peer);
  }

  // ---- What is decided

  private final class OfPart implements ConsensusActions {

    @Override
    public Duration now() {
      return seam.now();
    }

    @Override
    public void send(PeerName to, Word word) {
      link.send(to, SUBJECT, word.toByteString().asReadOnlyByteBuffer(), true);
    }

    @Override
    public void post(Runnable event) {
      seam.post(event);
    }

    @Override
    public void wakeAt(Duration when) {
      wakeAt = when;
      seam.at(
          when,
          () -> {
            if (when.equals(wakeAt)) {
              agreement.due();
            }
          });
    }

    @Override
    public StorageDirectory disk() throws IOException {
      return FileStorageDirectory.at(directory.resolve("agreement"));
    }

    @Override
    public void viewIs(MembershipView view) {
      LOG.info(
          () ->
              "agreement: view "
                  + view.number()
                  + " is "
                  + view.members().entrySet().stream()
                      .map(e -> e.getKey() + ":" + e.getValue().life())
                      .collect(Collectors.joining(" ", "[", "]")));
    }

    @Override
    public void setQuota(double share) {
      LOG.info(() -> "agreement: share " + share);
      seam.setQuota(share);
    }

    @Override
    public void ended(long life) {
      LOG.severe(
          () ->
              "agreement: life "
                  + life
                  + " of this gateway is none by the view, and it lives: "
                  + "forgotten by an operator, or taken for gone; it comes back as a later one");
      link.raiseIncarnation(life);
    }

    @Override
    public void operatorTold(Proposal motion, ProposalResult verdict) {
      LOG.warning(
          () ->
              "agreement: "
                  + motion.kind()
                  + " "
                  + motion.of()
                  + " from view "
                  + motion.basis()
                  + ": "
                  + verdict);
      if (operator != null) {
        operator.told(motion, verdict);
      }
    }

    @Override
    public void left() {
      left = true;
      seam.changed();
    }

    @Override
    public void say(Level level, String words) {
      LOG.log(level, () -> "agreement: " + words);
    }
  }

  /** The voter's thread, which nothing else uses. */
  private final class OnThread implements RaftNodeExecutor {

    private void run(Runnable task) {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.log(Level.SEVERE, "agreement: a fault of the voter", e);
      }
    }

    @Override
    public void execute(Runnable task) {
      if (!thread.isShutdown()) {
        thread.execute(() -> run(task));
      }
    }

    @Override
    public void submit(Runnable task) {
      execute(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
      if (!thread.isShutdown()) {
        thread.schedule(() -> run(task), delay, unit);
      }
    }
  }

  /** Goes evenly whatever the wall clock does; counts from the start. */
  private static final class EvenClock extends Clock {
    private final long zero = System.nanoTime();

    @Override
    public ZoneId getZone() {
      return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
      return this;
    }

    /** From an hour on, so that no time that the library looks back to is before zero. */
    @Override
    public Instant instant() {
      return Instant.ofEpochSecond(3600).plusNanos(System.nanoTime() - zero);
    }
  }
}
