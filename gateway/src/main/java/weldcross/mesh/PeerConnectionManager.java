package weldcross.mesh;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Decides all about the connections between gateways: when to dial and how long to rest, whom to
 * speak with, when an open connection counts as stalled, how much may wait for a slow peer and what
 * is dropped then, and which life of a peer is listened to. Called by the adapter that owns the
 * sockets; calls {@link PeerConnectionActions}. Pure: no I/O, no clock, chance from a told seed.
 *
 * <p>A gateway speaks to each peer on a connection that it dialled itself and hears it on one that
 * the peer dialled, so that the two directions stand and fall apart, as networks do. Order is kept
 * within one connection; nothing is repeated on the next. Safety rests on none of the times here:
 * they only say when to give up and try again.
 */
public final class PeerConnectionManager {

  /** Of the connection that this gateway dials. */
  private enum Phase {
    RESTING,
    DIALLING,
    GREETING,
    UP
  }

  private record Message(int subject, ByteBuffer content) {}

  /** One peer: the connection to it, and what is known of its lives. */
  private static final class Peer {
    final PeerName name;
    Phase phase = Phase.RESTING;
    long link;
    Duration until = Duration.ZERO;
    int failures;
    Incarnation spokenTo, heard, knownAtDial;
    long heardLink;

    /** Sent and not echoed: the time of the last sign of life, and of the next beat. */
    Duration aliveAt = Duration.ZERO, beatAt = Duration.ZERO;

    long beats;

    /** Written and not yet taken by the network, and what waits for the connection. */
    int unwritten;

    final ArrayDeque<Message> waiting = new ArrayDeque<>();
    int waitingBytes;
    long dropped;

    Peer(PeerName name) {
      this.name = name;
    }
  }

  /** A connection that somebody dialled here. */
  private static final class Caller {
    final long link;
    Peer peer;
    Incarnation life;
    Duration aliveAt;

    Caller(long link, Duration now) {
      this.link = link;
      this.aliveAt = now;
    }
  }

  private final MeshConfig terms;
  private final PeerConnectionActions host;
  private final SplittableRandom chance;
  private final Map<PeerName, Peer> peers = new TreeMap<>();
  private final Map<Long, Peer> dialled = new HashMap<>();
  private final Map<Long, Caller> callers = new TreeMap<>();
  private Incarnation self;
  private long numbers;
  private boolean leaving;
  private Duration wakeAt;

  /**
   * @param seed decides how long rests are drawn out
   */
  public PeerConnectionManager(MeshConfig terms, PeerConnectionActions host, long seed) {
    this.terms = terms;
    this.host = host;
    this.chance = new SplittableRandom(seed);
    for (PeerName name : terms.peers()) {
      peers.put(name, new Peer(name));
    }
  }

  /**
   * Begins; called once this life's incarnation is sure, or again where a higher one had to be
   * taken.
   */
  public void start(Duration now, Incarnation life) {
    boolean again = self != null;
    self = life;
    for (Peer peer : peers.values()) {
      if (again) {
        lose(now, peer, "this gateway's incarnation changed");
      }
      peer.failures = 0;
      peer.until = now;
    }
    due(now);
  }

  /** Says goodbye to all: nobody has to find out by silence that this gateway is gone. */
  public void leave(Duration now) {
    leaving = true;
    for (Peer peer : peers.values()) {
      if (peer.phase == Phase.UP) {
        host.goodbye(peer.link);
        host.finish(peer.link);
      } else if (peer.phase != Phase.RESTING) {
        host.drop(peer.link);
      }
      dialled.remove(peer.link);
      peer.phase = Phase.RESTING;
    }
  }

  // ---- What is sent

