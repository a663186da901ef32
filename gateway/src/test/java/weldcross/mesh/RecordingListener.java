package weldcross.mesh;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Records the reported events in order. */
final class RecordingListener implements PeerConnectionListener {
  final List<String> events = new ArrayList<>();

  @Override
  public void wakeAt(Duration when) {
    throw new AssertionError("unexpected timer request");
  }

  @Override
  public void messageReceived(
      PeerName from, Incarnation incarnation, int subject, ByteBuffer content) {
    throw new AssertionError("unexpected message");
  }

  @Override
  public void connectionUp(PeerName peer, Incarnation incarnation) {
    events.add("up " + incarnation.number());
  }

  @Override
  public void connectionDown(PeerName peer, DisconnectReason reason) {
    events.add("down " + reason);
  }

  @Override
  public void inboundConnectionUp(PeerName peer, Incarnation incarnation) {
    events.add("inbound up " + incarnation.number());
  }

  @Override
  public void inboundConnectionDown(PeerName peer, DisconnectReason reason) {
    events.add("inbound down " + reason);
  }

  @Override
  public void connectionRefused(PeerName peer, Optional<Incarnation> lastKnown) {
    events.add("refused " + lastKnown.map(Incarnation::number).orElse(0L));
  }

  @Override
  public void localIncarnationOutdated(long knownIncarnation) {
    throw new AssertionError("unexpected outdated incarnation");
  }
}
