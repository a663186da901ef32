package weldcross.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Simulates the connection managers of several gateways on an in-memory network with simulated
 * time. Each connection consists of one ordered frame queue per direction; its frames can be
 * delayed or dropped, and the connection can be reset. Each received message is checked on arrival.
 */
final class MeshSimulation {

  static final MeshConfig CONFIG = config(new PeerName("?"), List.of());

  private static final int SUBJECT = 1;

  static MeshConfig config(PeerName self, List<PeerName> peers) {
    return new MeshConfig(
        "c",
        self,
        peers,
        Duration.ofMillis(100),
        Duration.ofMillis(400),
        Duration.ofMillis(200),
        Duration.ofMillis(50),
        Duration.ofMillis(800),
        8,
        400);
  }

  /** One end of a connection, and the frames in transit to it. */
  static final class Endpoint {
    final Node node;
    final long number;
    Endpoint other;
    final ArrayDeque<Consumer<PeerConnectionManager>> framesInTransit = new ArrayDeque<>();
    boolean open = true;

    Endpoint(Node node, long number) {
      this.node = node;
      this.number = number;
    }
  }

  /** One gateway across its restarts. */
  final class Node implements PeerTransport, PeerConnectionListener {
    final PeerName name;
    PeerConnectionManager manager;
    Incarnation incarnation = new Incarnation(0, 0);
    Duration wakeAt;
    int restarts;
    final Map<Long, Endpoint> endpoints = new LinkedHashMap<>();
    final Map<PeerName, Incarnation> lastIncarnation = new HashMap<>();
    final Map<PeerName, Long> lastReceived = new HashMap<>();
    final Map<PeerName, Long> sent = new HashMap<>();
    final List<String> events = new ArrayList<>();

    Node(PeerName name) {
      this.name = name;
    }

    @Override
    public void connect(long connection, PeerName to) {
      connects.add(new Connect(this, connection, nodes.get(to.name()), restarts));
    }

    private void write(long connection, Consumer<PeerConnectionManager> frame) {
      Endpoint end = endpoints.get(connection);
      if (end != null && end.open && end.other != null && !isCut(name, end.other.node.name)) {
        end.other.framesInTransit.add(frame);
      }
    }

    /** The connection's number at the remote gateway; zero if there is none. */
    private long remoteNumber(long connection) {
      Endpoint end = endpoints.get(connection);
      return end == null || end.other == null ? 0 : end.other.number;
    }

    @Override
    public void sendHandshakeRequest(long connection, PeerName to, Incarnation localIncarnation) {
      long remoteConnection = remoteNumber(connection);
      HandshakeRequest request =
          new HandshakeRequest("c", name, to, localIncarnation, MeshConfig.PROTOCOL_VERSION);
      write(connection, receiver -> receiver.onHandshakeRequest(now, remoteConnection, request));
    }

    @Override
    public void sendHandshakeResponse(long connection, Incarnation localIncarnation) {
      long remoteConnection = remoteNumber(connection);
      write(
          connection,
          receiver -> receiver.onHandshakeResponse(now, remoteConnection, localIncarnation));
    }

    @Override
    public void sendHandshakeRejection(long connection, HandshakeRejection reason, long known) {
      long remoteConnection = remoteNumber(connection);
      write(
          connection,
          receiver -> receiver.onHandshakeRejection(now, remoteConnection, reason, known));
    }

    @Override
    public void sendHeartbeat(long connection, long sequence) {
      long remoteConnection = remoteNumber(connection);
      write(connection, receiver -> receiver.onHeartbeat(now, remoteConnection, sequence));
    }

    @Override
    public void sendHeartbeatAck(long connection, long sequence) {
      long remoteConnection = remoteNumber(connection);
      write(connection, receiver -> receiver.onHeartbeatAck(now, remoteConnection, sequence));
    }

    @Override
    public void sendMessage(long connection, int subject, ByteBuffer content) {
      long remoteConnection = remoteNumber(connection);
      ByteBuffer copy = content.duplicate();
      write(connection, receiver -> receiver.onMessage(now, remoteConnection, subject, copy));
      Endpoint end = endpoints.get(connection);
      int bytes = content.remaining();
      if (networkCompletesWrites && end != null) {
        deferredActions.add(
            () -> {
              if (end.open && end.node.endpoints.get(connection) == end) {
                manager.onWritten(connection, bytes);
              }
            });
      }
    }

