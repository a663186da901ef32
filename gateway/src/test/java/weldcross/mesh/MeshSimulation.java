package weldcross.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Several gateways' links over a network in memory, moved by hand: every connection is two queues
 * of frames that keep their order, and can be held, swallowed or reset. Checks what is heard by
 * whom as it comes.
 */
final class MeshSimulation {

  static final MeshConfig TERMS = terms(new PeerName("?"), List.of());

  static MeshConfig terms(PeerName self, List<PeerName> peers) {
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

  /** One end of a connection, and what is on its way to it. */
  static final class End {
    final Node node;
    final long number;
    End other;
    final ArrayDeque<Consumer<PeerConnectionManager>> coming = new ArrayDeque<>();
    boolean open = true;

    End(Node node, long number) {
      this.node = node;
      this.number = number;
    }
  }

  /** One gateway, through its lives. */
  final class Node implements PeerConnectionActions {
    final PeerName name;
    PeerConnectionManager links;
    Incarnation life = new Incarnation(0, 0);
    Duration wakeAt;
    int lives;
    final Map<Long, End> ends = new LinkedHashMap<>();
    final Map<PeerName, Incarnation> heardOf = new HashMap<>();
    final Map<PeerName, Long> lastHeard = new HashMap<>();
    final Map<PeerName, Long> sent = new HashMap<>();
    final List<String> told = new ArrayList<>();

    Node(PeerName name) {
      this.name = name;
    }

    @Override
    public void dial(long link, PeerName to) {
      dials.add(new Dial(this, link, nodes.get(to.name()), lives));
    }

    private void write(long link, Consumer<PeerConnectionManager> frame) {
      End end = ends.get(link);
      if (end != null && end.open && end.other != null && !isCut(name, end.other.node.name)) {
        end.other.coming.add(frame);
      }
    }

    @Override
    public void greet(long link, PeerName to, Incarnation self) {
      PeerName from = name;
      long there = other(link);
      write(link, l -> l.greeted(now, there, "c", from, to, self, MeshConfig.VERSION));
    }

    private long other(long link) {
      End end = ends.get(link);
      return end == null || end.other == null ? 0 : end.other.number;
    }

    @Override
    public void welcome(long link, Incarnation self) {
      long there = other(link);
      write(link, l -> l.welcomed(now, there, self));
    }

    @Override
    public void refuse(long link, HandshakeRejection why, long known) {
      long there = other(link);
      write(link, l -> l.refused(now, there, why, known));
    }

    @Override
    public void beat(long link, long number) {
      long there = other(link);
      write(link, l -> l.beaten(now, there, number));
    }

    @Override
    public void echo(long link, long number) {
      long there = other(link);
      write(link, l -> l.echoed(now, there, number));
    }

    @Override
    public void message(long link, int subject, ByteBuffer content) {
      long there = other(link);
      ByteBuffer copy = content.duplicate();
      write(link, l -> l.message(now, there, subject, copy));
      End end = ends.get(link);
      int bytes = content.remaining();
      if (takes && end != null) {
        later.add(
            () -> {
              if (end.open && end.node.ends.get(link) == end) {
                links.written(now, link, bytes);
              }
            });
      }
    }

    @Override
    public void goodbye(long link) {
      long there = other(link);
      write(link, l -> l.goodbye(now, there));
    }

    @Override
    public void drop(long link) {
      End end = ends.remove(link);
      if (end != null) {
        end.open = false;
        end.coming.clear();
        if (end.other != null && end.other.open && !isCut(name, end.other.node.name)) {
          End there = end.other;
          there.coming.add(
              l -> {
                there.open = false;
                there.node.ends.remove(there.number);
                l.gone(now, there.number);
              });
        }
      }
    }

    @Override
    public void finish(long link) {
      drop(link);
    }

    @Override
    public void datagram(PeerName to, int subject, ByteBuffer content) {
      throw new AssertionError("none are sent here");
    }

    @Override
    public void wakeAt(Duration when) {
      wakeAt = when;
    }

    /** What is heard is of the latest life heard of, and in its order. */
    @Override
    public void heard(PeerName from, Incarnation life, int subject, ByteBuffer content) {
      Incarnation before = heardOf.get(from);
      assertEquals(links.lifeOf(from), life, name + " knows a later life of " + from);
      if (before != null) {
        assertTrue(
            life.incarnation() >= before.incarnation(),
            name + " heard " + from + " of " + life + " after " + before);
        assertTrue(
            life.incarnation() > before.incarnation() || life.mark() == before.mark(),
            "two lives under one incarnation: " + life + " after " + before);
      }
      long number = content.duplicate().getLong();
      if (life.equals(before)) {
        assertTrue(
            number > lastHeard.get(from),
            name + " heard " + number + " of " + from + " after " + lastHeard.get(from));
      }
      heardOf.put(from, life);
      lastHeard.put(from, number);
      heard++;
    }

    @Override
    public void up(PeerName peer, Incarnation life) {
      told.add("up " + peer + " " + life.incarnation());
    }

    @Override
    public void down(PeerName peer, String why) {
      told.add("down " + peer + ": " + why);
    }

    @Override
    public void refusedBy(PeerName peer, Incarnation before) {
      told.add("refused by " + peer);
    }

    @Override
    public void outlived(long incarnation) {
      told.add("outlived by " + incarnation);
      life = new Incarnation(incarnation + 1, life.mark());
      later.add(() -> links.start(now, life));
    }

    /** A new process; its records are those of the life before, or older where a disk lost some. */
    void startAnew(long incarnation) {
      for (End end : List.copyOf(ends.values())) {
        drop(end.number);
      }
      dials.removeIf(d -> d.from == this);
      lives++;
      life = new Incarnation(incarnation, ++marks);
      // What another process heard is its own: this one begins without.
      heardOf.clear();
      lastHeard.clear();
      List<PeerName> others =
          nodes.values().stream().map(n -> n.name).filter(n -> !n.equals(name)).toList();
      links = new PeerConnectionManager(terms(name, others), this, marks);
      wakeAt = null;
      links.start(now, life);
    }

    void say(PeerName to, int size, boolean mayBeLost) {
      long number = sent.merge(to, 1L, Long::sum);
      links.send(now, to, 1, ByteBuffer.allocate(size).putLong(0, number), mayBeLost);
    }

    void checkBounds() {
      for (Node peer : nodes.values()) {
        if (peer != this) {
          assertTrue(links.waiting(peer.name) <= TERMS.mostWaiting(), links.describe());
          assertTrue(links.bytes(peer.name) <= 2 * TERMS.mostBytes(), links.describe());
        }
      }
    }
  }

  record Dial(Node from, long link, Node to, int life) {}

  final Map<String, Node> nodes = new LinkedHashMap<>();
  final List<Dial> dials = new ArrayList<>();
  final ArrayDeque<Runnable> later = new ArrayDeque<>();

  /** Pairs, in one direction, whose frames and dials vanish. */
  final java.util.Set<String> cuts = new java.util.TreeSet<>();

  Duration now = Duration.ZERO;
  boolean takes = true;
  long marks, numbers, heard;

  MeshSimulation(int count) {
    for (int k = 0; k < count; k++) {
      nodes.put("n" + k, new Node(new PeerName("n" + k)));
    }
    nodes.values().forEach(n -> n.startAnew(1));
    settle();
  }

  Node node(int k) {
    return nodes.get("n" + k);
  }

  boolean isCut(PeerName from, PeerName to) {
    return cuts.contains(from + ">" + to);
  }

  /** A dial comes up, or nothing happens where its way is cut. */
  void dialComes(Dial dial) {
    dials.remove(dial);
    if (dial.from.lives != dial.life
        || isCut(dial.from.name, dial.to.name)
        || isCut(dial.to.name, dial.from.name)) {
      return;
    }
    End here = new End(dial.from, dial.link);
    End there = new End(dial.to, ++numbers);
    here.other = there;
    there.other = here;
    dial.from.ends.put(here.number, here);
    dial.to.ends.put(there.number, there);
    dial.to.links.accepted(now, there.number, true);
    dial.from.links.dialled(now, here.number);
    settle();
  }

  List<End> withFrames() {
    List<End> all = new ArrayList<>();
    nodes
        .values()
        .forEach(n -> n.ends.values().stream().filter(e -> !e.coming.isEmpty()).forEach(all::add));
    return all;
  }

  void deliver(End end) {
    Consumer<PeerConnectionManager> frame = end.coming.poll();
    if (frame != null) {
      frame.accept(end.node.links);
      settle();
    }
  }

  void settle() {
    for (Runnable next = later.poll(); next != null; next = later.poll()) {
      next.run();
    }
  }

  /** Time goes on to the next that is due, or by so much. */
  void pass(Duration most) {
    Duration until = now.plus(most);
    for (Node node : nodes.values()) {
      if (node.wakeAt != null && node.wakeAt.compareTo(until) < 0) {
        until = node.wakeAt;
      }
    }
    now = until.compareTo(now) > 0 ? until : now;
    for (Node node : nodes.values()) {
      if (node.wakeAt != null && node.wakeAt.compareTo(now) <= 0) {
        node.wakeAt = null;
        node.links.due(now);
        settle();
      }
    }
  }

  /** All that is on its way comes, and time goes on for so long. */
  void run(Duration span) {
    Duration until = now.plus(span);
    while (now.compareTo(until) < 0) {
      while (!dials.isEmpty() || !withFrames().isEmpty()) {
        List.copyOf(dials).forEach(this::dialComes);
        withFrames().forEach(this::deliver);
      }
      pass(until.minus(now));
    }
  }

  void allUp() {
    for (Node a : nodes.values()) {
      for (Node b : nodes.values()) {
        if (a != b) {
          assertTrue(
              a.links.isUp(b.name),
              a.name + " to " + b.name + ": " + a.links.describe() + " | " + b.links.describe());
          assertEquals(b.life, a.links.lifeOf(b.name));
        }
      }
    }
  }
}
