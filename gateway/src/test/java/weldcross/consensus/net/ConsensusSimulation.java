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
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.MembershipView;
import weldcross.consensus.MembershipViewClient;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.wire.Word;
import weldcross.mesh.PeerName;
import weldcross.storage.FaultyStorageDirectory;
import weldcross.storage.StorageDirectory;

/**
 * Gateways that agree, over a network, disks and a clock in memory. Looked at in each step: views
 * of one number are one, and in one life of a gateway their numbers never go back.
 */
final class ConsensusSimulation {

  /** The library tells of each message that it refuses. */
  private static final Logger LIBRARY = Logger.getLogger("io.microraft");

  static {
    LIBRARY.setLevel(Level.OFF);
  }

  private record Event(Duration at, long order, Runnable run) {}

  /** One gateway, through its lives; two threads of it run in the order of the world's events. */
  final class Node {
    final PeerName name;
    final FaultyStorageDirectory disk;
    ConsensusService agreement;
    long life, number;
    boolean lives, paused, left;
    int side, direction;
    private final ArrayDeque<Runnable> held = new ArrayDeque<>();
    private long wakes;
    private int process;
    final List<String> said = new ArrayList<>();
    final List<ProposalResult> told = new ArrayList<>();

    Node(int k) {
      name = new PeerName("n" + k);
      disk = new FaultyStorageDirectory(1000 + k);
    }

    private void later(Duration time, Runnable run) {
      int of = process;
      after(
          time,
          () -> {
            if (of == process && paused) {
              held.add(run);
            } else if (of == process && lives) {
              run.run();
            }
          });
    }

    void start() {
      process++;
      lives = true;
      left = false;
      paused = false;
      held.clear();
      life++;
      number = 0;
      agreement =
          new ConsensusService(
              new ConsensusConfig(
                  group,
                  name,
                  "",
                  100,
                  voters,
                  Duration.ofSeconds(1),
                  Duration.ofSeconds(30),
                  trustDisks,
                  Duration.ofSeconds(1),
                  Duration.ofSeconds(2)),
              new Hosting(),
              0.01,
              new Thread(),
              new WorldClock(),
              random.nextLong(),
              () -> 1 + random.nextLong(Long.MAX_VALUE));
      agreement.begun(life);
    }

    /** Power is lost: what was not forced may be gone. */
    void kill() {
      process++;
      lives = false;
      disk.loseBuffers();
    }

    void resume() {
      paused = false;
      for (int count = held.size(); count > 0; count--) {
        held.poll().run();
      }
    }

    MembershipView view() {
      return agreement.agreed().view();
    }

    private final class Hosting implements ConsensusActions {
      private final int of = process;

      @Override
      public Duration now() {
        return now;
      }

      @Override
      public void send(PeerName to, Word word) {
        Node there = nodes.get(to);
        if (of != process || cut(Node.this, there) || random.nextDouble() < loss) {
          return;
        }
        byte[] bytes = word.toByteArray();
        there.later(
            Duration.ofMillis(delay + random.nextInt(delay + 1)),
            () -> {
              try {
                there.agreement.heard(name, Word.parseFrom(bytes));
              } catch (InvalidProtocolBufferException e) {
                throw new AssertionError(e);
              }
            });
      }

      @Override
      public void post(Runnable event) {
        if (of == process) {
          later(Duration.ZERO, event);
        }
      }

      @Override
      public void wakeAt(Duration when) {
        long wake = ++wakes;
        later(
            when.minus(now),
            () -> {
              if (wake == wakes) {
                agreement.due();
              }
            });
      }

      @Override
      public StorageDirectory disk() {
        return disk;
      }

      @Override
      public void viewIs(MembershipView view) {
        assertTrue(
            view.number() > number, name + " goes back from " + number + " to " + view.number());
        number = view.number();
        assertEquals(
            agreedOn.computeIfAbsent(view.number(), n -> view),
            view,
            "views of one number, at " + name);
      }

      @Override
      public void setQuota(double share) {
        assertTrue(share > 0 && share <= 1);
      }

      @Override
      public void ended(long of) {
        life = Math.max(life, of) + 1;
        later(Duration.ofMillis(1), () -> agreement.begun(life));
      }

      @Override
      public void operatorTold(Proposal motion, ProposalResult verdict) {
        told.add(verdict);
      }

      @Override
      public void left() {
        left = true;
      }

      @Override
      public void say(Level level, String words) {
        said.add(words);
      }
    }

    private final class Thread implements RaftNodeExecutor {
      private final int of = process;

      @Override
      public void execute(Runnable task) {
        schedule(task, 0, TimeUnit.NANOSECONDS);
      }

      @Override
      public void submit(Runnable task) {
        execute(task);
      }

      @Override
      public void schedule(Runnable task, long wait, TimeUnit unit) {
        if (of == process) {
          later(Duration.of(wait, unit.toChronoUnit()), task);
        }
      }
    }
  }

  private final class WorldClock extends Clock {
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
  final List<Node> all = new ArrayList<>();
  final List<PeerName> voters;

  /** By number, as the first that learnt of it had it. */
  final TreeMap<Long, MembershipView> agreedOn = new TreeMap<>();

  final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at().equals(b.at())
                  ? Long.compare(a.order(), b.order())
                  : a.at().compareTo(b.at()));
  private final boolean trustDisks;
  private long order;
  Duration now = Duration.ZERO;
  double loss;
  int delay = 1;

  /** Whether the first hears the second not. */
  final List<List<Node>> deaf = new ArrayList<>();

  ConsensusSimulation(int count, int voting, long seed, boolean trustDisks) {
    random = new SplittableRandom(seed);
    this.trustDisks = trustDisks;
    for (int k = 0; k < count; k++) {
      Node node = new Node(k);
      nodes.put(node.name, node);
      all.add(node);
    }
    voters = all.subList(0, voting).stream().map(n -> n.name).toList();
    all.forEach(Node::start);
  }

  boolean cut(Node from, Node to) {
    return from.side != to.side || deaf.contains(List.of(to, from));
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
   * How long until the condition holds, looked at ten times a second; null where not within that
   * time.
   */
  Duration until(Duration most, BooleanSupplier condition) {
    Duration began = now;
    while (!condition.getAsBoolean()) {
      if (now.minus(began).compareTo(most) > 0) {
        return null;
      }
      run(Duration.ofMillis(100));
    }
    return now.minus(began);
  }

  /** Whether all that live have one view, of all that live in this life and nobody else. */
  boolean agree() {
    List<Node> living = all.stream().filter(n -> n.lives && !n.paused).toList();
    MembershipView one = living.get(0).view();
    return living.stream()
        .allMatch(
            n ->
                n.view().equals(one)
                    && one.has(n.name, n.life)
                    && n.agreement.agreed().phase() == MembershipViewClient.Phase.MEMBER);
  }

  void heal() {
    loss = 0;
    delay = 1;
    deaf.clear();
    for (Node node : all) {
      node.side = 0;
      node.disk.forceLies = false;
      node.disk.forceFails = false;
      if (!node.lives) {
        node.start();
      } else if (node.paused) {
        node.resume();
      }
    }
  }
}
