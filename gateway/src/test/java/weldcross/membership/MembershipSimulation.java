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
 * Simulates the failure detectors of many gateways with a manual clock and an in-memory network
 * that delays and drops messages and can be partitioned.
 */
final class MembershipSimulation {

  private static final int MESSAGE_BYTES = 40;
  private static final long UPDATE_BYTES = 30;
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  private record Event(Duration at, long order, Runnable task) {}

  /** One gateway, across its restarts. */
  final class Node implements FailureDetectorActions {
    final PeerName name;
    FailureDetector detector;
    long incarnation;
    boolean running;
    boolean paused;

    /** Messages between gateways in different partitions are dropped. */
    int partition;

    private final ArrayDeque<Runnable> receivedWhilePaused = new ArrayDeque<>();
    private long lastWake;

    Node(String name) {
      this.name = new PeerName(name);
    }

    private void send(PeerName to, int updateCount, Consumer<FailureDetector> message) {
      Node receiver = nodesByName.get(to);
      messagesSent++;
      bytesSent += MESSAGE_BYTES + UPDATE_BYTES * updateCount;
      if (random.nextDouble() < lossRate || partition != receiver.partition) {
        return;
      }
      Duration delay = Duration.ofMillis(delayMillis + random.nextInt(delayMillis + 1));
      schedule(now.plus(delay), () -> receiver.receive(() -> message.accept(receiver.detector)));
    }

    /** A paused process handles the events received during the pause when it resumes. */
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
        PeerName relay, PeerName target, long sequence, List<MembershipUpdate> updates) {
      send(
          relay,
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

    /** Checks that a member is only declared dead if that incarnation has ended. */
    @Override
    public void memberChanged(MembershipUpdate update) {
      Node member = nodesByName.get(update.member());
      assertTrue(
          update.incarnation() <= member.incarnation,
          name + " observes " + update + " of incarnation " + member.incarnation);
      if (update.state() == MemberState.DEAD) {
        assertTrue(
            update.incarnation() < member.incarnation || !member.running,
            name + " declares a running member dead: " + update);
      }
      if (update.state() == MemberState.UNREACHABLE
          && member.running
          && !member.paused
          && member.partition == partition
          && update.reporter().equals(name)) {
        falsePositives++;
      }
    }

    @Override
    public void declaredDead(long deadIncarnation) {
      throw new AssertionError(name + " is running but declared dead: " + deadIncarnation);
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
      List<PeerName> others = nodesByName.keySet().stream().filter(n -> !n.equals(name)).toList();
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

  final List<Node> nodes = new ArrayList<>();
  final SplittableRandom random;
  Duration now = Duration.ZERO;
  double lossRate;
  int delayMillis = 1;
  long messagesSent;
  long bytesSent;
  long falsePositives;
  private final Map<PeerName, Node> nodesByName = new LinkedHashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::order));
  private long lastOrder;

  MembershipSimulation(int count, long seed) {
    random = new SplittableRandom(seed);
    for (int k = 0; k < count; k++) {
      Node node = new Node("n" + k);
      nodesByName.put(node.name, node);
      nodes.add(node);
    }
    nodes.forEach(Node::start);
  }

  private void schedule(Duration when, Runnable task) {
    events.add(new Event(when, ++lastOrder, task));
  }

  void run(Duration duration) {
    Duration until = now.plus(duration);
    while (!events.isEmpty() && events.peek().at().compareTo(until) <= 0) {
      Event next = events.poll();
      now = next.at().compareTo(now) > 0 ? next.at() : now;
      next.task().run();
    }
    now = until;
  }

  /**
   * Runs until the condition holds, checked at each {@link #CHECK_INTERVAL}.
   *
   * @return the time taken, or empty if the condition did not hold within the maximum
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

  /** Runs {@link #runUntil} with {@link #allObserve} as the condition. */
  Optional<Duration> runUntilAllObserve(Duration max, List<Node> members, MemberState state) {
    return runUntil(max, () -> allObserve(members, state));
  }

  /** Returns whether all active gateways observe each of the members in the given state. */
  boolean allObserve(List<Node> members, MemberState state) {
    for (Node node : nodes) {
      for (Node member : members) {
        if (node != member && node.isActive() && node.detector.stateOf(member.name) != state) {
          return false;
        }
      }
    }
    return true;
  }
}