    @Override
    public void sendGoodbye(long connection) {
      long remoteConnection = remoteNumber(connection);
      write(connection, receiver -> receiver.onGoodbye(now, remoteConnection));
    }

    @Override
    public void close(long connection) {
      Endpoint end = endpoints.remove(connection);
      if (end == null) {
        return;
      }
      end.open = false;
      end.framesInTransit.clear();
      if (end.other != null && end.other.open && !isCut(name, end.other.node.name)) {
        Endpoint remote = end.other;
        remote.framesInTransit.add(
            receiver -> {
              remote.open = false;
              remote.node.endpoints.remove(remote.number);
              receiver.onClosed(now, remote.number);
            });
      }
    }

    @Override
    public void closeAfterFlush(long connection) {
      close(connection);
    }

    @Override
    public void sendDatagram(
        PeerName to, Incarnation localIncarnation, int subject, ByteBuffer content) {
      throw new AssertionError("unexpected datagram");
    }

    @Override
    public void wakeAt(Duration when) {
      wakeAt = when;
    }

    /**
     * Checks that messages come from the latest known incarnation, in the order in which they were
     * sent.
     */
    @Override
    public void messageReceived(
        PeerName from, Incarnation sender, int subject, ByteBuffer content) {
      Incarnation previous = lastIncarnation.get(from);
      assertEquals(
          Optional.of(sender),
          manager.incarnationOf(from),
          name + " knows a later incarnation of " + from);
      if (previous != null) {
        assertTrue(
            sender.number() >= previous.number(),
            name + " received from " + from + " of " + sender + " after " + previous);
        assertTrue(
            sender.number() > previous.number() || sender.nonce() == previous.nonce(),
            "two processes under one incarnation: " + sender + " after " + previous);
      }
      long number = content.duplicate().getLong();
      if (sender.equals(previous)) {
        assertTrue(
            number > lastReceived.get(from),
            name + " received " + number + " of " + from + " after " + lastReceived.get(from));
      }
      lastIncarnation.put(from, sender);
      lastReceived.put(from, number);
      messagesReceived++;
    }

    @Override
    public void connectionUp(PeerName peer, Incarnation remoteIncarnation) {
      events.add("up " + peer + " " + remoteIncarnation.number());
    }

    @Override
    public void connectionDown(PeerName peer, DisconnectReason reason) {
      events.add("down " + peer + " " + reason);
    }

    @Override
    public void connectionRefused(PeerName peer, Optional<Incarnation> lastKnown) {
      events.add("refused by " + peer);
    }

    @Override
    public void localIncarnationOutdated(long known) {
      events.add("outdated by " + known);
      incarnation = new Incarnation(known + 1, incarnation.nonce());
      deferredActions.add(() -> manager.start(now, incarnation));
    }

    /**
     * Replaces the process. Its incarnation number follows the previous one, or repeats an earlier
     * one if the disk lost data.
     */
    void restart(long incarnationNumber) {
      for (Endpoint end : List.copyOf(endpoints.values())) {
        close(end.number);
      }
      connects.removeIf(connect -> connect.from == this);
      restarts++;
      incarnation = new Incarnation(incarnationNumber, ++lastNonce);
      lastIncarnation.clear();
      lastReceived.clear();
      List<PeerName> others =
          nodes.values().stream().map(n -> n.name).filter(n -> !n.equals(name)).toList();
      manager = new PeerConnectionManager(config(name, others), this, this, lastNonce);
      wakeAt = null;
      manager.start(now, incarnation);
    }

    void send(PeerName to, int size, boolean dropOldest) {
      long number = sent.merge(to, 1L, Long::sum);
      ByteBuffer content = ByteBuffer.allocate(size).putLong(0, number);
      manager.send(now, to, SUBJECT, content, dropOldest);
    }

    void assertQueuesBounded() {
      for (Node peer : nodes.values()) {
        if (peer != this) {
          assertTrue(
              manager.queuedMessages(peer.name) <= CONFIG.maxQueuedMessages(), manager.describe());
          assertTrue(
              manager.queuedBytes(peer.name) <= 2 * CONFIG.maxQueuedBytes(), manager.describe());
        }
      }
    }
  }

  /** A connect in progress. */
  record Connect(Node from, long connection, Node to, int restarts) {}

