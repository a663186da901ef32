package weldcross.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import weldcross.mesh.PeerName;

/**
 * Many gateways' seeing over a network in memory, on a clock moved by hand: messages late, lost,
 * and cut off.
 */
final class MembershipSimulation {

  private record Event(Duration at, long order, Runnable run) {}

  /** One gateway, through its lives. */
  final class Node implements FailureDetectorActions {
    final PeerName name;
    FailureDetector detector;
    long life;
    boolean lives, paused;
    int side;
    private final ArrayDeque<Runnable> held = new ArrayDeque<>();
    private long wakes;
    final Map<PeerName, Duration> foundAt = new HashMap<>();

    Node(String name) {
      this.name = new PeerName(name);
    }

    private void send(PeerName to, int updates, Consumer<FailureDetector> message) {
      Node there = nodes.get(to);
      messages++;
      bytes += 40 + 30L * updates;
      if (random.nextDouble() < loss || side != there.side) {
        return;
      }
      after(
          Duration.ofMillis(delay + random.nextInt(delay + 1)),
          () -> there.take(() -> message.accept(there.detector)));
    }

    /** A process that stands still finds all that came when it goes on. */
    private void take(Runnable event) {
      if (paused) {
        held.add(event);
      } else if (lives) {
        event.run();
      }
    }

    @Override
    public void sendPing(PeerName to, long number, List<MembershipUpdate> updates) {
      send(to, updates.size(), s -> s.onPing(now, name, number, updates));
    }

    @Override
    public void sendPingRequest(
        PeerName helper, PeerName target, long number, List<MembershipUpdate> updates) {
      send(helper, updates.size(), s -> s.onPingRequest(now, name, target, number, updates));
    }

    @Override
    public void sendAck(PeerName to, long number, List<MembershipUpdate> updates) {
      send(to, updates.size(), s -> s.onAck(now, name, number, updates));
    }

    @Override
    public void sendNack(PeerName to, long number) {
      send(to, 0, s -> s.onNack(now, name, number));
    }

    /** GONE is proof: it is only ever held of a life that has ended. */
    @Override
    public void memberChanged(MembershipUpdate updates) {
      Node of = nodes.get(updates.member());
      assertTrue(updates.incarnation() <= of.life, name + " holds " + updates + " of " + of.life);
      if (updates.state() == MemberState.DEAD) {
        assertTrue(
            updates.incarnation() < of.life || !of.lives,
            name + " holds a living one gone: " + updates);
      }
      if (updates.state() == MemberState.UNREACHABLE
          && of.lives
          && !of.paused
          && of.side == side
          && updates.reporter().equals(name)) {
        falselyUnreachable++;
      }
      foundAt.put(updates.member(), now);
    }

    @Override
    public void declaredDead(long of) {
      throw new AssertionError(name + " lives and is taken for gone: " + of);
    }

    @Override
    public void wakeAt(Duration when) {
      long wake = ++wakes;
      events.add(
          new Event(
              when,
              ++order,
              () ->
                  take(
                      () -> {
                        if (wake == wakes) {
                          detector.onTimer(now);
                        }
                      })));
    }

    void start() {
      lives = true;
      paused = false;
      held.clear();
      life++;
      wakes++;
      List<PeerName> others = nodes.keySet().stream().filter(n -> !n.equals(name)).toList();
      detector =
          new FailureDetector(
              FailureDetectorConfig.defaults(name, others, "a", 10), this, random.nextLong());
      detector.start(now, life);
    }

    void kill() {
      lives = false;
      wakes++;
    }

    void pause() {
      paused = true;
    }

    void resume() {
      paused = false;
      for (int left = held.size(); left > 0; left--) {
        held.poll().run();
      }
    }
  }

  final Map<PeerName, Node> nodes = new java.util.LinkedHashMap<>();
  final List<Node> all = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at().equals(b.at())
                  ? Long.compare(a.order(), b.order())
                  : a.at().compareTo(b.at()));
  final SplittableRandom random;
  private long order;
  Duration now = Duration.ZERO;
  double loss;
  int delay = 1;
  long messages, bytes, falselyUnreachable;

  MembershipSimulation(int count, long seed) {
    random = new SplittableRandom(seed);
    for (int k = 0; k < count; k++) {
      Node node = new Node("n" + k);
      nodes.put(node.name, node);
      all.add(node);
    }
    all.forEach(Node::start);
  }

  private void after(Duration time, Runnable run) {
    events.add(new Event(now.plus(time), ++order, run));
  }

  void run(Duration span) {
    Duration until = now.plus(span);
    while (!events.isEmpty() && events.peek().at().compareTo(until) <= 0) {
      Event next = events.poll();
      now = next.at().compareTo(now) > 0 ? next.at() : now;
      next.run().run();
    }
    now = until;
  }

  /**
   * How long until the condition holds, looked at ten times a second; null where not within that
   * time.
   */
  Duration until(Duration most, java.util.function.BooleanSupplier condition) {
    Duration began = now;
    while (!condition.getAsBoolean()) {
      if (now.minus(began).compareTo(most) > 0) {
        return null;
      }
      run(Duration.ofMillis(100));
    }
    return now.minus(began);
  }

  /** Whether all that live and are reached hold all of these to be that. */
  boolean hold(List<Node> these, MemberState... one) {
    for (Node a : all) {
      for (Node b : these) {
        if (a != b && a.lives && !a.paused && !List.of(one).contains(a.detector.stateOf(b.name))) {
          return false;
        }
      }
    }
    return true;
  }
}
