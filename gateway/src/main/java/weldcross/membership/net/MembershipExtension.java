package weldcross.membership.net;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.extension.RestartableTimer;
import weldcross.membership.FailureDetector;
import weldcross.membership.FailureDetectorActions;
import weldcross.membership.FailureDetectorConfig;
import weldcross.membership.MemberState;
import weldcross.membership.MembershipUpdate;
import weldcross.membership.wire.MembershipMessage;
import weldcross.mesh.Incarnation;
import weldcross.mesh.PeerName;
import weldcross.mesh.net.MeshExtension;
import weldcross.mesh.net.PeerListener;

/**
 * Runs the {@link FailureDetector} as an extension of a gateway. Its messages are sent as datagrams
 * over the mesh.
 */
public final class MembershipExtension
    implements GatewayExtension, FailureDetectorActions, PeerListener {

  /** Mesh subject of this extension's messages. */
  public static final int SUBJECT = 2;

  private static final Logger LOG = Logger.getLogger(MembershipExtension.class.getName());

  private final MeshExtension mesh;
  private final FailureDetector failureDetector;
  private final List<Consumer<MembershipUpdate>> listeners = new ArrayList<>();
  private ExtensionContext context;
  private RestartableTimer timer;

  /**
   * Creates the extension and subscribes it to the mesh.
   *
   * @param seed seeds the random choices of the failure detector
   */
  public MembershipExtension(FailureDetectorConfig config, MeshExtension mesh, long seed) {
    this.mesh = mesh;
    this.failureDetector = new FailureDetector(config, this, seed);
    mesh.subscribe(SUBJECT, this);
  }

  /** Adds a listener for member state changes; must be called before the extension starts. */
  public void addListener(Consumer<MembershipUpdate> listener) {
    listeners.add(listener);
  }

  /** Returns the failure detector, for use on the gateway's thread. */
  public FailureDetector failureDetector() {
    return failureDetector;
  }

  // ---- GatewayExtension

  @Override
  public String name() {
    return "membership";
  }

  @Override
  public void start(ExtensionContext gateway) {
    context = gateway;
    timer = new RestartableTimer(gateway, failureDetector::onTimer);
  }

  @Override
  public void stop() {
    if (isStarted()) {
      failureDetector.leave();
    }
  }

  @Override
  public String describe() {
    return failureDetector.describe();
  }

  /** Returns whether the mesh has an incarnation; messages are neither sent nor handled before. */
  private boolean isStarted() {
    return failureDetector.self().isPresent();
  }

  // ---- PeerListener

  @Override
  public void onStarted(Incarnation self) {
    failureDetector.start(context.now(), self.number());
  }

  @Override
  public void onMessage(PeerName from, Incarnation incarnation, ByteBuffer content) {
    if (!isStarted()) {
      return;
    }
    try {
      dispatch(from, MembershipMessage.parseFrom(content));
    } catch (InvalidProtocolBufferException e) {
      LOG.fine(() -> "membership: message ignored: peer=" + from + " reason=" + e.getMessage());
    }
  }

  private void dispatch(PeerName from, MembershipMessage message) {
    LOG.fine(() -> "membership: message received: peer=" + from + " " + summary(message));
    Duration now = context.now();
    List<MembershipUpdate> updates = MembershipUpdateCodec.decodeAll(message.getUpdatesList());
    switch (message.getKindCase()) {
      case PING -> failureDetector.onPing(now, from, message.getPing(), updates);
      case ACK -> failureDetector.onAck(now, from, message.getAck(), updates);
      case NACK -> failureDetector.onNack(now, from, message.getNack());
      case PING_REQUEST -> {
        PeerName target = new PeerName(message.getPingRequestTarget());
        failureDetector.onPingRequest(now, from, target, message.getPingRequest(), updates);
      }
      default -> {
        // Ignored: message kind of a later version.
      }
    }
  }

  /**
   * Handles the only connection event that is evidence of a peer's state: an open connection does
   * not show that the peer's event loop runs, and a closed one does not show that it ended.
   */
  @Override
  public void onConnectionRefused(PeerName peer, Optional<Incarnation> lastKnown) {
    if (lastKnown.isPresent() && isStarted()) {
      failureDetector.onConnectionRefused(context.now(), peer, lastKnown.get().number());
    }
  }

  // ---- FailureDetectorActions

  @Override
  public void sendPing(PeerName to, long sequence, List<MembershipUpdate> updates) {
    send(to, MembershipMessage.newBuilder().setPing(sequence), updates);
  }

  @Override
  public void sendPingRequest(
      PeerName relay, PeerName target, long sequence, List<MembershipUpdate> updates) {
    MembershipMessage.Builder message =
        MembershipMessage.newBuilder().setPingRequest(sequence).setPingRequestTarget(target.name());
    send(relay, message, updates);
  }

  @Override
  public void sendAck(PeerName to, long sequence, List<MembershipUpdate> updates) {
    send(to, MembershipMessage.newBuilder().setAck(sequence), updates);
  }

  @Override
  public void sendNack(PeerName to, long sequence) {
    send(to, MembershipMessage.newBuilder().setNack(sequence), List.of());
  }

  private void send(
      PeerName to, MembershipMessage.Builder message, List<MembershipUpdate> updates) {
    message.addAllUpdates(MembershipUpdateCodec.encodeAll(updates));
    MembershipMessage complete = message.build();
    LOG.fine(() -> "membership: message sent: peer=" + to + " " + summary(complete));
    mesh.sendDatagram(to, SUBJECT, complete.toByteString().asReadOnlyByteBuffer());
  }

  private static String summary(MembershipMessage message) {
    return switch (message.getKindCase()) {
      case PING -> "kind=PING sequence=" + message.getPing();
      case ACK -> "kind=ACK sequence=" + message.getAck();
      case NACK -> "kind=NACK sequence=" + message.getNack();
      case PING_REQUEST ->
          "kind=PING_REQUEST sequence="
              + message.getPingRequest()
              + " target="
              + message.getPingRequestTarget();
      default -> "kind=UNKNOWN";
    };
  }

  @Override
  public void memberChanged(MembershipUpdate update) {
    LOG.log(
        update.state() == MemberState.SUSPECT ? Level.FINE : Level.INFO,
        () ->
            "membership: member state changed: peer="
                + update.member()
                + " state="
                + update.state()
                + " incarnation="
                + update.incarnation()
                + " version="
                + update.version()
                + " reporter="
                + update.reporter());
    listeners.forEach(listener -> listener.accept(update));
  }

  @Override
  public void declaredDead(long incarnation) {
    LOG.severe(
        () ->
            "membership: declared dead while alive: incarnation="
                + incarnation
                + " reason=connections to this gateway were refused, or its stored incarnation was"
                + " lost");
    mesh.raiseIncarnation(incarnation);
  }

  @Override
  public void wakeAt(Duration when) {
    timer.schedule(when);
  }
}
