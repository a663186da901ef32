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
    FailureDetector seen;
    long life;
    boolean lives, paused;
    int side;
    private final ArrayDeque<Runnable> held = new ArrayDeque<>();
    private long wakes;
    final Map<PeerName, Duration> foundAt = new HashMap<>();

    Node(String name) {
      this.name = new PeerName(name);
    }

    private void send(PeerName to, int news, Consumer<FailureDetector> message) {
      Node there = nodes.get(to);
      messages++;
      bytes += 40 + 30L * news;
      if (random.nextDouble() < loss || side != there.side) {
        return;
      }
      after(
          Duration.ofMillis(delay + random.nextInt(delay + 1)),
          () -> there.take(() -> message.accept(there.seen)));
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
    public void probe(PeerName to, long number, List<MembershipUpdate> news) {
      send(to, news.size(), s -> s.probed(now, name, number, news));
    }

    @Override
    public void help(PeerName helper, PeerName target, long number, List<MembershipUpdate> news) {
      send(helper, news.size(), s -> s.helpAsked(now, name, target, number, news));
    }

    @Override
    public void answer(PeerName to, long number, List<MembershipUpdate> news) {
      send(to, news.size(), s -> s.answered(now, name, number, news));
    }

    @Override
    public void noAnswer(PeerName to, long number) {
      send(to, 0, s -> s.notAnswered(now, name, number));
    }

    /** GONE is proof: it is only ever held of a life that has ended. */
    @Override
    public void found(MembershipUpdate news) {
      Node of = nodes.get(news.of());
      assertTrue(news.life() <= of.life, name + " holds " + news + " of " + of.life);
      if (news.finding() == MemberState.GONE) {
        assertTrue(news.life() < of.life || !of.lives, name + " holds a living one gone: " + news);
      }
      if (news.finding() == MemberState.SILENT
          && of.lives
          && !of.paused
          && of.side == side
          && news.by().equals(name)) {
        falselySilent++;
      }
      foundAt.put(news.of(), now);
    }

    @Override
    public void takenForGone(long of) {
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
                          seen.due(now);
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
      seen =
          new FailureDetector(
              FailureDetectorConfig.usual(name, others, "a", 10), this, random.nextLong());
      seen.start(now, life);
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
  long messages, bytes, falselySilent;

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
        if (a != b && a.lives && !a.paused && !List.of(one).contains(a.seen.findingOf(b.name))) {
          return false;
        }
      }
    }
    return true;
  }
}