  /**
   * Sends it to the peer in order behind what was sent before, or has it wait until the peer is up.
   *
   * @param mayBeLost whether it makes room for later ones: where too much waits, the oldest of
   *     these go first; else a full queue ends the connection, so that what is lost is told by
   *     {@link PeerConnectionActions#down}
   * @return false where it was not taken: the peer is not told of, or too much waits for it
   */
  public boolean send(
      Duration now, PeerName to, int subject, ByteBuffer content, boolean mayBeLost) {
    Peer peer = peers.get(to);
    int size = content.remaining();
    if (peer == null || leaving || size > MeshConfig.LONGEST) {
      return false;
    }
    if (peer.phase == Phase.UP
        && peer.waiting.isEmpty()
        && peer.unwritten + size <= terms.mostBytes()) {
      peer.unwritten += size;
      host.message(peer.link, subject, content);
      return true;
    }
    while (mayBeLost && !peer.waiting.isEmpty() && isFull(peer, size)) {
      peer.waitingBytes -= peer.waiting.poll().content().remaining();
      peer.dropped++;
    }
    if (isFull(peer, size)) {
      peer.dropped++;
      if (peer.phase == Phase.UP && !mayBeLost) {
        lose(now, peer, "too much waits for it");
        rest(now, peer);
      }
      return false;
    }
    peer.waiting.add(new Message(subject, content));
    peer.waitingBytes += size;
    return true;
  }

  private boolean isFull(Peer peer, int more) {
    return peer.waiting.size() + 1 > terms.mostWaiting()
        || peer.waitingBytes + more > terms.mostBytes();
  }

  /** Sends it by a datagram, which may be lost; false where the peer is not told of. */
  public boolean tell(PeerName to, int subject, ByteBuffer content) {
    if (!peers.containsKey(to) || leaving) {
      return false;
    }
    host.datagram(to, subject, content);
    return true;
  }

  /** So many bytes of messages on this connection were taken by the network. */
  public void written(Duration now, long link, int bytes) {
    Peer peer = dialled.get(link);
    if (peer != null) {
      peer.unwritten = Math.max(0, peer.unwritten - bytes);
      flush(peer);
    }
  }

  private void flush(Peer peer) {
    while (peer.phase == Phase.UP
        && !peer.waiting.isEmpty()
        && (peer.unwritten == 0
            || peer.unwritten + peer.waiting.peek().content().remaining() <= terms.mostBytes())) {
      Message next = peer.waiting.poll();
      peer.waitingBytes -= next.content().remaining();
      peer.unwritten += next.content().remaining();
      host.message(peer.link, next.subject(), next.content());
    }
  }

  // ---- Connections dialled here

  /** A dial came up. */
  public void dialled(Duration now, long link) {
    Peer peer = dialled.get(link);
    if (peer == null) {
      host.drop(link);
      return;
    }
    peer.phase = Phase.GREETING;
    peer.until = now.plus(terms.dialWithin());
    host.greet(link, peer.name, self);
    wake(now);
  }

  /**
   * @param refused whether the address answered that nobody listens there
   */
  public void dialFailed(Duration now, long link, boolean refused) {
    Peer peer = dialled.get(link);
    if (peer != null) {
      PeerName name = peer.name;
      Incarnation before = peer.knownAtDial;
      lose(now, peer, null);
      rest(now, peer);
      if (refused) {
        host.refusedBy(name, before);
      }
    }
  }

  /** The peer took the call. */
  public void welcomed(Duration now, long link, Incarnation life) {
    Peer peer = dialled.get(link);
    if (peer == null || peer.phase != Phase.GREETING) {
      broke(now, link, "a welcome that nobody waits for");
      return;
    }
    if (isOld(peer, life)) {
      lose(now, peer, null);
      rest(now, peer);
      return;
    }
    learn(now, peer, life);
    peer.phase = Phase.UP;
    peer.failures = 0;
    peer.spokenTo = life;
    peer.aliveAt = now;
    peer.beatAt = now.plus(terms.beatApart());
    peer.unwritten = 0;
    host.up(peer.name, life);
    flush(peer);
    wake(now);
  }

