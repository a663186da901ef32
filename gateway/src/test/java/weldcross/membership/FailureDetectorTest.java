package weldcross.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.mesh.PeerName;

class FailureDetectorTest {

  private static final Duration MINUTE = Duration.ofMinutes(1);

  private static Duration seconds(long count) {
    return Duration.ofSeconds(count);
  }

  private static MembershipSimulation up(int count, long seed) {
    MembershipSimulation w = new MembershipSimulation(count, seed);
    assertNotNull(
        w.until(MINUTE.multipliedBy(10), () -> w.hold(w.all, MemberState.ALIVE)), "all find all");
    return w;
  }

  /** Killed and paused are both silent: nothing tells them apart but proof. */
  @Test
  void whoDoesNotAnswerIsSilentAndOnlyProofMakesItGone() {
    MembershipSimulation w = up(5, 1);
    MembershipSimulation.Node killed = w.all.get(1);
    MembershipSimulation.Node paused = w.all.get(2);
    killed.kill();
    paused.pause();
    assertNotNull(w.until(MINUTE, () -> w.hold(List.of(killed, paused), MemberState.UNREACHABLE)));
    w.all.get(0).detector.onConnectionRefused(w.now, killed.name, 2);
    assertTrue(
        w.hold(List.of(killed), MemberState.UNREACHABLE),
        "a dial begun under another life proves nothing");
    w.all.get(0).detector.onConnectionRefused(w.now, killed.name, 1);
    assertNotNull(
        w.until(seconds(10), () -> w.hold(List.of(killed), MemberState.DEAD)),
        "proof is passed on");
    assertTrue(w.hold(List.of(paused), MemberState.UNREACHABLE));
    paused.resume();
    assertNotNull(w.until(seconds(10), () -> w.hold(List.of(paused), MemberState.ALIVE)));
    killed.start();
    assertNotNull(
        w.until(seconds(20), () -> w.hold(w.all, MemberState.ALIVE)), "a later life ends it");
    assertEquals(0, w.falselyUnreachable);
  }

  @Test
  void whoSaysGoodbyeIsGoneAtOnce() {
    MembershipSimulation w = up(30, 2);
    w.all.get(3).detector.leave();
    w.all.get(3).kill();
    Duration took = w.until(seconds(20), () -> w.hold(List.of(w.all.get(3)), MemberState.DEAD));
    assertNotNull(took);
    assertTrue(took.compareTo(seconds(6)) < 0, took.toString());
  }

  @Test
  void twoSidesHoldEachOtherSilentAndFindTogetherAgain() {
    MembershipSimulation w = up(9, 3);
    for (int k = 0; k < 4; k++) {
      w.all.get(k).side = 1;
    }
    assertNotNull(
        w.until(
            MINUTE,
            () ->
                w.all.stream()
                    .allMatch(
                        a ->
                            w.all.stream()
                                .allMatch(
                                    b ->
                                        a == b
                                            || a.detector.stateOf(b.name)
                                                == (a.side == b.side
                                                    ? MemberState.ALIVE
                                                    : MemberState.UNREACHABLE)))));
    w.all.forEach(n -> n.side = 0);
    Duration took = w.until(MINUTE, () -> w.hold(w.all, MemberState.ALIVE));
    assertNotNull(took);
    assertTrue(took.compareTo(seconds(15)) < 0, took.toString());
    assertEquals(0, w.falselyUnreachable);
  }

  /**
   * One that stands still for two seconds of each three accuses nobody: what came meanwhile is read
   * first.
   */
  @Test
  void slowSelfDoesNotAccuseTheOthers() {
    MembershipSimulation w = up(20, 4);
    MembershipSimulation.Node slow = w.all.get(0);
    int accused = 0;
    for (int k = 0; k < 100; k++) {
      slow.pause();
      w.run(seconds(2));
      slow.resume();
      w.run(seconds(1));
      accused +=
          (int)
              slow.detector.members().stream()
                  .filter(n -> n.state() == MemberState.UNREACHABLE)
                  .count();
    }
    assertEquals(0, accused);
  }

