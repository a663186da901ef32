package weldcross.consensus.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.MembershipView;
import weldcross.consensus.MembershipViewClient;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.wire.ConsensusMessage;
import weldcross.mesh.PeerName;
import weldcross.storage.FaultyStorageDirectory;
import weldcross.storage.StorageDirectory;

/**
 * Simulates gateways with consensus services on an in-memory network, storage and clock. Asserts
 * with each view change that every view number has one view and that view numbers never decrease
 * within one process.
 */
final class ConsensusSimulation {

  /** Logger of the Raft library, silenced because it logs each message it rejects. */
  private static final Logger RAFT_LOG = Logger.getLogger("io.microraft");

  static {
    RAFT_LOG.setLevel(Level.OFF);
  }

  private record Event(Duration at, long order, Runnable action) {}

  /** A gateway and its successive processes; the simulation runs the tasks of both its threads. */
  final class Node {
    final PeerName name;
    final FaultyStorageDirectory directory;
    final List<String> logMessages = new ArrayList<>();
    final List<ProposalResult> operatorResults = new ArrayList<>();
    private final ArrayDeque<Runnable> tasksWhilePaused = new ArrayDeque<>();
    ConsensusService service;
    long incarnation;
    boolean alive;
    boolean paused;
    boolean left;

    /** Only nodes of the same partition can communicate. */
    int partition;

    private long viewNumber;
    private long timers;
    private int process;

    Node(int index) {
      name = new PeerName("n" + index);
      directory = new FaultyStorageDirectory(1000 + index);
    }

    private void schedule(Duration taskDelay, Runnable task) {
      int scheduledBy = process;
      scheduleEvent(
          taskDelay,
          () -> {
            if (scheduledBy == process && paused) {
              tasksWhilePaused.add(task);
            } else if (scheduledBy == process && alive) {
              task.run();
            }
          });
    }

    void start() {
      process++;
      alive = true;
      left = false;
      paused = false;
      tasksWhilePaused.clear();
      incarnation++;
      viewNumber = 0;
      service =
          new ConsensusService(
              new ConsensusConfig(
                  group,
                  name,
                  "",
                  100,
                  voters,
                  Duration.ofSeconds(1),
                  Duration.ofSeconds(30),
                  trustStorage,
                  Duration.ofSeconds(1),
                  Duration.ofSeconds(2)),
              new NodeActions(),
              0.01,
              new SimulationExecutor(),
              new SimulationClock(),
              random.nextLong(),
              () -> 1 + random.nextLong(Long.MAX_VALUE));
      service.start(incarnation);
    }

    /** Simulates a power failure: data that was not forced to storage may be lost. */
    void kill() {
      process++;
      alive = false;
      directory.simulatePowerLoss();
    }

    void resume() {
      paused = false;
      for (int count = tasksWhilePaused.size(); count > 0; count--) {
        tasksWhilePaused.poll().run();
      }
    }

    MembershipView view() {
      return service.viewClient().view();
    }

    private final class NodeActions implements ConsensusActions {
      private final int createdBy = process;

      @Override
      public Duration now() {
        return now;
      }

      @Override
      public void send(PeerName to, ConsensusMessage message) {
        Node receiver = nodes.get(to);
        if (createdBy != process
            || isBlocked(Node.this, receiver)
            || random.nextDouble() < lossProbability) {
          return;
        }
        byte[] bytes = message.toByteArray();
        receiver.schedule(
            Duration.ofMillis(minDelayMillis + random.nextInt(minDelayMillis + 1)),
            () -> {
              try {
                receiver.service.receive(name, ConsensusMessage.parseFrom(bytes));
              } catch (InvalidProtocolBufferException e) {
                throw new AssertionError(e);
              }
            });
      }

      @Override
      public void post(Runnable task) {
        if (createdBy == process) {
          schedule(Duration.ZERO, task);
        }
      }

      @Override
      public void wakeAt(Duration when) {
        long timer = ++timers;
        schedule(
            when.minus(now),
            () -> {
              if (timer == timers) {
                service.onTimer();
              }
            });
      }

      @Override
      public StorageDirectory openDirectory() {
        return directory;
      }

      @Override
      public void viewChanged(MembershipView view) {
        assertTrue(
            view.number() > viewNumber,
            name + ": view number decreased from " + viewNumber + " to " + view.number());
        viewNumber = view.number();
        assertEquals(
            committedViews.computeIfAbsent(view.number(), number -> view),
            view,
            name + ": conflicting views with the same number");
      }

      @Override
      public void setQuota(double share) {
        assertTrue(share > 0 && share <= 1);
      }

      @Override
      public void incarnationEnded(long ended) {
        incarnation = Math.max(incarnation, ended) + 1;
        schedule(Duration.ofMillis(1), () -> service.start(incarnation));
      }