  /** The peer does not speak with this gateway; it is asked again ever more rarely. */
  public void refused(Duration now, long link, HandshakeRejection why, long knownIncarnation) {
    Peer peer = dialled.get(link);
    if (peer == null) {
      return;
    }
    lose(now, peer, "it refuses: " + why);
    rest(now, peer);
    if (why == HandshakeRejection.OLD && knownIncarnation >= self.incarnation()) {
      host.outlived(knownIncarnation);
    }
  }

  public void echoed(Duration now, long link, long number) {
    Peer peer = dialled.get(link);
    if (peer != null && peer.phase == Phase.UP && number <= peer.beats) {
      peer.aliveAt = now;
    }
  }

  // ---- Connections dialled by others

  /**
   * Somebody called.
   *
   * @param told whether it comes from a host on which a peer is called
   */
  public void accepted(Duration now, long link, boolean told) {
    if (!told) {
      host.drop(link);
      return;
    }
    // Two for each peer, as one that was cut may not have ended yet; whoever is beyond these waits
    // longest.
    if (callers.size() >= 2 * peers.size()) {
      host.drop(link);
      return;
    }
    callers.put(link, new Caller(link, now));
    wake(now);
  }

  /** The caller says who it is, and whom it wants. */
  public void greeted(
      Duration now,
      long link,
      String cluster,
      PeerName from,
      PeerName to,
      Incarnation life,
      int version) {
    Caller caller = callers.get(link);
    if (caller == null || caller.peer != null) {
      broke(now, link, "a greeting out of its place");
      return;
    }
    Peer peer = peers.get(from);
    HandshakeRejection why =
        !cluster.equals(terms.cluster())
            ? HandshakeRejection.CLUSTER
            : peer == null
                ? HandshakeRejection.NAME
                : !to.equals(terms.self())
                    ? HandshakeRejection.NOT_ME
                    : version < MeshConfig.OLDEST || version > MeshConfig.VERSION
                        ? HandshakeRejection.VERSION
                        : isOld(peer, life) ? HandshakeRejection.OLD : null;
    if (why != null || self == null || leaving) {
      callers.remove(link);
      if (why == null) {
        host.drop(link);
        return;
      }
      host.refuse(link, why, why == HandshakeRejection.OLD ? peer.heard.incarnation() : 0);
      host.finish(link);
      return;
    }
    learn(now, peer, life);
    Caller before = callers.get(peer.heardLink);
    if (before != null && before.peer == peer) {
      callers.remove(peer.heardLink);
      host.drop(peer.heardLink);
    }
    caller.peer = peer;
    caller.life = life;
    caller.aliveAt = now;
    peer.heardLink = link;
    host.welcome(link, self);
    // Whoever calls can be called: a rest that has grown long is over.
    if (peer.phase == Phase.RESTING && peer.failures > 0 && !leaving) {
      peer.failures = 0;
      peer.until = now;
      due(now);
    }
  }

  public void beaten(Duration now, long link, long number) {
    Caller caller = callers.get(link);
    if (caller != null && caller.peer != null) {
      caller.aliveAt = now;
      host.echo(link, number);
    }
  }

  /** A message on a connection that a peer dialled. */
  public void message(Duration now, long link, int subject, ByteBuffer content) {
    Caller caller = callers.get(link);
    if (caller == null) {
      return;
    }
    if (caller.peer == null) {
      broke(now, link, "a message before a greeting");
      return;
    }
    caller.aliveAt = now;
    host.heard(caller.peer.name, caller.life, subject, content);
  }

  /** A datagram says that it is from this life of a peer; nobody vouches for it. */
  public void datagram(
      Duration now,
      String cluster,
      PeerName from,
      Incarnation life,
      int version,
      int subject,
      ByteBuffer content) {
    Peer peer = peers.get(from);
    if (peer != null
        && cluster.equals(terms.cluster())
        && version >= MeshConfig.OLDEST
        && version <= MeshConfig.VERSION
        && !isOld(peer, life)) {
      learn(now, peer, life);
      host.heard(from, life, subject, content);
    }
  }

