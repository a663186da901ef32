package weldcross.mesh.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.mesh.HandshakeRejection;
import weldcross.mesh.Incarnation;
import weldcross.mesh.MeshConfig;
import weldcross.mesh.PeerAddresses;
import weldcross.mesh.PeerConnectionActions;
import weldcross.mesh.PeerConnectionManager;
import weldcross.mesh.PeerName;
import weldcross.storage.AsyncRecordLog;
import weldcross.storage.RecordLog;

/**
 * The link between gateways as a part of one of them: {@link PeerConnectionManager} decides, {@link
 * MinaMeshTransport} has the sockets, and a log keeps the incarnation, which is sure before anybody
 * is called. Other parts speak through it by a subject of their own.
 */
public final class MeshExtension implements GatewayExtension, PeerConnectionActions {

  /** A subsystem that speaks and listens under its subject. */
  public interface Talker {

    void heard(PeerName from, Incarnation life, ByteBuffer content);

    /** This gateway speaks under this life from now on. */
    default void begun(Incarnation self) {}

    /** As {@link PeerConnectionActions#refusedBy}. */
    default void refusedBy(PeerName peer, Incarnation before) {}

    void up(PeerName peer, Incarnation life);

    void down(PeerName peer, String why);
  }

  private static final Logger LOG = Logger.getLogger(MeshExtension.class.getName());
  private static final Duration DISK_AGAIN = Duration.ofSeconds(1);
  private static final long SEGMENT = 64 << 10;
  private static final int MOST_WAITING = 16;

  private final MeshConfig terms;
  private final PeerAddresses places;
  private final Path directory;
  private final PeerConnectionManager links;
  private final Map<Integer, Talker> talkers = new HashMap<>();
  private final long mark = new SecureRandom().nextLong();
  private ExtensionContext seam;
  private MinaMeshTransport sockets;
  private AsyncRecordLog kept;
  private long incarnation;
  private String trouble;
  private Duration wakeAt;

  /**
   * @param seed decides how long rests between dials are drawn out
   */
  public MeshExtension(MeshConfig terms, PeerAddresses places, Path directory, long seed) {
    this.terms = terms;
    this.places = places;
    this.directory = directory;
    this.links = new PeerConnectionManager(terms, this, seed);
  }

  /** Called before the part is started. */
  public void talk(int subject, Talker talker) {
    talkers.put(subject, talker);
  }

  /** As {@link PeerConnectionManager#send}. */
  public boolean send(PeerName to, int subject, ByteBuffer content, boolean mayBeLost) {
    return links.send(seam.now(), to, subject, content, mayBeLost);
  }

  /** As {@link PeerConnectionManager#tell}. */
  public boolean tell(PeerName to, int subject, ByteBuffer content) {
    return links.tell(to, subject, content);
  }

  public PeerConnectionManager links() {
    return links;
  }

  /** What its disk does wrong, in words; null where nothing. */
  public String trouble() {
    return trouble;
  }

  // ---- Of the gateway

  @Override
  public String name() {
    return "link";
  }

  @Override
  public void start(ExtensionContext gateway) {
    seam = gateway;
    sockets = new MinaMeshTransport(terms, places, links, seam);
    sockets.listen();
    kept = new AsyncRecordLog(directory.resolve("link"), SEGMENT, MOST_WAITING, seam::post);
    open();
  }

  /** The incarnation of the life before, and one more before anybody is called. */
  private void open() {
    kept.open(
        new AsyncRecordLog.Opened() {
          private long last;

          @Override
          public void snapshot(long upTo, ByteBuffer content) {
            last = Math.max(last, content.getLong());
          }

          @Override
          public void record(long number, ByteBuffer content) {
            last = Math.max(last, content.getLong());
          }

          @Override
          public void opened(RecordLog.Found found) {
            if (found.tornBytes() > 0) {
              LOG.warning(
                  () -> "link: " + found.tornBytes() + " torn bytes cut from the end of its log");
            }
            take(Math.max(last, incarnation) + 1);
          }

          @Override
          public void failed(IOException why) {
            diskFailed(why);
          }
        });
  }

