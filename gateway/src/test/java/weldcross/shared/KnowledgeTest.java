package weldcross.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.routing.GroupId;
import weldcross.routing.ServerId;

/** Several gateways' knowledge over one store as a model, in a time that the test moves. */
class KnowledgeTest {

  private static final Duration UNIX = Duration.ofSeconds(1_800_000_000L);
  private static final SharedTerms TERMS =
      new SharedTerms("g", ms(10), ms(8), ms(250), ms(200), ms(60_000), 500, 64, 200);

  private static final Pattern KEPT = Pattern.compile("(\\d+) out, (\\d+) marks");

  private static Duration ms(long n) {
    return Duration.ofMillis(n);
  }

  /** The store, its delays and its faults; what is asked of it is done when it takes it. */
  private static final class Store {
    Map<ServerId, Sighting> sightings = new HashMap<>();
    Map<Long, Duration> marks = new HashMap<>();
    Map<ServerId, Sighting> oldSightings = new HashMap<>();
    Map<Long, Duration> oldMarks = new HashMap<>();
    long delay = 1;
    boolean mute, refusing;
    int wipes, asked;
  }

  private record Event(long at, long order, Runnable what) {}

  private static final class World {
    final SplittableRandom dice;
    final Store store = new Store();
    final List<Gateway> gateways = new ArrayList<>();
    final PriorityQueue<Event> events =
        new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));

    /** The furthest that each process was ever seen, by server and start. */
    final Map<String, Duration> truth = new HashMap<>();

    long millis, order;

    World(long seed, int gateways) {
      dice = new SplittableRandom(seed);
      for (int k = 0; k < gateways; k++) {
        this.gateways.add(new Gateway(this, k));
      }
    }

    Duration now() {
      return ms(millis);
    }

    void at(long when, Runnable what) {
      events.add(new Event(when, order++, what));
    }

    void pass(long span) {
      long end = millis + span;
      while (!events.isEmpty() && events.peek().at <= end) {
        Event next = events.poll();
        millis = Math.max(millis, next.at);
        next.what.run();
      }
      millis = end;
    }
  }

  /** One gateway: hands its asks to the store, and keeps the books of what it was told. */
  private static final class Gateway implements StoreHost {
    final World world;
    final Knowledge knowledge;
    final Map<ServerId, Duration> starts = new LinkedHashMap<>();
    final Map<ServerId, Duration> believed = new HashMap<>();
    final Map<Long, Long> open = new TreeMap<>();
    final Map<Long, Duration> due = new HashMap<>();
    final Map<Long, Boolean> sure = new HashMap<>();
    final Map<Long, Duration> commits = new HashMap<>();
    final List<String> said = new ArrayList<>();
    int primaries;

    Gateway(World world, int number) {
      this.world = world;
      this.knowledge =
          new Knowledge(
              this,
              new SharedTerms(
                  "g" + number,
                  TERMS.markWithin(),
                  TERMS.findWithin(),
                  TERMS.refreshEvery(),
                  TERMS.publishAfter(),
                  TERMS.marksKept(),
                  TERMS.mostMarks(),
                  TERMS.mostAsks(),
                  TERMS.refillPerSecond()),
              UNIX,
              number);
    }

    void listed(ServerId server, Duration start) {
      if (start == null || !start.equals(starts.get(server))) {
        believed.remove(server);
      }
      starts.put(server, start);
      knowledge.listed(world.now(), server, new GroupId(0), start);
    }

    private void store(Runnable effect, Runnable answer, long ask) {
      Store s = world.store;
      s.asked++;
      if (s.mute) {
        return;
      }
      long back = world.millis + s.delay + world.dice.nextInt(2);
      boolean refused = s.refusing;
      world.at(
          world.millis + s.delay / 2,
          () -> {
            if (!refused) {
              effect.run();
            }
          });
      world.at(
          back,
          () -> {
            if (refused) {
              knowledge.storeFailed(world.now(), ask, false, "LOADING");
            } else {
              answer.run();
            }
          });
    }

    @Override
    public void publish(long ask, Sighting sighting, Duration kept) {
      store(
          () ->
              world.store.sightings.merge(
                  sighting.server(), sighting, (a, b) -> b.isNewerThan(a) ? b : a),
          () -> knowledge.storeAnswered(world.now(), ask),
          ask);
    }

    @Override
    public void mark(long ask, long session, Duration commit, Duration kept) {
      store(
          () -> world.store.marks.merge(session, commit, (a, b) -> a.compareTo(b) > 0 ? a : b),
          () -> knowledge.storeAnswered(world.now(), ask),
          ask);
    }

    @Override
    public void find(long ask, long session) {
      Duration[] found = new Duration[1];
      store(
          () -> found[0] = world.store.marks.get(session),
          () -> knowledge.storeFound(world.now(), ask, found[0]),
          ask);
    }

    @Override
    public void see(long ask) {
      List<Sighting> seen = new ArrayList<>();
      store(
          () -> seen.addAll(world.store.sightings.values()),
          () -> knowledge.storeSaw(world.now(), ask, seen),
          ask);
    }

    @Override
    public void marked(long ticket) {
      end(ticket);
    }

    @Override
    public void found(long ticket, Duration commit, boolean wasSure) {
      sure.put(ticket, wasSure);
      commits.put(ticket, commit);
      end(ticket);
    }

    private void end(long ticket) {
      assertTrue(open.remove(ticket) != null, "ended twice, or never begun: " + ticket);
      assertTrue(world.now().compareTo(due.remove(ticket)) <= 0, "an RPC waited too long");
    }

    long begin(Duration within) {
      long ticket = world.order++;
      open.put(ticket, ticket);
      due.put(ticket, world.now().plus(within));
      return ticket;
    }

    @Override
    public void believe(ServerId server, Duration position, boolean primary) {
      Duration start = starts.get(server);
      assertTrue(start != null, "believed of a process whose start nobody tells");
      Duration truly = world.truth.get(server.name() + start);
      assertTrue(truly != null && position.compareTo(truly) <= 0, "no such process was ever there");
      Duration before = believed.put(server, position);
      assertTrue(before == null || position.compareTo(before) > 0, "went back");
      primaries += primary ? 1 : 0;
    }

    @Override
    public void wakeAt(Duration when) {
      world.at(
          Math.max(world.millis, when.toMillis() + (when.toNanos() % 1_000_000 > 0 ? 1 : 0)),
          () -> knowledge.dueReached(world.now()));
    }

    @Override
    public void storeIs(StoreHealth.State state, String why) {
      said.add(state + " " + why);
    }

    void learned(ServerId server, Duration position, Boolean primary) {
      world.truth.merge(
          server.name() + starts.get(server), position, (a, b) -> a.compareTo(b) > 0 ? a : b);
      knowledge.learned(world.now(), server, position, primary);
    }
  }

  /** Servers that restart from older copies, gateways listed late, a store with every fault. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void believesOnlyWhatWasTrueOfThatProcessAndKeepsNobodyWaiting(long seed) {
    World w = new World(seed, 4);
    SplittableRandom dice = w.dice;
    ServerId[] servers = new ServerId[5];
    long[] starts = new long[5];
    long[] lags = new long[5];
    for (int k = 0; k < 5; k++) {
      servers[k] = new ServerId("s" + k);
    }
    w.gateways.forEach(
        g -> {
          for (ServerId s : servers) {
            g.listed(s, Duration.ZERO);
          }
          g.knowledge.started(w.now());
        });
    for (int step = 0; step < 6000; step++) {
      Gateway g = w.gateways.get(dice.nextInt(4));
      int k = dice.nextInt(5);
      int kind = dice.nextInt(1000);
      if (kind < 3) {
        starts[k] = w.millis + 1;
        lags[k] = dice.nextInt(30_000);
      } else if (kind < 40) {
        g.listed(
            servers[k],
            dice.nextInt(20) == 0
                ? null
                : starts[k] == 0 ? Duration.ZERO : UNIX.plus(ms(starts[k])));
      } else if (kind < 45) {
        w.store.mute = !w.store.mute;
      } else if (kind < 50) {
        w.store.refusing = !w.store.refusing;
      } else if (kind < 56) {
        w.store.delay = dice.nextInt(3) == 0 ? 1 + dice.nextInt(5000) : 1 + dice.nextInt(3);
      } else if (kind < 58) {
        w.store.oldSightings = new HashMap<>(w.store.sightings);
        w.store.oldMarks = new HashMap<>(w.store.marks);
      } else if (kind < 60) {
        w.store.sightings = new HashMap<>(w.store.oldSightings);
        w.store.marks = new HashMap<>(w.store.oldMarks);
      } else if (kind < 62) {
        w.gateways.forEach(each -> each.knowledge.storeLost(w.now(), "reset"));
      } else if (kind < 400) {
        // What the process that this gateway knows says; one it has not heard of says nothing to
        // it.
        Duration start = starts[k] == 0 ? Duration.ZERO : UNIX.plus(ms(starts[k]));
        if (start.equals(g.starts.get(servers[k]))) {
          lags[k] = Math.max(0, lags[k] - dice.nextInt(40));
          g.learned(servers[k], UNIX.plus(ms(w.millis - lags[k])), k == 0);
        }
      } else if (kind < 600) {
        g.knowledge.wrote(
            w.now(), dice.nextInt(2000), UNIX.plus(w.now()), g.begin(TERMS.markWithin()));
      } else if (kind < 800) {
        g.knowledge.reads(w.now(), dice.nextInt(2000), g.begin(TERMS.findWithin()));
      } else {
        w.pass(dice.nextInt(30));
      }
      Matcher kept = KEPT.matcher(g.knowledge.inWords());
      assertTrue(
          kept.find()
              && Integer.parseInt(kept.group(1)) <= TERMS.mostAsks() + 1
              && Integer.parseInt(kept.group(2)) <= TERMS.mostMarks(),
          g.knowledge.inWords());
    }
    w.pass(20_000);
    for (Gateway g : w.gateways) {
      assertTrue(g.open.isEmpty(), "still waits: " + g.open);
    }
  }

  /**
   * The promise: what was marked before its answer is found by whoever reads a moment later
   * elsewhere.
   */
  @Test
  void aReadElsewhereFindsWhatWasMarkedBeforeItsAnswer() {
    World w = settled();
    Gateway a = w.gateways.get(0);
    Gateway b = w.gateways.get(1);
    long write = a.begin(TERMS.markWithin());
    a.knowledge.wrote(w.now(), 77, UNIX.plus(ms(5)), write);
    assertTrue(a.open.containsKey(write), "waits for the store");
    while (a.open.containsKey(write)) {
      w.pass(1);
    }
    long read = b.begin(TERMS.findWithin());
    b.knowledge.reads(w.now(), 77, read);
    w.pass(10);
    assertEquals(UNIX.plus(ms(5)), b.commits.get(read));
    assertTrue(b.sure.get(read));
  }

  @Test
  void aStoreThatStallsHoldsNobodyAndIsAskedEverMoreRarely() {
    World w = settled();
    Gateway a = w.gateways.get(0);
    w.store.mute = true;
    long read = a.begin(TERMS.findWithin());
    a.knowledge.reads(w.now(), 77, read);
    w.pass(9);
    assertFalse(a.sure.get(read));
    w.pass(1000);
    assertEquals(StoreHealth.State.AWAY, a.knowledge.state());
    long second = a.begin(Duration.ZERO);
    a.knowledge.reads(w.now(), 77, second);
    assertFalse(a.sure.get(second), "nobody waits for a store that is away");
    int before = w.store.asked;
    w.pass(60_000);
    int trials = w.store.asked - before;
    assertTrue(trials >= 8 && trials <= 2 * 30, trials + " trials by two gateways in a minute");
  }

  /**
   * Back and empty: whoever wrote puts again what it has, at a pace, and servers are published
   * anew.
   */
  @Test
  void aStoreThatComesBackEmptyIsToldAgain() {
    World w = settled();
    Gateway a = w.gateways.get(0);
    for (int k = 0; k < 300; k++) {
      a.knowledge.wrote(w.now(), k, UNIX.plus(ms(k)), a.begin(TERMS.markWithin()));
      w.pass(2);
    }
    ServerId s = new ServerId("s0");
    a.learned(s, UNIX.plus(ms(900)), true);
    w.pass(50);
    w.gateways.forEach(g -> g.knowledge.storeLost(w.now(), "reset"));
    w.store.sightings.clear();
    w.store.marks.clear();
    w.pass(900);
    assertTrue(
        w.store.marks.size() > 20 && w.store.marks.size() < 300, "a pace: " + w.store.marks.size());
    a.learned(s, UNIX.plus(ms(901)), true);
    w.pass(2000);
    assertEquals(300, w.store.marks.size());
    assertEquals(UNIX.plus(ms(901)), w.store.sightings.get(s).position());
  }

  @Test
  void aMarkThatAloneIsLostIsPutAgain() {
    World w = settled();
    Gateway a = w.gateways.get(0);
    w.store.refusing = true;
    a.knowledge.wrote(w.now(), 77, UNIX.plus(ms(5)), a.begin(TERMS.markWithin()));
    w.store.refusing = false;
    w.pass(1000);
    assertEquals(
        List.of("UP it answers"), a.said, "never away, so that nothing else has it put again");
    assertEquals(UNIX.plus(ms(5)), w.store.marks.get(77L));
  }

  @Test
  void yesterdaysStoreMakesNobodyGoBack() {
    World w = settled();
    Gateway a = w.gateways.get(0);
    Gateway b = w.gateways.get(1);
    ServerId s = new ServerId("s0");
    a.learned(s, UNIX.plus(ms(100)), true);
    w.pass(700);
    assertEquals(UNIX.plus(ms(100)), b.believed.get(s));
    Map<ServerId, Sighting> old = new HashMap<>(w.store.sightings);
    a.learned(s, UNIX.plus(ms(700)), true);
    w.pass(700);
    assertEquals(UNIX.plus(ms(700)), b.believed.get(s));
    w.store.sightings = old;
    w.pass(2000);
    assertEquals(UNIX.plus(ms(700)), b.believed.get(s));
  }

  /**
   * It started again from an older copy: what was seen of the process before it counts for nothing.
   */
  @Test
  void whatWasSeenOfAnEarlierProcessIsNotBelieved() {
    World w = settled();
    Gateway a = w.gateways.get(0);
    Gateway b = w.gateways.get(1);
    ServerId s = new ServerId("s0");
    b.listed(s, UNIX.plus(ms(150)));
    a.learned(s, UNIX.plus(ms(100)), false);
    w.pass(700);
    assertNull(b.believed.get(s), "b knows of its new start already");
    b.learned(s, UNIX.plus(ms(60)), false);
    w.pass(700);
    assertEquals(
        UNIX.plus(ms(60)), w.store.sightings.get(s).position(), "the later process, though behind");
    a.listed(s, UNIX.plus(ms(150)));
    assertEquals(UNIX.plus(ms(60)), a.believed.get(s));
    b.listed(s, null);
    a.learned(s, UNIX.plus(ms(400)), false);
    w.pass(700);
    assertNull(b.believed.get(s), "whose start nobody tells may have started since");
  }

  /** Many gateways that see the same are not many times as much for the store. */
  @ParameterizedTest
  @ValueSource(ints = {9, 90})
  void whatOthersHavePublishedIsNotPublishedAgain(int gateways) {
    World w = new World(3, gateways);
    for (Gateway g : w.gateways) {
      for (int k = 0; k < 5; k++) {
        g.listed(new ServerId("s" + k), Duration.ZERO);
      }
      g.knowledge.started(w.now());
    }
    w.pass(1000);
    int before = w.store.asked;
    for (int t = 0; t < 10_000; t += 10) {
      Gateway g = w.gateways.get(w.dice.nextInt(gateways));
      g.learned(new ServerId("s" + w.dice.nextInt(5)), UNIX.plus(w.now()), null);
      w.pass(10);
    }
    double perGateway = (w.store.asked - before) / 10.0 / gateways;
    assertTrue(perGateway < (gateways == 9 ? 16 : 6), perGateway + " asks a second");
  }

  private static World settled() {
    World w = new World(7, 2);
    for (Gateway g : w.gateways) {
      g.listed(new ServerId("s0"), Duration.ZERO);
      g.knowledge.started(w.now());
    }
    w.pass(1000);
    w.gateways.forEach(g -> assertEquals(List.of("UP it answers"), g.said));
    return w;
  }
}
