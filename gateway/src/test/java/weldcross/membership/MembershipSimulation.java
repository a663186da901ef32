package weldcross.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import weldcross.mesh.PeerName;

/**
 * The failure detectors of many gateways over a network in memory, on a clock moved by hand:
 * messages are delayed, lost, and cut off.
 */
final class MembershipSimulation {

  private static final int MESSAGE_BYTES = 40;
  private static final long UPDATE_BYTES = 30;
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  private record Event(Duration at, long order, Runnable task) {}

  /** One gateway, through its restarts. */
  final class Node implements FailureDetectorActions {
    final PeerName name;
    FailureDetector detector;
    long incarnation;
    boolean running;
    boolean paused;

    /** Messages between gateways of different partitions are lost. */
    int partition;

    private final ArrayDeque<Runnable> receivedWhilePaused = new ArrayDeque<>();
    private long lastWake;

    Node(String name) {
      this.name = new PeerName(name);
    }

    private void send(PeerName to, int updateCount, Consumer<FailureDetector> message) {
      Node receiver = nodes.get(to);
      messagesSent++;
      bytesSent += MESSAGE_BYTES + UPDATE_BYTES * updateCount;
      if (random.nextDouble() < lossRate || partition != receiver.partition) {
        return;
      }
      Duration delay = Duration.ofMillis(delayMillis + random.nextInt(delayMillis + 1));
      schedule(now.plus(delay), () -> receiver.receive(() -> message.accept(receiver.detector)));
    }

    /** A paused process handles all that came meanwhile when it goes on. */
    private void receive(Runnable event) {
      if (paused) {
        receivedWhilePaused.add(event);
      } else if (running) {
        event.run();
      }
    }

    @Override
    public void sendPing(PeerName to, long sequence, List<MembershipUpdate> updates) {
      send(to, updates.size(), receiver -> receiver.onPing(now, name, sequence, updates));
    }

    @Override
    public void sendPingRequest(
        PeerName helper, PeerName target, long sequence, List<MembershipUpdate> updates) {
      send(
          helper,
          updates.size(),
          receiver -> receiver.onPingRequest(now, name, target, sequence, updates));
    }

    @Override
    public void sendAck(PeerName to, long sequence, List<MembershipUpdate> updates) {
      send(to, updates.size(), receiver -> receiver.onAck(now, name, sequence, updates));
    }

    @Override
    public void sendNack(PeerName to, long sequence) {
      send(to, 0, receiver -> receiver.onNack(now, name, sequence));
    }

    /** DEAD is proven: it is only ever held of an incarnation that has ended. */
    @Override
    public void memberChanged(MembershipUpdate update) {
      Node member = nodes.get(update.member());
      assertTrue(
          update.incarnation() <= member.incarnation,
          name + " holds " + update + " of " + member.incarnation);
      if (update.state() == MemberState.DEAD) {
        assertTrue(
            update.incarnation() < member.incarnation || !member.running,
            name + " holds a running one for dead: " + update);
      }
      if (update.state() == MemberState.UNREACHABLE
          && member.running
          && !member.paused
          && member.partition == partition
          && update.reporter().equals(name)) {
        falselyUnreachable++;
      }
    }

    @Override
    public void declaredDead(long deadIncarnation) {
      throw new AssertionError(name + " runs and is held for dead: " + deadIncarnation);
    }

    @Override
    public void wakeAt(Duration when) {
      long wake = ++lastWake;
      schedule(when, () -> receive(() -> runTimer(wake)));
    }

    private void runTimer(long wake) {
      if (wake == lastWake) {
        detector.onTimer(now);
      }
    }

    void start() {
      running = true;
      paused = false;
      receivedWhilePaused.clear();
      incarnation++;
      lastWake++;
      List<PeerName> others = nodes.keySet().stream().filter(n -> !n.equals(name)).toList();
      detector =
          new FailureDetector(
              FailureDetectorConfig.defaults(name, others, "a", 10), this, random.nextLong());
      detector.start(now, incarnation);
    }

    void kill() {
      running = false;
      lastWake++;
    }

    void pause() {
      paused = true;
    }

    void resume() {
      paused = false;
      for (int remaining = receivedWhilePaused.size(); remaining > 0; remaining--) {
        receivedWhilePaused.poll().run();
      }
    }

    boolean isActive() {
      return running && !paused;
    }
  }

  final List<Node> all = new ArrayList<>();
  final SplittableRandom random;
  Duration now = Duration.ZERO;
  double lossRate;
  int delayMillis = 1;
  long messagesSent;
  long bytesSent;
  long falselyUnreachable;
  private final Map<PeerName, Node> nodes = new LinkedHashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::order));
  private long lastOrder;

  MembershipSimulation(int count, long seed) {
    random = new SplittableRandom(seed);
    for (int k = 0; k < count; k++) {
      Node node = new Node("n" + k);
      nodes.put(node.name, node);
      all.add(node);
    }
    all.forEach(Node::start);
  }

  private void schedule(Duration when, Runnable task) {
    events.add(new Event(when, ++lastOrder, task));
  }

  void run(Duration span) {
    Duration until = now.plus(span);
    while (!events.isEmpty() && events.peek().at().compareTo(until) <= 0) {
      Event next = events.poll();
      now = next.at().compareTo(now) > 0 ? next.at() : now;
      next.task().run();
    }
    now = until;
  }

  /**
   * Runs until the condition holds, which is checked ten times a second.
   *
   * @return how long that took; empty where it took longer than the maximum
   */
  Optional<Duration> runUntil(Duration max, BooleanSupplier condition) {
    Duration start = now;
    while (!condition.getAsBoolean()) {
      if (now.minus(start).compareTo(max) > 0) {
        return Optional.empty();
      }
      run(CHECK_INTERVAL);
    }
    return Optional.of(now.minus(start));
  }

  /** As {@link #runUntil} with the condition that {@link #allHold} holds. */
  Optional<Duration> runUntilAllHold(Duration max, List<Node> members, MemberState state) {
    return runUntil(max, () -> allHold(members, state));
  }

  /** Whether all active gateways hold that state of each of the members. */
  boolean allHold(List<Node> members, MemberState state) {
    for (Node node : all) {
      for (Node member : members) {
        if (node != member && node.isActive() && node.detector.stateOf(member.name) != state) {
          return false;
        }
      }
    }
    return true;
  }
}
