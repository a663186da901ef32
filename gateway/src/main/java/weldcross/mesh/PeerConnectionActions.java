package weldcross.mesh;

import java.nio.ByteBuffer;
import java.time.Duration;

/**
 * What {@link PeerConnectionManager} can do to the world; each call is begun at once and never
 * waits.
 */
public interface PeerConnectionActions {

  /** Dials the peer at the address told for it; what comes of it is told under this number. */
  void dial(long link, PeerName to);

  /** Says who is calling, and whom. */
  void greet(long link, PeerName to, Incarnation self);

  void welcome(long link, Incarnation self);

  /**
   * Says why not, and what is known of the caller: its highest incarnation, or zero; then {@link
   * #finish}.
   */
  void refuse(long link, HandshakeRejection why, long knownIncarnation);

  void beat(long link, long number);

  void echo(long link, long number);

  void message(long link, int subject, ByteBuffer content);

  void goodbye(long link);

  /** Ends the connection, or the dial, at once. */
  void drop(long link);

  /** Ends the connection once what was written to it is out. */
  void finish(long link);

  /** A datagram, which may be lost, repeated and late. */
  void datagram(PeerName to, int subject, ByteBuffer content);

  /** Asks for {@link PeerConnectionManager#due} then; only the earliest time asked for counts. */
  void wakeAt(Duration when);

  /** Something another gateway's subsystem said. */
  void heard(PeerName from, Incarnation life, int subject, ByteBuffer content);

  /** From now on messages go to this life of the peer, in order, until it is told down. */
  void up(PeerName peer, Incarnation life);

  /** What was sent since it was up and is not answered may have arrived or not. */
  void down(PeerName peer, String why);

  /**
   * A dial was refused: no process listens there.
   *
   * @param before the life of the peer that was known when the dial was begun, which has ended
   *     then, as each listens before it says a word; null where none was
   */
  void refusedBy(PeerName peer, Incarnation before);

  /**
   * Others know a life of this gateway that its own records do not: they were lost. Its incarnation
   * has to be higher than this one.
   */
  void outlived(long incarnation);
}
