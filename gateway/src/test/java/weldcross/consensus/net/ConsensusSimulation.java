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
 * Gateways with consensus services over a network, storage and a clock in memory. Checks in each
 * step that there is one view of each number, and that numbers never go back in one process.
 */
final class ConsensusSimulation {

  /** The Raft library logs each message that it rejects. */
  private static final Logger RAFT_LOG = Logger.getLogger("io.microraft");

  static {
    RAFT_LOG.setLevel(Level.OFF);
  }

  private record Event(Duration at, long order, Runnable run) {}

  /** One gateway through its processes; its two threads run in the order of the simulation. */
  final class Node {
    final PeerName name;
    final FaultyStorageDirectory directory;
    final List<String> logLines = new ArrayList<>();
    final List<ProposalResult> operatorResults = new ArrayList<>();
    private final ArrayDeque<Runnable> tasksWhilePaused = new ArrayDeque<>();
    ConsensusService service;
    long incarnation;
    boolean alive;
    boolean paused;
    boolean left;

    /** Only nodes of one partition reach each other. */
    int partition;

    private long viewNumber;
    private long timers;
    private int process;

    Node(int index) {
      name = new PeerName("n" + index);
      directory = new FaultyStorageDirectory(1000 + index);
    }

    private void later(Duration delayed, Runnable task) {
      int scheduledBy = process;
      after(
          delayed,
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
              new VoterThread(),
              new SimulationClock(),
              random.nextLong(),
              () -> 1 + random.nextLong(Long.MAX_VALUE));
      service.start(incarnation);
    }

    /** Loses power: what was not forced may be lost. */
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
        if (createdBy != process || isCut(Node.this, receiver) || random.nextDouble() < loss) {
          return;
        }
        byte[] bytes = message.toByteArray();
        receiver.later(
            Duration.ofMillis(delay + random.nextInt(delay + 1)),
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
          later(Duration.ZERO, task);
        }
      }

      @Override
      public void wakeAt(Duration when) {
        long timer = ++timers;
        later(
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
            name + " goes back from " + viewNumber + " to " + view.number());
        viewNumber = view.number();
        assertEquals(
            committedViews.computeIfAbsent(view.number(), number -> view),
            view,
            "views of one number, at " + name);
      }

      @Override
      public void setQuota(double share) {
        assertTrue(share > 0 && share <= 1);
      }

      @Override
      public void incarnationEnded(long ended) {
        incarnation = Math.max(incarnation, ended) + 1;
        later(Duration.ofMillis(1), () -> service.start(incarnation));
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
      public void log(Level level, String line) {
        logLines.add(line);
      }
    }

    private final class VoterThread implements RaftNodeExecutor {
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
      public void schedule(Runnable task, long delayed, TimeUnit unit) {
        if (createdBy == process) {
          later(Duration.of(delayed, unit.toChronoUnit()), task);
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

  /** By number, as the first node that learnt of it had it. */
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
  double loss;
  int delay = 1;

  /** Pairs of which the first does not receive messages of the second. */
  final List<List<Node>> cutPairs = new ArrayList<>();

  ConsensusSimulation(int count, int voting, long seed, boolean trustStorage) {
    random = new SplittableRandom(seed);
    this.trustStorage = trustStorage;
    for (int k = 0; k < count; k++) {
      Node node = new Node(k);
      nodes.put(node.name, node);
      allNodes.add(node);
    }
    voters = allNodes.subList(0, voting).stream().map(n -> n.name).toList();
    allNodes.forEach(Node::start);
  }

  Node node(int index) {
    return allNodes.get(index);
  }

  boolean isCut(Node from, Node to) {
    return from.partition != to.partition || cutPairs.contains(List.of(to, from));
  }

  private void after(Duration time, Runnable run) {
    events.add(new Event(now.plus(time.isNegative() ? Duration.ZERO : time), ++order, run));
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
   * Runs until a condition holds, which is checked ten times a second.
   *
   * @return how long that took; empty where it does not hold within the timeout
   */
  Optional<Duration> runUntil(Duration timeout, BooleanSupplier condition) {
    Duration began = now;
    while (!condition.getAsBoolean()) {
      if (now.minus(began).compareTo(timeout) > 0) {
        return Optional.empty();
      }
      run(Duration.ofMillis(100));
    }
    return Optional.of(now.minus(began));
  }

  /** Whether all running nodes have one view, whose members are their present incarnations. */
  boolean allAgree() {
    List<Node> running = allNodes.stream().filter(n -> n.alive && !n.paused).toList();
    MembershipView one = running.get(0).view();
    return running.stream()
        .allMatch(
            n ->
                n.view().equals(one)
                    && one.contains(n.name, n.incarnation)
                    && n.service.viewClient().phase() == MembershipViewClient.Phase.MEMBER);
  }

  /** What each node knows, for the message of a failed check. */
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

  /** Ends all faults, and starts what is not running. */
  void heal() {
    loss = 0;
    delay = 1;
    cutPairs.clear();
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
