package weldcross.mesh.net;

import java.nio.ByteBuffer;
import java.util.Optional;
import weldcross.mesh.DisconnectReason;
import weldcross.mesh.Incarnation;
import weldcross.mesh.PeerConnectionListener;
import weldcross.mesh.PeerName;

/** Receives the messages and connection events of one subsystem that communicates over the mesh. */
public interface PeerListener {

  /** A message or datagram was received from the same subsystem of another gateway. */
  void onMessage(PeerName from, Incarnation incarnation, ByteBuffer content);

  /** This gateway has joined the mesh with this incarnation. */
  default void onStarted(Incarnation localIncarnation) {}

  /** As {@link PeerConnectionListener#connectionUp}. */
  default void onConnectionUp(PeerName peer, Incarnation incarnation) {}

  /** As {@link PeerConnectionListener#connectionDown}. */
  default void onConnectionDown(PeerName peer, DisconnectReason reason) {}

  /** As {@link PeerConnectionListener#connectionRefused}. */
  default void onConnectionRefused(PeerName peer, Optional<Incarnation> lastKnown) {}
}
