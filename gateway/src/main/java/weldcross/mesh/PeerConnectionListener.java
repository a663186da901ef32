package weldcross.mesh;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;

/** Events and requests that {@link PeerConnectionManager} reports to its owner. */
public interface PeerConnectionListener {

  /**
   * Requests a call of {@link PeerConnectionManager#onTimer} at that time; replaces the previous
   * request.
   */
  void wakeAt(Duration when);

  /** A message or datagram was received from a subsystem of another gateway. */
  void messageReceived(PeerName from, Incarnation incarnation, int subject, ByteBuffer content);

  /**
   * The outbound connection is up: messages are delivered to this incarnation of the peer, in
   * order, until {@link #connectionDown}.
   */
  void connectionUp(PeerName peer, Incarnation incarnation);

  /**
   * The outbound connection is down: whether messages sent on it were received is unknown, except
   * for those that the peer has answered.
   */
  void connectionDown(PeerName peer, DisconnectReason reason);

  /**
   * The connection opened by the peer is up: messages from the peer are received on it, in order.
   */
  default void inboundConnectionUp(PeerName peer, Incarnation incarnation) {}

  /**
   * The connection opened by the peer has ended. This does not affect messages sent by this
   * gateway, as the two directions fail independently.
   */
  default void inboundConnectionDown(PeerName peer, DisconnectReason reason) {}

  /**
   * A connect was refused because no process listens on the peer's address.
   *
   * @param lastKnown the latest incarnation of the peer known when the connect started; its process
   *     has ended, because each process listens before it sends anything. Empty if none was known
   */
  void connectionRefused(PeerName peer, Optional<Incarnation> lastKnown);

  /**
   * A peer knows this gateway under an incarnation number that is not below the stored one, so
   * stored data was lost. This gateway must change to an incarnation above that number.
   */
  void localIncarnationOutdated(long knownIncarnation);
}