  /** The peer is about to end, and says so. */
  public void goodbye(Duration now, long link) {
    Caller caller = callers.remove(link);
    if (caller != null && caller.peer != null) {
      host.drop(link);
      if (caller.peer.phase == Phase.UP) {
        Peer peer = caller.peer;
        lose(now, peer, "it said goodbye");
        rest(now, peer);
      }
    }
  }

  // ---- Ends

  /** A connection, whoever dialled it, has ended. */
  public void gone(Duration now, long link) {
    callers.remove(link);
    Peer peer = dialled.get(link);
    if (peer != null) {
      lose(now, peer, "its connection ended");
      rest(now, peer);
    }
  }

  /**
   * What came cannot be read, or makes no sense: it costs this connection and nobody else anything.
   */
  public void broke(Duration now, long link, String why) {
    host.drop(link);
    callers.remove(link);
    Peer peer = dialled.get(link);
    if (peer != null) {
      lose(now, peer, why);
      rest(now, peer);
    }
  }

  /** The connection to the peer is no more; what was to go by it and waits for the next stays. */
  private void lose(Duration now, Peer peer, String why) {
    if (peer.phase == Phase.RESTING) {
      return;
    }
    boolean wasUp = peer.phase == Phase.UP;
    dialled.remove(peer.link);
    host.drop(peer.link);
    peer.phase = Phase.RESTING;
    peer.until = now;
    peer.unwritten = 0;
    if (wasUp) {
      // What waited was for the life that was up; who comes next is told what it has to know anew.
      peer.dropped += peer.waiting.size();
      peer.waiting.clear();
      peer.waitingBytes = 0;
      host.down(peer.name, why);
    }
  }

  /**
   * Rests grow by doubling and are drawn out by up to a half, so that those who lost one peer
   * spread out.
   */
  private void rest(Duration now, Peer peer) {
    Duration rest = terms.shortestRest();
    for (int k = 0; k < peer.failures && rest.compareTo(terms.longestRest()) < 0; k++) {
      rest = rest.multipliedBy(2);
    }
    rest = rest.compareTo(terms.longestRest()) > 0 ? terms.longestRest() : rest;
    peer.failures++;
    peer.until = now.plus(rest).plusNanos((long) (rest.toNanos() * 0.5 * chance.nextDouble()));
    wake(now);
  }

  /** Whether a later life of the peer is known, or another one under the same incarnation. */
  private static boolean isOld(Peer peer, Incarnation life) {
    return peer.heard != null
        && (life.incarnation() < peer.heard.incarnation()
            || (life.incarnation() == peer.heard.incarnation()
                && life.mark() != peer.heard.mark()));
  }

  /**
   * A later life ends all that is open to or from the one before: nothing of that is listened to
   * any more.
   */
  private void learn(Duration now, Peer peer, Incarnation life) {
    if (life.equals(peer.heard)) {
      return;
    }
    peer.heard = life;
    Caller caller = callers.get(peer.heardLink);
    if (caller != null && caller.peer == peer && !caller.life.equals(life)) {
      callers.remove(caller.link);
      host.drop(caller.link);
    }
    if (peer.phase == Phase.UP && !peer.spokenTo.equals(life)) {
      lose(now, peer, "it has started anew");
      peer.failures = 0;
      wake(now);
    }
  }

  // ---- What is due

  /** Does what is due by now, and asks to be called again for the next. */
  public void due(Duration now) {
    if (leaving || self == null) {
      return;
    }
    for (Peer peer : peers.values()) {
      if (peer.phase == Phase.UP) {
        beat(now, peer);
      } else if (peer.until.compareTo(now) <= 0 && peer.phase == Phase.RESTING) {
        peer.link = --numbers;
        peer.phase = Phase.DIALLING;
        peer.until = now.plus(terms.dialWithin());
        dialled.put(peer.link, peer);
        peer.knownAtDial = peer.heard;
        host.dial(peer.link, peer.name);
      } else if (peer.until.compareTo(now) <= 0) {
        lose(now, peer, null);
        rest(now, peer);
      }
    }
    callers
        .values()
        .removeIf(
            caller -> {
              boolean silent = aliveUntil(caller).compareTo(now) <= 0;
              if (silent) {
                host.drop(caller.link);
              }
              return silent;
            });
    wakeAt = null;
    wake(now);
  }

