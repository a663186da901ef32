package weldcross.membership.net;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.membership.FailureDetector;
import weldcross.membership.FailureDetectorActions;
import weldcross.membership.FailureDetectorConfig;
import weldcross.membership.MemberState;
import weldcross.membership.MembershipUpdate;
import weldcross.membership.wire.Entry;
import weldcross.membership.wire.Word;
import weldcross.mesh.Incarnation;
import weldcross.mesh.PeerName;
import weldcross.mesh.net.MeshExtension;

/**
 * Who is here, as a part of a gateway: {@link FailureDetector} decides, the link carries its words.
 */
public final class MembershipExtension
    implements GatewayExtension, FailureDetectorActions, MeshExtension.Talker {

  /** Under which the link carries this part's words. */
  public static final int SUBJECT = 2;

  private static final Logger LOG = Logger.getLogger(MembershipExtension.class.getName());

  private final MeshExtension link;
  private final FailureDetector seen;
  private final List<Consumer<MembershipUpdate>> listeners = new ArrayList<>();
  private ExtensionContext seam;
  private Duration wakeAt;

  /**
   * @param seed of the order of probes
   */
  public MembershipExtension(FailureDetectorConfig terms, MeshExtension link, long seed) {
    this.link = link;
    this.seen = new FailureDetector(terms, this, seed);
    link.talk(SUBJECT, this);
  }

  /** Called before the part is started: whoever is to hear of each finding that changes. */
  public void tell(Consumer<MembershipUpdate> listener) {
    listeners.add(listener);
  }

  /** What is held of another gateway. */
  public FailureDetector seen() {
    return seen;
  }

  // ---- Of the gateway

  @Override
  public String name() {
    return "membership";
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
    // Others learn of it at the end: until then this gateway is here.
  }

  @Override
  public boolean isDone() {
    return true;
  }

  @Override
  public void stop() {
    if (seen.self() != null) {
      seen.leave();
    }
  }

  @Override
  public String describe() {
    return seen.describe();
  }

  // ---- Of the link

  @Override
  public void begun(Incarnation self) {
    seen.start(seam.now(), self.incarnation());
  }

  @Override
  public void heard(PeerName from, Incarnation life, ByteBuffer content) {
    if (seen.self() == null) {
      return;
    }
    Word word;
    try {
      word = Word.parseFrom(content);
    } catch (InvalidProtocolBufferException e) {
      LOG.fine(() -> "membership: a word of " + from + " that is none");
      return;
    }
    List<MembershipUpdate> news = new ArrayList<>();
    for (Entry each : word.getNewsList()) {
      MemberState finding = finding(each.getFinding());
      if (finding != null) {
        news.add(
            new MembershipUpdate(
                new PeerName(each.getOf()),
                each.getLife(),
                each.getVersion(),
                finding,
                each.getZone(),
                each.getPart(),
                new PeerName(each.getBy())));
      }
    }
    Duration now = seam.now();
    switch (word.getKindCase()) {
      case PROBE -> seen.probed(now, from, word.getProbe(), news);
      case ANSWER -> seen.answered(now, from, word.getAnswer(), news);
      case NO_ANSWER -> seen.notAnswered(now, from, word.getNoAnswer());
      case HELP -> seen.helpAsked(now, from, new PeerName(word.getTarget()), word.getHelp(), news);
      default -> {
        // Of a later version, which says more than is known here.
      }
    }
  }

  private static MemberState finding(String word) {
    for (MemberState each : MemberState.values()) {
      if (each != MemberState.UNHEARD && each.name().equals(word)) {
        return each;
      }
    }
    return null;
  }

  @Override
  public void up(PeerName peer, Incarnation life) {
    // Probes tell more: that a connection is up says nothing of its other side's thread.
  }

  @Override
  public void down(PeerName peer, String why) {
    // Nor does its end: what is proof is told by refused dials.
  }

  @Override
  public void refusedBy(PeerName peer, Incarnation before) {
    if (before != null && seen.self() != null) {
      seen.refusedBy(seam.now(), peer, before.incarnation());
    }
  }

  // ---- What is decided

  @Override
  public void probe(PeerName to, long number, List<MembershipUpdate> news) {
    say(to, Word.newBuilder().setProbe(number), news);
  }

  @Override
  public void help(PeerName helper, PeerName target, long number, List<MembershipUpdate> news) {
    say(helper, Word.newBuilder().setHelp(number).setTarget(target.name()), news);
  }

  @Override
  public void answer(PeerName to, long number, List<MembershipUpdate> news) {
    say(to, Word.newBuilder().setAnswer(number), news);
  }

  @Override
  public void noAnswer(PeerName to, long number) {
    say(to, Word.newBuilder().setNoAnswer(number), List.of());
  }

  private void say(PeerName to, Word.Builder word, List<MembershipUpdate> news) {
    for (MembershipUpdate each : news) {
      word.addNews(
          Entry.newBuilder()
              .setOf(each.of().name())
              .setLife(each.life())
              .setVersion(each.version())
              .setFinding(each.finding().name())
              .setZone(each.zone())
              .setPart(each.part())
              .setBy(each.by().name()));
    }
    link.tell(to, SUBJECT, word.build().toByteString().asReadOnlyByteBuffer());
  }

  @Override
  public void found(MembershipUpdate now) {
    LOG.log(
        now.finding() == MemberState.SUSPECT ? Level.FINE : Level.INFO,
        () ->
            "membership: "
                + now.of()
                + " is "
                + now.finding()
                + ", life "
                + now.life()
                + " version "
                + now.version()
                + ", by "
                + now.by());
    listeners.forEach(each -> each.accept(now));
  }

  @Override
  public void takenForGone(long life) {
    LOG.severe(
        () ->
            "membership: others hold life "
                + life
                + " of this gateway for gone, and it lives: something "
                + "refuses dials in its place, or its records were lost");
    link.raise(life);
  }

  @Override
  public void wakeAt(Duration when) {
    wakeAt = when;
    seam.at(
        when,
        () -> {
          if (when.equals(wakeAt)) {
            seen.due(seam.now());
          }
        });
  }
}
