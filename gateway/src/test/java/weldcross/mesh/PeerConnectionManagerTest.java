package weldcross.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerConnectionManagerTest {

  private static final Duration SECOND = Duration.ofSeconds(1);

  /** The longest rest drawn out, a dial, a greeting, a sign of life that is missed. */
  private static final Duration HEALED = Duration.ofMillis(2500);

  private static MeshSimulation up(int count) {
    MeshSimulation w = new MeshSimulation(count);
    w.run(SECOND);
    w.allUp();
    return w;
  }

  @Test
  void silentCutIsNoticedThoughNothingEnds() {
    MeshSimulation w = up(2);
    w.cuts.add("n0>n1");
    w.run(SECOND);
    assertTrue(
        w.node(0).told.contains("down n1: silent, though its connection is open"),
        w.node(0).told.toString());
    assertFalse(w.node(0).links.isUp(w.node(1).name));
    w.cuts.clear();
    w.run(HEALED);
    w.allUp();
  }

  /** A hears B, and B does not hear A: neither connection can be asked for a sign of life. */
  @Test
  void cutInOneDirectionEndsBothConnections() {
    MeshSimulation w = up(3);
    w.cuts.add("n0>n1");
    w.run(SECOND);
    assertFalse(w.node(0).links.isUp(w.node(1).name) || w.node(1).links.isUp(w.node(0).name));
    assertTrue(w.node(0).links.isUp(w.node(2).name) && w.node(1).links.isUp(w.node(2).name));
  }

  @Test
  void restartedPeerIsKnownByItsIncarnationAndTheOneBeforeIsHeardNoMore() {
    MeshSimulation w = up(2);
    w.node(0).say(w.node(1).name, 8, false);
    MeshSimulation.End before = w.withFrames().get(0);
    w.node(0).startAnew(2);
    w.dialComes(w.dials.get(0));
    // The new greeting overtakes what the life before had sent.
    w.deliver(
        w.withFrames().stream()
            .filter(e -> e != before && e.node == w.node(1))
            .reduce((a, b) -> b)
            .get());
    assertEquals(2, w.node(1).links.lifeOf(w.node(0).name).incarnation());
    long heard = w.heard;
    w.run(HEALED);
    assertEquals(heard, w.heard, "nothing of the life before");
    w.allUp();
  }

  /**
   * A disk that lost the last incarnation: others know it, and this life must take a higher one.
   */
  @Test
  void lifeUnderAnIncarnationInUseIsToldAndTakesAHigherOne() {
    MeshSimulation w = up(3);
    w.node(0).startAnew(1);
    w.run(HEALED);
    assertTrue(
        w.node(0).told.stream().anyMatch(t -> t.startsWith("outlived by 1")),
        w.node(0).told.toString());
    assertEquals(2, w.node(0).life.incarnation());
    w.run(HEALED);
    w.allUp();
  }

  @Test
  void whoIsNotOfTheClusterIsRefusedAndDisturbsNobody() {
    MeshSimulation w = up(2);
    PeerConnectionManager links = w.node(0).links;
    PeerName one = w.node(1).name;
    Incarnation life = new Incarnation(1, w.node(1).life.mark());
    Object[][] wrong = {
      {"d", one, w.node(0).name, life, 1},
      {"c", new PeerName("x"), w.node(0).name, life, 1},
      {"c", one, one, life, 1},
      {"c", one, w.node(0).name, life, 2},
      {"c", one, w.node(0).name, new Incarnation(0, 5), 1}
    };
    for (Object[] each : wrong) {
      MeshSimulation.End end = new MeshSimulation.End(w.node(0), 1000);
      end.other = new MeshSimulation.End(w.node(1), -1000);
      w.node(0).ends.put(1000L, end);
      links.accepted(w.now, 1000, true);
      links.greeted(
          w.now,
          1000,
          (String) each[0],
          (PeerName) each[1],
          (PeerName) each[2],
          (Incarnation) each[3],
          (int) each[4]);
      assertFalse(w.node(0).ends.containsKey(1000L), "refused and ended");
    }
    w.run(SECOND);
    w.allUp();
    assertEquals(1, w.node(0).told.size(), "only the first up: " + w.node(0).told);
  }

  /** Whoever calls and says nothing holds a place for a dial's time. */
  @Test
  void silentCallersLeaveRoom() {
    MeshSimulation w = new MeshSimulation(2);
    for (int k = 0; k < 5; k++) {
      MeshSimulation.End end = new MeshSimulation.End(w.node(0), 2000 + k);
      w.node(0).ends.put(end.number, end);
      w.node(0).links.accepted(w.now, end.number, true);
    }
    assertEquals(
        2, w.node(0).ends.keySet().stream().filter(n -> n >= 2000).count(), "two for one peer");
    w.run(HEALED);
    w.allUp();
  }

  @Test
  void ofWhatMayBeLostTheOldestGoesAndElseAFullQueueIsTold() {
    MeshSimulation w = up(2);
    w.takes = false;
    PeerName one = w.node(1).name;
    for (int k = 0; k < 60; k++) {
      w.node(0).say(one, 16, true);
      w.node(0).checkBounds();
    }
    assertTrue(w.node(0).links.describe().contains("dropped"), w.node(0).links.describe());
    assertTrue(w.node(0).links.isUp(one));
    assertFalse(w.node(0).links.send(w.now, one, 1, ByteBuffer.allocate(16), false));
    assertTrue(w.node(0).told.contains("down n1: too much waits for it"));
  }

  @Test
  void restsGrowWhileNobodyAnswersAndAreOverWhenThePeerCalls() {
    MeshSimulation w = up(2);
    w.cuts.addAll(List.of("n0>n1", "n1>n0"));
    w.run(Duration.ofSeconds(20));
    int dials = 0;
    for (Duration until = w.now.plus(Duration.ofSeconds(10)); w.now.compareTo(until) < 0; ) {
      w.pass(SECOND);
      dials += (int) w.dials.stream().filter(d -> d.from() == w.node(0)).count();
      List.copyOf(w.dials).forEach(w::dialComes);
    }
    assertTrue(dials >= 5 && dials <= 13, dials + " dials in 10 s");
    w.cuts.clear();
    w.run(HEALED);
    w.allUp();
  }

  /**
   * Lives that end at any time, cuts in any direction, frames held for any time: checked in each
   * step.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void rulesHoldThroughRandomTrouble(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    MeshSimulation w = new MeshSimulation(3 + (int) (seed % 3));
    int count = w.nodes.size();
    for (int step = 0; step < 6000; step++) {
      MeshSimulation.Node node = w.node(random.nextInt(count));
      PeerName peer = w.node(random.nextInt(count)).name;
      List<MeshSimulation.End> coming = w.withFrames();
      int what = random.nextInt(1000);
      if (what < 500 && !coming.isEmpty()) {
        w.deliver(coming.get(random.nextInt(coming.size())));
      } else if (what < 600 && !w.dials.isEmpty()) {
        w.dialComes(w.dials.get(random.nextInt(w.dials.size())));
      } else if (what < 800 && !peer.equals(node.name)) {
        node.say(peer, 8 + random.nextInt(40), random.nextBoolean());
      } else if (what < 960) {
        w.pass(Duration.ofMillis(random.nextInt(60)));
      } else if (what < 975 && !peer.equals(node.name)) {
        w.cuts.add(node.name + ">" + peer);
      } else if (what < 990) {
        w.cuts.clear();
      } else if (what < 996) {
        // Now and then a disk lost what it had said was kept.
        node.startAnew(node.life.incarnation() + (random.nextInt(4) == 0 ? 0 : 1));
      } else if (!node.ends.isEmpty()) {
        long number = List.copyOf(node.ends.keySet()).get(random.nextInt(node.ends.size()));
        node.drop(number);
        node.links.gone(w.now, number);
      }
      w.settle();
      w.nodes.values().forEach(MeshSimulation.Node::checkBounds);
    }
    assertTrue(w.heard > 100, "messages were heard: " + w.heard);
    w.cuts.clear();
    w.run(HEALED.multipliedBy(2));
    w.allUp();
  }

  /**
   * Every order of a few events between two gateways, one of which restarts or loses a connection.
   */
  @Test
  void allOrdersAtSmallSize() {
    Set<String> seen = new HashSet<>();
    explore(new int[0], 9, seen);
    assertTrue(seen.size() > 1000, seen.size() + " states");
  }

  private static final int CHOICES = 8;

  private static void explore(int[] path, int left, Set<String> seen) {
    MeshSimulation w = play(path);
    if (w == null || !seen.add(state(w) + "@" + left)) {
      return;
    }
    if (left == 0) {
      return;
    }
    for (int choice = 0; choice < CHOICES; choice++) {
      int[] longer = java.util.Arrays.copyOf(path, path.length + 1);
      longer[path.length] = choice;
      explore(longer, left - 1, seen);
    }
  }

  /** Null where a choice cannot be made. */
  private static MeshSimulation play(int[] path) {
    MeshSimulation w = new MeshSimulation(2);
    for (int choice : path) {
      List<MeshSimulation.End> coming = w.withFrames();
      switch (choice) {
        case 0, 1, 2 -> {
          if (choice >= coming.size()) {
            return null;
          }
          w.deliver(coming.get(choice));
        }
        case 3 -> {
          if (w.dials.isEmpty()) {
            return null;
          }
          w.dialComes(w.dials.get(0));
        }
        case 4 -> w.node(0).say(w.node(1).name, 8, false);
        case 5 -> w.node(0).startAnew(w.node(0).life.incarnation() + 1);
        case 6 -> w.node(0).startAnew(w.node(0).life.incarnation());
        default -> w.pass(Duration.ofMillis(200));
      }
      w.settle();
      w.nodes.values().forEach(MeshSimulation.Node::checkBounds);
    }
    return w;
  }

  private static String state(MeshSimulation w) {
    StringBuilder all = new StringBuilder(w.now.toString()).append(w.dials.size());
    w.nodes
        .values()
        .forEach(
            n -> {
              all.append(n.life).append(n.links.describe()).append(n.lastHeard);
              n.ends
                  .values()
                  .forEach(e -> all.append(e.number).append(e.open).append(e.coming.size()));
            });
    return all.toString();
  }
}
