package weldcross.mesh.net;

import java.nio.ByteBuffer;
import java.util.Optional;
import weldcross.mesh.DisconnectReason;
import weldcross.mesh.Incarnation;
import weldcross.mesh.PeerConnectionListener;
import weldcross.mesh.PeerName;

/** A subsystem that sends and receives messages under a subject of the mesh. */
public interface PeerListener {

  /** A message or datagram of the same subsystem of another gateway. */
  void onMessage(PeerName from, Incarnation incarnation, ByteBuffer content);

  /** This gateway takes part in the mesh under this incarnation from now on. */
  default void onStarted(Incarnation self) {}

  /** As {@link PeerConnectionListener#connectionUp}. */
  default void onConnectionUp(PeerName peer, Incarnation incarnation) {}

  /** As {@link PeerConnectionListener#connectionDown}. */
  default void onConnectionDown(PeerName peer, DisconnectReason reason) {}

  /** As {@link PeerConnectionListener#connectionRefused}. */
  default void onConnectionRefused(PeerName peer, Optional<Incarnation> lastKnown) {}
}
