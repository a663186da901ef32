package weldcross.mesh.net;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.logging.Logger;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.extension.RestartableTimer;
import weldcross.mesh.DisconnectReason;
import weldcross.mesh.Incarnation;
import weldcross.mesh.MeshConfig;
import weldcross.mesh.PeerAddresses;
import weldcross.mesh.PeerConnectionListener;
import weldcross.mesh.PeerConnectionManager;
import weldcross.mesh.PeerName;

/**
 * The gateway extension that runs the mesh. {@link PeerConnectionManager} manages the connections,
 * {@link MinaMeshTransport} owns the sockets, and {@link IncarnationStore} stores the incarnation,
 * which is durable before this gateway connects to any peer. Other extensions send and receive
 * through it, each with its own subject.
 */
public final class MeshExtension implements GatewayExtension, PeerConnectionListener {

  /** The name of the configuration table of the mesh; part of the configuration format. */
  private static final String NAME = "link";

  private static final Logger LOG = Logger.getLogger(MeshExtension.class.getName());

  private final MeshConfig config;
  private final PeerAddresses addresses;
  private final Path directory;
  private final long seed;
  private final Map<Integer, PeerListener> listeners = new HashMap<>();
  private final long nonce = new SecureRandom().nextLong();
  private ExtensionContext context;
  private PeerConnectionManager connections;
  private MinaMeshTransport transport;
  private IncarnationStore incarnations;
  private RestartableTimer timer;

  /**
   * Creates the extension; opens no socket or file before {@link #start}.
   *
   * @param directory the directory under which the incarnation is stored
   * @param seed the seed of the backoff jitter
   */
  public MeshExtension(MeshConfig config, PeerAddresses addresses, Path directory, long seed) {
    this.config = config;
    this.addresses = addresses;
    this.directory = directory;
    this.seed = seed;
  }

  /**
   * Registers the listener of a subject; must be called before {@link #start}.
   *
   * @param subject identifies the subsystem on the wire; the same on all gateways
   */
  public void subscribe(int subject, PeerListener listener) {
    listeners.put(subject, listener);
  }

  /** As {@link PeerConnectionManager#send}. */
  public boolean send(PeerName peer, int subject, ByteBuffer content, boolean dropOldest) {
    return connections.send(context.now(), peer, subject, content, dropOldest);
  }

  /** As {@link PeerConnectionManager#sendDatagram}. */
  public boolean sendDatagram(PeerName peer, int subject, ByteBuffer content) {
    return connections.sendDatagram(peer, subject, content);
  }

  /**
   * Raises this gateway's incarnation above one that other gateways have declared dead, unless it
   * is higher already.
   */
  public void raiseIncarnation(long deadIncarnation) {
    if (deadIncarnation >= incarnations.current()) {
      incarnations.storeAbove(deadIncarnation);
    }
  }

  /** The connections to peers; available once the extension is started. */
  public PeerConnectionManager connections() {
    return connections;
  }

  /** Why the incarnation cannot be stored; empty if the disk works. */
  public Optional<String> diskFailure() {
    return incarnations.failure();
  }

  // ---- GatewayExtension

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(ExtensionContext gateway) {
    context = gateway;
    transport = new MinaMeshTransport(config, addresses, gateway);
    connections = new PeerConnectionManager(config, transport, this, seed);
    timer = new RestartableTimer(gateway, connections::onTimer);
    transport.start(connections);
    incarnations = new IncarnationStore(directory, gateway, this::onIncarnationStored);
    incarnations.open();
  }

  private void onIncarnationStored(long number) {
    LOG.info(() -> "mesh: started: incarnation=" + number);
    Incarnation localIncarnation = new Incarnation(number, nonce);
    connections.start(context.now(), localIncarnation);
    forEachListener(listener -> listener.onStarted(localIncarnation));
  }

  @Override
  public void stop() {
    connections.shutdown(context.now());
    transport.stop();
    incarnations.close();
  }

  @Override
  public String describe() {
    StringBuilder line = new StringBuilder(connections.describe());
    incarnations.failure().ifPresent(failure -> line.append("; disk failure=").append(failure));
    if (incarnations.pendingWrites() > 0) {
      line.append("; pendingWrites=").append(incarnations.pendingWrites());
    }
    return line.toString();
  }

  // ---- PeerConnectionListener

  @Override
  public void wakeAt(Duration when) {
    timer.schedule(when);
  }

  @Override
  public void messageReceived(
      PeerName from, Incarnation incarnation, int subject, ByteBuffer content) {
    PeerListener listener = listeners.get(subject);
    if (listener != null) {
      listener.onMessage(from, incarnation, content);
    }
  }

  @Override
  public void connectionUp(PeerName peer, Incarnation incarnation) {
    LOG.info(() -> "mesh: connection up: peer=" + peer + " incarnation=" + incarnation.number());
    forEachListener(listener -> listener.onConnectionUp(peer, incarnation));
  }

  @Override
  public void connectionDown(PeerName peer, DisconnectReason reason) {
    LOG.info(() -> "mesh: connection down: peer=" + peer + " reason=" + reason);
    forEachListener(listener -> listener.onConnectionDown(peer, reason));
  }

  @Override
  public void inboundConnectionUp(PeerName peer, Incarnation incarnation) {
    LOG.fine(
        () -> "mesh: inbound connection up: peer=" + peer + " incarnation=" + incarnation.number());
  }

  @Override
  public void inboundConnectionDown(PeerName peer, DisconnectReason reason) {
    LOG.fine(() -> "mesh: inbound connection down: peer=" + peer + " reason=" + reason);
  }

  @Override
  public void connectionRefused(PeerName peer, Optional<Incarnation> lastKnown) {
    LOG.fine(() -> "mesh: connect refused: peer=" + peer);
    forEachListener(listener -> listener.onConnectionRefused(peer, lastKnown));
  }

  @Override
  public void localIncarnationOutdated(long knownIncarnation) {
    LOG.severe(
        () ->
            "mesh: stored incarnation is outdated: incarnation="
                + incarnations.current()
                + " knownToPeers="
                + knownIncarnation
                + " reason=the disk lost a confirmed write");
    incarnations.storeAbove(knownIncarnation);
  }

  private void forEachListener(Consumer<PeerListener> event) {
    List.copyOf(listeners.values()).forEach(event);
  }
}