      @Override
      public void operatorProposalDecided(Proposal proposal, ProposalResult result) {
        operatorResults.add(result);
      }

      @Override
      public void left() {
        left = true;
      }

      @Override
      public void log(Level level, String message) {
        logMessages.add(message);
      }
    }

    private final class SimulationExecutor implements RaftNodeExecutor {
      private final int createdBy = process;

      @Override
      public void execute(Runnable task) {
        schedule(task, 0, TimeUnit.NANOSECONDS);
      }

      @Override
      public void submit(Runnable task) {
        execute(task);
      }

      @Override
      public void schedule(Runnable task, long taskDelay, TimeUnit unit) {
        if (createdBy == process) {
          Node.this.schedule(Duration.of(taskDelay, unit.toChronoUnit()), task);
        }
      }
    }
  }

  private final class SimulationClock extends Clock {
    @Override
    public ZoneId getZone() {
      return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
      return this;
    }

    @Override
    public Instant instant() {
      return Instant.ofEpochSecond(3600).plus(now);
    }
  }

  final String group = "test";
  final Map<PeerName, Node> nodes = new TreeMap<>();
  final List<Node> allNodes = new ArrayList<>();
  final List<PeerName> voters;

  /** Committed views by number, as first received by any node. */
  final TreeMap<Long, MembershipView> committedViews = new TreeMap<>();

  final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at().equals(b.at())
                  ? Long.compare(a.order(), b.order())
                  : a.at().compareTo(b.at()));
  private final boolean trustStorage;
  private long order;
  Duration now = Duration.ZERO;
  double lossProbability;
  int minDelayMillis = 1;

  /** Pairs of a receiver and a sender whose messages do not reach it. */
  final List<List<Node>> blockedLinks = new ArrayList<>();

  ConsensusSimulation(int nodeCount, int voterCount, long seed, boolean trustStorage) {
    random = new SplittableRandom(seed);
    this.trustStorage = trustStorage;
    for (int k = 0; k < nodeCount; k++) {
      Node node = new Node(k);
      nodes.put(node.name, node);
      allNodes.add(node);
    }
    voters = allNodes.subList(0, voterCount).stream().map(node -> node.name).toList();
    allNodes.forEach(Node::start);
  }

  Node node(int index) {
    return allNodes.get(index);
  }

  private boolean isBlocked(Node from, Node to) {
    return from.partition != to.partition || blockedLinks.contains(List.of(to, from));
  }

  private void scheduleEvent(Duration eventDelay, Runnable action) {
    Duration at = now.plus(eventDelay.isNegative() ? Duration.ZERO : eventDelay);
    events.add(new Event(at, ++order, action));
  }

  void run(Duration duration) {
    Duration until = now.plus(duration);
    while (!events.isEmpty() && events.peek().at().compareTo(until) <= 0) {
      Event next = events.poll();
      now = next.at().compareTo(now) > 0 ? next.at() : now;
      next.action().run();
    }
    now = until;
  }

  /**
   * Runs until a condition holds, checking it every 100 ms of simulated time.
   *
   * @return the time it took; empty if the condition does not hold within the timeout
   */
  Optional<Duration> runUntil(Duration timeout, BooleanSupplier condition) {
    Duration startedAt = now;
    while (!condition.getAsBoolean()) {
      if (now.minus(startedAt).compareTo(timeout) > 0) {
        return Optional.empty();
      }
      run(Duration.ofMillis(100));
    }
    return Optional.of(now.minus(startedAt));
  }

  /** Returns whether all running nodes have the same view and are members of it. */
  boolean allAgree() {
    List<Node> running = allNodes.stream().filter(node -> node.alive && !node.paused).toList();
    MembershipView expected = running.get(0).view();
    return running.stream()
        .allMatch(
            node ->
                node.view().equals(expected)
                    && expected.contains(node.name, node.incarnation)
                    && node.service.viewClient().phase() == MembershipViewClient.Phase.MEMBER);
  }

  /** Describes the state of each node, for assertion messages. */
  String describe() {
    return allNodes.stream()
        .map(
            node ->
                node.name
                    + " "
                    + node.service.viewClient().describe(now)
                    + node.service.voter().map(voter -> " " + voter.describe()).orElse(""))
        .collect(Collectors.joining("; "));
  }

  /** Removes all faults, and starts or resumes the nodes that are not running. */
  void heal() {
    lossProbability = 0;
    minDelayMillis = 1;
    blockedLinks.clear();
    for (Node node : allNodes) {
      node.partition = 0;
      node.directory.ignoreForce = false;
      node.directory.failForce = false;
      if (!node.alive) {
        node.start();
      } else if (node.paused) {
        node.resume();
      }
    }
  }
}
