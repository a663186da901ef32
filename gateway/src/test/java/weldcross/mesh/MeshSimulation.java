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
 * The connection managers of several gateways over a network in memory, with time moved by hand.
 * Each connection is two queues of frames that keep their order, and can be delayed, swallowed or
 * reset. Checks each received message as it comes.
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

  /** One end of a connection, and the frames on their way to it. */
  static final class Endpoint {
    final Node node;
    final long number;
    Endpoint other;
    final ArrayDeque<Consumer<PeerConnectionManager>> inbox = new ArrayDeque<>();
    boolean open = true;

    Endpoint(Node node, long number) {
      this.node = node;
      this.number = number;
    }
  }

  /** One gateway, through its restarts. */
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
        end.other.inbox.add(frame);
      }
    }

    /** The number that the other gateway has for the connection; zero where there is none. */
    private long numberThere(long connection) {
      Endpoint end = endpoints.get(connection);
      return end == null || end.other == null ? 0 : end.other.number;
    }

    @Override
    public void sendHandshakeRequest(long connection, PeerName to, Incarnation self) {
      long there = numberThere(connection);
      HandshakeRequest request =
          new HandshakeRequest("c", name, to, self, MeshConfig.PROTOCOL_VERSION);
      write(connection, receiver -> receiver.onHandshakeRequest(now, there, request));
    }

    @Override
    public void sendHandshakeResponse(long connection, Incarnation self) {
      long there = numberThere(connection);
      write(connection, receiver -> receiver.onHandshakeResponse(now, there, self));
    }

    @Override
    public void sendHandshakeRejection(long connection, HandshakeRejection reason, long known) {
      long there = numberThere(connection);
      write(connection, receiver -> receiver.onHandshakeRejection(now, there, reason, known));
    }

    @Override
    public void sendHeartbeat(long connection, long sequence) {
      long there = numberThere(connection);
      write(connection, receiver -> receiver.onHeartbeat(now, there, sequence));
    }

    @Override
    public void sendHeartbeatAck(long connection, long sequence) {
      long there = numberThere(connection);
      write(connection, receiver -> receiver.onHeartbeatAck(now, there, sequence));
    }

    @Override
    public void sendMessage(long connection, int subject, ByteBuffer content) {
      long there = numberThere(connection);
      ByteBuffer copy = content.duplicate();
      write(connection, receiver -> receiver.onMessage(now, there, subject, copy));
      Endpoint end = endpoints.get(connection);
      int bytes = content.remaining();
      if (networkTakesBytes && end != null) {
        later.add(
            () -> {
              if (end.open && end.node.endpoints.get(connection) == end) {
                manager.onWritten(connection, bytes);
              }
            });
      }
    }

    @Override
    public void sendGoodbye(long connection) {
      long there = numberThere(connection);
      write(connection, receiver -> receiver.onGoodbye(now, there));
    }

    @Override
    public void close(long connection) {
      Endpoint end = endpoints.remove(connection);
      if (end == null) {
        return;
      }
      end.open = false;
      end.inbox.clear();
      if (end.other != null && end.other.open && !isCut(name, end.other.node.name)) {
        Endpoint there = end.other;
        there.inbox.add(
            receiver -> {
              there.open = false;
              there.node.endpoints.remove(there.number);
              receiver.onClosed(now, there.number);
            });
      }
    }

    @Override
    public void closeAfterFlush(long connection) {
      close(connection);
    }

    @Override
    public void sendDatagram(PeerName to, Incarnation self, int subject, ByteBuffer content) {
      throw new AssertionError("no datagrams are sent here");
    }

    @Override
    public void wakeAt(Duration when) {
      wakeAt = when;
    }

    /** Messages come from the latest incarnation known, and in the order they were sent. */
    @Override
    public void messageReceived(
        PeerName from, Incarnation sender, int subject, ByteBuffer content) {
      Incarnation before = lastIncarnation.get(from);
      assertEquals(
          Optional.of(sender),
          manager.incarnationOf(from),
          name + " knows a later incarnation of " + from);
      if (before != null) {
        assertTrue(
            sender.number() >= before.number(),
            name + " received from " + from + " of " + sender + " after " + before);
        assertTrue(
            sender.number() > before.number() || sender.nonce() == before.nonce(),
            "two processes under one incarnation: " + sender + " after " + before);
      }
      long number = content.duplicate().getLong();
      if (sender.equals(before)) {
        assertTrue(
            number > lastReceived.get(from),
            name + " received " + number + " of " + from + " after " + lastReceived.get(from));
      }
      lastIncarnation.put(from, sender);
      lastReceived.put(from, number);
      messagesReceived++;
    }

    @Override
    public void connectionUp(PeerName peer, Incarnation there) {
      events.add("up " + peer + " " + there.number());
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
      later.add(() -> manager.start(now, incarnation));
    }

    /** A new process; its records are those of the one before, or older where a disk lost some. */
    void restart(long incarnationNumber) {
      for (Endpoint end : List.copyOf(endpoints.values())) {
        close(end.number);
      }
      connects.removeIf(connect -> connect.from == this);
      restarts++;
      incarnation = new Incarnation(incarnationNumber, ++nonces);
      lastIncarnation.clear();
      lastReceived.clear();
      List<PeerName> others =
          nodes.values().stream().map(n -> n.name).filter(n -> !n.equals(name)).toList();
      manager = new PeerConnectionManager(config(name, others), this, this, nonces);
      wakeAt = null;
      manager.start(now, incarnation);
    }

    void send(PeerName to, int size, boolean mayBeLost) {
      long number = sent.merge(to, 1L, Long::sum);
      ByteBuffer content = ByteBuffer.allocate(size).putLong(0, number);
      manager.send(now, to, SUBJECT, content, mayBeLost);
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

  /** A connect under way. */
  record Connect(Node from, long connection, Node to, int restarts) {}

  final Map<String, Node> nodes = new LinkedHashMap<>();
  final List<Connect> connects = new ArrayList<>();
  final ArrayDeque<Runnable> later = new ArrayDeque<>();

  /** Pairs, in one direction, whose frames and connects vanish. */
  final Set<String> cuts = new TreeSet<>();

  /** Nodes that stand still: they run no timer and receive nothing, and the network goes on. */
  final Set<Node> paused = new HashSet<>();

  Duration now = Duration.ZERO;
  boolean networkTakesBytes = true;
  long messagesReceived;
  private long nonces;
  private long acceptedConnections;

  MeshSimulation(int count) {
    for (int k = 0; k < count; k++) {
      nodes.put("n" + k, new Node(new PeerName("n" + k)));
    }
    nodes.values().forEach(node -> node.restart(1));
    settle();
  }

  Node node(int k) {
    return nodes.get("n" + k);
  }

  private boolean isCut(PeerName from, PeerName to) {
    return cuts.contains(from + ">" + to);
  }

  /** A connect succeeds, or nothing happens where its path is cut. */
  void complete(Connect connect) {
    connects.remove(connect);
    if (connect.from.restarts != connect.restarts
        || isCut(connect.from.name, connect.to.name)
        || isCut(connect.to.name, connect.from.name)) {
      return;
    }
    Endpoint here = new Endpoint(connect.from, connect.connection);
    Endpoint there = new Endpoint(connect.to, ++acceptedConnections);
    here.other = there;
    there.other = here;
    connect.from.endpoints.put(here.number, here);
    connect.to.endpoints.put(there.number, there);
    connect.to.manager.onAccepted(now, there.number, true);
    connect.from.manager.onConnected(now, here.number);
    settle();
  }

  private List<Connect> possibleConnects() {
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
      node.endpoints.values().stream().filter(end -> !end.inbox.isEmpty()).forEach(all::add);
    }
    return all;
  }

  void deliver(Endpoint end) {
    Consumer<PeerConnectionManager> frame = end.inbox.poll();
    if (frame != null) {
      frame.accept(end.node.manager);
      settle();
    }
  }

  void settle() {
    for (Runnable next = later.poll(); next != null; next = later.poll()) {
      next.run();
    }
  }

  /** Moves time on to the next timer, or by that much if there is none before. */
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
        settle();
      }
    }
  }

  /** Delivers all that is on its way, and moves time on by that much. */
  void run(Duration span) {
    Duration until = now.plus(span);
    while (now.compareTo(until) < 0) {
      while (!possibleConnects().isEmpty() || !endpointsWithFrames().isEmpty()) {
        possibleConnects().forEach(this::complete);
        endpointsWithFrames().forEach(this::deliver);
      }
      advance(until.minus(now));
    }
  }

  void assertAllUp() {
    for (Node a : nodes.values()) {
      for (Node b : nodes.values()) {
        if (a != b) {
          String states = a.manager.describe() + " | " + b.manager.describe();
          assertTrue(a.manager.isUp(b.name), a.name + " to " + b.name + ": " + states);
          assertEquals(Optional.of(b.incarnation), a.manager.incarnationOf(b.name));
        }
      }
    }
  }
}