  final Map<String, Node> nodes = new LinkedHashMap<>();
  final List<Connect> connects = new ArrayList<>();
  final ArrayDeque<Runnable> deferredActions = new ArrayDeque<>();

  /** One-way paths, as "from>to", on which frames and connects are dropped. */
  final Set<String> cutPaths = new TreeSet<>();

  /**
   * Paused nodes: they run no timer and receive nothing, while the network continues to queue
   * frames.
   */
  final Set<Node> paused = new HashSet<>();

  Duration now = Duration.ZERO;
  boolean networkCompletesWrites = true;
  long messagesReceived;
  private long lastNonce;
  private long acceptedConnections;

  MeshSimulation(int count) {
    for (int k = 0; k < count; k++) {
      nodes.put("n" + k, new Node(new PeerName("n" + k)));
    }
    nodes.values().forEach(node -> node.restart(1));
    runDeferredActions();
  }

  Node node(int k) {
    return nodes.get("n" + k);
  }

  private boolean isCut(PeerName from, PeerName to) {
    return cutPaths.contains(from + ">" + to);
  }

  /** Completes a connect; it is dropped if the path is cut in either direction. */
  void completeConnect(Connect connect) {
    connects.remove(connect);
    if (connect.from.restarts != connect.restarts
        || isCut(connect.from.name, connect.to.name)
        || isCut(connect.to.name, connect.from.name)) {
      return;
    }
    Endpoint local = new Endpoint(connect.from, connect.connection);
    Endpoint remote = new Endpoint(connect.to, ++acceptedConnections);
    local.other = remote;
    remote.other = local;
    connect.from.endpoints.put(local.number, local);
    connect.to.endpoints.put(remote.number, remote);
    connect.to.manager.onAccepted(now, remote.number, true);
    connect.from.manager.onConnected(now, local.number);
    runDeferredActions();
  }

  private List<Connect> connectsBetweenRunningNodes() {
    return connects.stream()
        .filter(connect -> !paused.contains(connect.from) && !paused.contains(connect.to))
        .toList();
  }

  List<Endpoint> endpointsWithFrames() {
    List<Endpoint> all = new ArrayList<>();
    for (Node node : nodes.values()) {
      if (paused.contains(node)) {
        continue;
      }
      node.endpoints.values().stream()
          .filter(end -> !end.framesInTransit.isEmpty())
          .forEach(all::add);
    }
    return all;
  }

  void deliver(Endpoint end) {
    Consumer<PeerConnectionManager> frame = end.framesInTransit.poll();
    if (frame != null) {
      frame.accept(end.node.manager);
      runDeferredActions();
    }
  }

  void runDeferredActions() {
    for (Runnable next = deferredActions.poll(); next != null; next = deferredActions.poll()) {
      next.run();
    }
  }

  /** Advances time to the next timer, or by the given maximum if no timer is due before. */
  void advance(Duration max) {
    Duration until = now.plus(max);
    for (Node node : nodes.values()) {
      if (!paused.contains(node) && node.wakeAt != null && node.wakeAt.compareTo(until) < 0) {
        until = node.wakeAt;
      }
    }
    now = until.compareTo(now) > 0 ? until : now;
    for (Node node : nodes.values()) {
      if (!paused.contains(node) && node.wakeAt != null && node.wakeAt.compareTo(now) <= 0) {
        node.wakeAt = null;
        node.manager.onTimer(now);
        runDeferredActions();
      }
    }
  }

  /** Advances time by the given span and delivers all frames and connects on the way. */
  void run(Duration span) {
    Duration until = now.plus(span);
    while (now.compareTo(until) < 0) {
      while (!connectsBetweenRunningNodes().isEmpty() || !endpointsWithFrames().isEmpty()) {
        connectsBetweenRunningNodes().forEach(this::completeConnect);
        endpointsWithFrames().forEach(this::deliver);
      }
      advance(until.minus(now));
    }
  }

  void assertAllUp() {
    for (Node first : nodes.values()) {
      for (Node second : nodes.values()) {
        if (first != second) {
          String states = first.manager.describe() + " | " + second.manager.describe();
          assertTrue(
              first.manager.isUp(second.name), first.name + " to " + second.name + ": " + states);
          assertEquals(Optional.of(second.incarnation), first.manager.incarnationOf(second.name));
        }
      }
    }
  }
}
