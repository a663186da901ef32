package weldcross.mesh;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;

/** What {@link PeerConnectionManager} reports to its owner. */
public interface PeerConnectionListener {

  /** Asks for {@link PeerConnectionManager#onTimer} then; only the last request counts. */
  void wakeAt(Duration when);

  /** A message or datagram of a subsystem of another gateway. */
  void messageReceived(PeerName from, Incarnation incarnation, int subject, ByteBuffer content);

  /** From now on messages go to this incarnation of the peer, in order, until it is down. */
  void connectionUp(PeerName peer, Incarnation incarnation);

  /** What was sent since the connection was up and is not answered may have arrived or not. */
  void connectionDown(PeerName peer, DisconnectReason reason);

  /** The peer's own connection is up: from now on its messages are received on it, in order. */
  default void inboundConnectionUp(PeerName peer, Incarnation incarnation) {}

  /**
   * The peer's own connection has ended. It says nothing of what this gateway sends: the two
   * directions fail independently.
   */
  default void inboundConnectionDown(PeerName peer, DisconnectReason reason) {}

  /**
   * A connect was refused: no process listens on the peer's address.
   *
   * @param lastKnown the peer's incarnation that was known when the connect was begun, which has
   *     ended, as each process listens before it sends anything; empty where none was known
   */
  void connectionRefused(PeerName peer, Optional<Incarnation> lastKnown);

  /**
   * Others know an incarnation of this gateway that its own records do not: records were lost. This
   * gateway has to take an incarnation above that number.
   */
  void localIncarnationOutdated(long knownIncarnation);
}