  /** A third of all messages is lost, and each takes up to 0.2 s. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void badLinksMakeFewFalselySilentAndNobodyGone(long seed) {
    MembershipSimulation w = up(20, seed);
    w.loss = 0.3;
    w.delay = 100;
    w.run(Duration.ofMinutes(10));
    assertTrue(
        w.all.stream().anyMatch(n -> n.detector.healthScore() > 0),
        "who gets no answers doubts itself");
    double anHour = w.falselyUnreachable / 20.0 * 6;
    assertTrue(anHour < 12, w.falselyUnreachable + " in ten minutes of 20 gateways");
    w.loss = 0;
    w.delay = 1;
    assertNotNull(w.until(MINUTE, () -> w.hold(w.all, MemberState.ALIVE)));
  }

  /**
   * What one gateway sends is the same at thirty and three hundred; updates take rounds by the
   * logarithm.
   */
  @Test
  void costOfOneDoesNotGrowWithTheNumber() {
    double[] sent = new double[2];
    int[] counts = {30, 300};
    for (int k = 0; k < counts.length; k++) {
      MembershipSimulation w = up(counts[k], 5);
      long before = w.messages;
      w.run(seconds(30));
      sent[k] = (w.messages - before) / 30.0 / counts[k];
      MembershipSimulation.Node goes = w.all.get(7);
      goes.detector.leave();
      goes.kill();
      Duration took = w.until(MINUTE, () -> w.hold(List.of(goes), MemberState.DEAD));
      assertNotNull(took);
      assertTrue(took.compareTo(seconds(12)) < 0, counts[k] + ": " + took);
    }
    assertEquals(sent[0], sent[1], 0.2);
  }

  /**
   * Lives that end and begin, pauses, sides, losses, at random: what must never be held is looked
   * at each time.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void noLivingOneIsEverHeldGoneAndAllFindTogetherAgain(long seed) {
    MembershipSimulation w = up(5 + (int) (seed % 4), seed);
    for (int step = 0; step < 400; step++) {
      MembershipSimulation.Node node = w.all.get(w.random.nextInt(w.all.size()));
      switch (w.random.nextInt(9)) {
        case 0 -> {
          if (node.lives && !node.paused) {
            node.kill();
            // Somebody may find out by a refused dial.
            MembershipSimulation.Node other = w.all.get(w.random.nextInt(w.all.size()));
            if (other != node && other.lives && !other.paused && w.random.nextBoolean()) {
              other.detector.onConnectionRefused(
                  w.now, node.name, w.random.nextLong(node.life) + 1);
            }
          }
        }
        case 1, 2 -> {
          if (!node.lives) {
            node.start();
          }
        }
        case 3 -> {
          if (node.lives) {
            node.pause();
          }
        }
        case 4, 5 -> {
          if (node.paused) {
            node.resume();
          }
        }
        case 6 -> node.side = w.random.nextInt(2);
        case 7 -> w.loss = w.random.nextInt(3) * 0.2;
        default -> w.all.forEach(n -> n.side = 0);
      }
      w.run(Duration.ofMillis(w.random.nextInt(3000)));
    }
    w.loss = 0;
    w.all.forEach(
        n -> {
          n.side = 0;
          if (!n.lives) {
            n.start();
          } else if (n.paused) {
            n.resume();
          }
        });
    assertNotNull(
        w.until(Duration.ofMinutes(2), () -> w.hold(w.all, MemberState.ALIVE)),
        "after seed " + seed);
  }

  // ---- All orders at small size

  private static final PeerName[] NAMES = {new PeerName("a"), new PeerName("b"), new PeerName("c")};

  /**
   * Three that pass updates about c in any order, with loss and repeats; c lives, restarts, or
   * answers for itself.
   */
  @Test
  void allOrdersOfNewsAboutOne() {
    Set<String> seen = new HashSet<>();
    explore(new int[0], 9, seen);
    assertTrue(seen.size() > 1500, seen.size() + " states");
  }