  /**
   * Who has not said who it is has the time of a dial for it, so that places are not held by
   * nobody.
   */
  private Duration aliveUntil(Caller caller) {
    return caller.aliveAt.plus(caller.peer == null ? terms.dialWithin() : terms.stalledAfter());
  }

  private void beat(Duration now, Peer peer) {
    if (now.minus(peer.aliveAt).compareTo(terms.stalledAfter()) >= 0) {
      lose(now, peer, "silent, though its connection is open");
      rest(now, peer);
    } else if (peer.beatAt.compareTo(now) <= 0) {
      host.beat(peer.link, ++peer.beats);
      peer.beatAt = now.plus(terms.beatApart());
    }
  }

  private void wake(Duration now) {
    Duration next = null;
    for (Peer peer : peers.values()) {
      next =
          earlier(
              next,
              peer.phase != Phase.UP
                  ? peer.until
                  : earlier(peer.beatAt, peer.aliveAt.plus(terms.stalledAfter())));
    }
    for (Caller caller : callers.values()) {
      next = earlier(next, aliveUntil(caller));
    }
    if (next != null && !leaving && (wakeAt == null || next.compareTo(wakeAt) < 0)) {
      wakeAt = next.compareTo(now) > 0 ? next : now;
      host.wakeAt(wakeAt);
    }
  }

  private static Duration earlier(Duration a, Duration b) {
    return a == null || b.compareTo(a) < 0 ? b : a;
  }

  // ---- What is known, for state lines and checks

  public boolean isUp(PeerName name) {
    Peer peer = peers.get(name);
    return peer != null && peer.phase == Phase.UP;
  }

  /** All that this gateway was told of, by name. */
  public Set<PeerName> peers() {
    return Collections.unmodifiableSet(peers.keySet());
  }

  /** When a connection with the peer last gave a sign of life; null where none is open. */
  public Duration heardAt(PeerName name) {
    Peer peer = peers.get(name);
    Caller caller = peer == null ? null : callers.get(peer.heardLink);
    Duration called = caller != null && caller.peer == peer ? caller.aliveAt : null;
    Duration own = peer != null && peer.phase == Phase.UP ? peer.aliveAt : null;
    return called == null || (own != null && own.compareTo(called) > 0) ? own : called;
  }

  /** The latest life of the peer that was heard of; null where none was. */
  public Incarnation lifeOf(PeerName name) {
    Peer peer = peers.get(name);
    return peer == null ? null : peer.heard;
  }

  /**
   * Messages that wait for the peer, and bytes of them and of those not yet taken by the network.
   */
  public int waiting(PeerName name) {
    return peers.get(name).waiting.size();
  }

  public int bytes(PeerName name) {
    return peers.get(name).waitingBytes + peers.get(name).unwritten;
  }

  /** One line without an end: each peer with its phase, life, and what waited and was dropped. */
  public String describe() {
    StringBuilder words =
        new StringBuilder("link ")
            .append(self == null ? "not begun" : "incarnation " + self.incarnation());
    for (Peer peer : peers.values()) {
      Caller caller = callers.get(peer.heardLink);
      words
          .append("; ")
          .append(peer.name)
          .append(' ')
          .append(peer.phase)
          .append(peer.heard == null ? "" : " life " + peer.heard.incarnation())
          .append(caller != null && caller.peer == peer ? " heard" : " unheard")
          .append(peer.waiting.isEmpty() ? "" : ", " + peer.waiting.size() + " wait")
          .append(peer.dropped == 0 ? "" : ", " + peer.dropped + " dropped");
    }
    return words.toString();
  }
}
