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
import weldcross.consensus.AgreementTerms;
import weldcross.consensus.Motion;
import weldcross.consensus.Verdict;
import weldcross.consensus.View;
import weldcross.consensus.wire.Word;
import weldcross.extension.Part;
import weldcross.extension.Seam;
import weldcross.membership.Finding;
import weldcross.membership.net.SeenPart;
import weldcross.mesh.Life;
import weldcross.mesh.PeerName;
import weldcross.mesh.net.LinkPart;
import weldcross.storage.Disk;
import weldcross.storage.PlainDisk;

/**
 * What the gateways have agreed on, as a part of one of them: {@link Agreement} decides, the link
 * carries its words, a thread of the voter's own waits for its disk. Proof that a gateway ended
 * comes from who is seen.
 */
public final class AgreementPart implements Part, LinkPart.Talker {

  /** Under which the link carries this part's words. */
  public static final int SUBJECT = 3;

  private static final Logger LOG = Logger.getLogger(AgreementPart.class.getName());

  /**
   * Of the library, which tells of each message that it refuses; held, as a logger that nobody
   * holds forgets.
   */
  private static final Logger LIBRARY = Logger.getLogger("io.microraft");

  /** So long a stop waits until this gateway is a member no more. */
  private static final Duration LEAVE_WITHIN = Duration.ofSeconds(2);

  private final LinkPart link;
  private final Path directory;
  private final ScheduledThreadPoolExecutor thread;
  private final Agreement agreement;
  private Seam seam;
  private Duration wakeAt;
  private boolean left;
  private OperatorTold operator;

  /** Whom to tell what became of a change that an operator asked for. */
  public interface OperatorTold {
    void told(Motion motion, Verdict verdict);
  }

  /**
   * @param seen whose proofs are passed on
   * @param directory below which the voter keeps its records
   * @param toldShare of the fleet's budgets, until a view is known
   * @param seed of chance
   */
  public AgreementPart(
      AgreementTerms terms,
      LinkPart link,
      SeenPart seen,
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
        new Agreement(
            terms,
            new OfPart(),
            toldShare,
            new OnThread(),
            new EvenClock(),
            seed,
            new SecureRandom()::nextLong);
    link.talk(SUBJECT, this);
    seen.tell(
        news -> {
          if (news.finding() == Finding.GONE) {
            agreement.gone(news.of(), news.life());
          }
        });
  }

  public Agreement agreement() {
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
  public void start(Seam gateway) {
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
  public String inWords() {
    return agreement.agreed().inWords(seam.now())
        + (agreement.voter() == null ? "" : ", voter " + agreement.voter().phase());
  }

  // ---- Of the link

  @Override
  public void begun(Life self) {
    agreement.begun(self.incarnation());
  }

  @Override
  public void heard(PeerName from, Life life, ByteBuffer content) {
    try {
      agreement.heard(from, Word.parseFrom(content));
    } catch (InvalidProtocolBufferException e) {
      LOG.fine(() -> "agreement: a word of " + from + " that is none");
    }
  }

  @Override
  public void up(PeerName peer, Life life) {
    agreement.up(peer);
  }

  @Override
  public void down(PeerName peer, String why) {
    // Whoever waits for an answer asks again.
  }

  // ---- What is decided

  private final class OfPart implements AgreementHost {

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
    public Disk disk() throws IOException {
      return PlainDisk.at(directory.resolve("agreement"));
    }

    @Override
    public void viewIs(View view) {
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
    public void shareIs(double share) {
      LOG.info(() -> "agreement: share " + share);
      seam.shareIs(share);
    }

    @Override
    public void ended(long life) {
      LOG.severe(
          () ->
              "agreement: life "
                  + life
                  + " of this gateway is none by the view, and it lives: "
                  + "forgotten by an operator, or taken for gone; it comes back as a later one");
      link.raise(life);
    }

    @Override
    public void operatorTold(Motion motion, Verdict verdict) {
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