  private static void explore(int[] path, int left, Set<String> seen) {
    String state = play(path);
    if (state == null || !seen.add(state + "@" + left) || left == 0) {
      return;
    }
    for (int choice = 0; choice < 7; choice++) {
      int[] longer = Arrays.copyOf(path, path.length + 1);
      longer[path.length] = choice;
      explore(longer, left - 1, seen);
    }
  }

  /** Null where a choice cannot be made. */
  private static String play(int[] path) {
    MembershipUpdate[] holds = {null, null};
    List<MembershipUpdate> under = new ArrayList<>();
    long[] life = {1};
    long version = 0;
    boolean lives = true;
    MembershipUpdate self =
        new MembershipUpdate(NAMES[2], 1, 0, MemberState.ALIVE, "", 1, NAMES[2]);
    under.add(self);
    for (int choice : path) {
      switch (choice) {
        case 0, 1 -> {
          // All that is under way reaches a, or b, in the order of its making; it stays, as repeats
          // may come.
          for (MembershipUpdate each : under) {
            holds[choice] =
                each.overrides(Optional.ofNullable(holds[choice])) ? each : holds[choice];
          }
        }
        case 2 -> {
          if (under.isEmpty()) {
            return null;
          }
          // The last comes to a before all others.
          MembershipUpdate last = under.get(under.size() - 1);
          holds[0] = last.overrides(Optional.ofNullable(holds[0])) ? last : holds[0];
        }
        case 3 -> {
          if (holds[0] == null || holds[0].state() != MemberState.ALIVE) {
            return null;
          }
          holds[0] = holds[0].withState(MemberState.UNREACHABLE, NAMES[0]);
          under.add(holds[0]);
        }
        case 4 -> {
          if (!lives
              || holds[0] == null
              || holds[0].incarnation() != life[0]
              || holds[0].state() == MemberState.ALIVE) {
            return null;
          }
          // c hears what a holds of it.
          version = Math.max(version, holds[0].version() + 1);
          under.add(
              new MembershipUpdate(NAMES[2], life[0], version, MemberState.ALIVE, "", 1, NAMES[2]));
        }
        case 5 -> {
          if (!lives || holds[1] == null) {
            return null;
          }
          lives = false;
          // b finds that nobody listens where c should.
          holds[1] = holds[1].withState(MemberState.DEAD, NAMES[1]);
          under.add(holds[1]);
        }
        default -> {
          if (lives) {
            return null;
          }
          lives = true;
          life[0]++;
          version = 0;
          under.add(new MembershipUpdate(NAMES[2], life[0], 0, MemberState.ALIVE, "", 1, NAMES[2]));
        }
      }
      for (MembershipUpdate each : holds) {
        assertFalse(
            each != null
                && each.state() == MemberState.DEAD
                && lives
                && each.incarnation() == life[0],
            "a living one is held gone: " + each);
      }
    }
    // Whatever came in whatever order: once all have come, both hold the same.
    MembershipUpdate[] last = holds.clone();
    for (int k = 0; k < 2; k++) {
      for (MembershipUpdate each : under) {
        last[k] = each.overrides(Optional.ofNullable(last[k])) ? each : last[k];
      }
    }
    assertTrue(
        last[0] == null
            || last[1] == null
            || (last[0].incarnation() == last[1].incarnation()
                && last[0].version() == last[1].version()
                && last[0].state() == last[1].state()),
        last[0] + " and " + last[1]);
    return Arrays.toString(holds) + under + life[0] + version + lives;
  }

  /**
   * All orders of seven steps of three gateways, one of which ends and begins again while another
   * dials it.
   */
  @Test
  void inNoOrderIsALifeHeldGoneThatHasNotEnded() {
    FailureDetectorExplorer explorer = new FailureDetectorExplorer(false);
    assertNull(explorer.explore(7));
    assertTrue(explorer.states() > 5_000, explorer.states() + " states");
    String found = new FailureDetectorExplorer(true).explore(7);
    assertNotNull(found, "a refusal that counts for a life it does not speak of is found");
  }
}