  private void take(long next) {
    ByteBuffer content = ByteBuffer.allocate(Long.BYTES).putLong(next).flip();
    boolean taken =
        kept.append(
            content,
            new AsyncRecordLog.Told() {
              @Override
              public void sure(long number) {
                incarnation = next;
                trouble = null;
                LOG.info(() -> "link: incarnation " + next);
                links.start(seam.now(), new Incarnation(next, mark));
                List.copyOf(talkers.values()).forEach(t -> t.begun(new Incarnation(next, mark)));
                kept.snapshot(
                    number,
                    ByteBuffer.allocate(Long.BYTES).putLong(next).flip(),
                    new AsyncRecordLog.Told() {
                      @Override
                      public void sure(long upTo) {
                        // The records before it are gone, which is all that it was for.
                      }

                      @Override
                      public void lost(IOException why) {
                        LOG.warning(() -> "link: no snapshot: " + why.getMessage());
                      }
                    });
              }

              @Override
              public void lost(IOException why) {
                diskFailed(why);
              }
            });
    if (!taken) {
      diskFailed(new IOException("too much waits for the disk"));
    }
  }

  /**
   * Without an incarnation that is sure nobody is called: peers would take this life for the one
   * before. The gateway serves on as it does without a link.
   */
  private void diskFailed(IOException why) {
    boolean ends = why instanceof RecordLog.Damaged;
    if (!why.getMessage().equals(trouble)) {
      trouble = why.getMessage();
      LOG.severe(
          () ->
              "link: no incarnation can be kept, nobody is called"
                  + (ends ? " before its directory is looked at: " : ", tried again: ")
                  + why.getMessage());
    }
    if (!ends) {
      seam.at(seam.now().plus(DISK_AGAIN), this::open);
    }
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
    // Who hands work on at a stop still speaks; goodbye comes last.
  }

  @Override
  public boolean isDone() {
    return true;
  }

  @Override
  public void stop() {
    links.leave(seam.now());
    sockets.end();
    kept.close();
  }

  @Override
  public String describe() {
    return links.describe()
        + (trouble == null ? "" : "; disk: " + trouble)
        + (kept.waiting() == 0 ? "" : "; " + kept.waiting() + " wait for the disk");
  }

  // ---- What the link decides

  @Override
  public void dial(long link, PeerName to) {
    sockets.dial(link, to);
  }

  @Override
  public void greet(long link, PeerName to, Incarnation self) {
    sockets.greet(link, to, self);
  }

  @Override
  public void welcome(long link, Incarnation self) {
    sockets.welcome(link, self);
  }

  @Override
  public void refuse(long link, HandshakeRejection why, long knownIncarnation) {
    sockets.refuse(link, why, knownIncarnation);
  }

  @Override
  public void beat(long link, long number) {
    sockets.beat(link, number);
  }

  @Override
  public void echo(long link, long number) {
    sockets.echo(link, number);
  }

  @Override
  public void message(long link, int subject, ByteBuffer content) {
    sockets.message(link, subject, content);
  }

  @Override
  public void goodbye(long link) {
    sockets.goodbye(link);
  }

  @Override
  public void drop(long link) {
    sockets.drop(link);
  }

  @Override
  public void finish(long link) {
    sockets.finish(link);
  }

  @Override
  public void datagram(PeerName to, int subject, ByteBuffer content) {
    sockets.datagram(to, new Incarnation(incarnation, mark), subject, content);
  }

  @Override
  public void wakeAt(Duration when) {
    wakeAt = when;
    seam.at(
        when,
        () -> {
          if (when.equals(wakeAt)) {
            links.due(seam.now());
          }
        });
  }

  @Override
  public void heard(PeerName from, Incarnation life, int subject, ByteBuffer content) {
    Talker talker = talkers.get(subject);
    if (talker != null) {
      talker.heard(from, life, content);
    }
  }

  @Override
  public void up(PeerName peer, Incarnation life) {
    LOG.info(() -> "link: " + peer + " is up, incarnation " + life.incarnation());
    List.copyOf(talkers.values()).forEach(t -> t.up(peer, life));
  }

  @Override
  public void down(PeerName peer, String why) {
    LOG.info(() -> "link: " + peer + " is down: " + why);
    List.copyOf(talkers.values()).forEach(t -> t.down(peer, why));
  }

  @Override
  public void refusedBy(PeerName peer, Incarnation before) {
    LOG.fine(() -> "link: nobody listens where " + peer + " should");
    List.copyOf(talkers.values()).forEach(t -> t.refusedBy(peer, before));
  }

  @Override
  public void outlived(long known) {
    LOG.severe(
        () ->
            "link: others know incarnation "
                + known
                + " of this gateway, and its own records only "
                + incarnation
                + ": the disk lost what it had said was kept");
    take(known + 1);
  }

  /** Another life under a higher incarnation begins, where this one is no longer believed. */
  public void raise(long above) {
    if (above >= incarnation) {
      take(above + 1);
    }
  }
}
