package weldcross.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldcross.mesh.PeerName;

class MembershipUpdateTest {

  private static final PeerName A = new PeerName("a");
  private static final PeerName B = new PeerName("b");
  private static final PeerName C = new PeerName("c");
  private static final int CHOICES = 7;

  /**
   * What a and b hold of c, and all updates about c that are on their way; repeats may come, so
   * that none of them is ever removed.
   */
  private static final class Exchange {
    Optional<MembershipUpdate> heldByA = Optional.empty();
    Optional<MembershipUpdate> heldByB = Optional.empty();
    final List<MembershipUpdate> sent = new ArrayList<>();
    long incarnation = 1;
    long version;
    boolean running = true;

    Exchange() {
      sendAlive();
    }

    private void sendAlive() {
      sent.add(new MembershipUpdate(C, incarnation, version, MemberState.ALIVE, "", 1, C));
    }

    private static Optional<MembershipUpdate> receive(
        Optional<MembershipUpdate> held, MembershipUpdate update) {
      return update.overrides(held) ? Optional.of(update) : held;
    }

    private Optional<MembershipUpdate> receiveAll(Optional<MembershipUpdate> held) {
      Optional<MembershipUpdate> latest = held;
      for (MembershipUpdate update : sent) {
        latest = receive(latest, update);
      }
      return latest;
    }

    /** Does one of the steps; false where it is not possible. */
    boolean step(int choice) {
      return switch (choice) {
        case 0 -> {
          heldByA = receiveAll(heldByA);
          yield true;
        }
        case 1 -> {
          heldByB = receiveAll(heldByB);
          yield true;
        }
        case 2 -> {
          // The last update overtakes all others.
          heldByA = receive(heldByA, sent.get(sent.size() - 1));
          yield true;
        }
        case 3 -> holdUnreachable();
        case 4 -> refute();
        case 5 -> end();
        default -> restart();
      };
    }

    /** a gives c up. */
    private boolean holdUnreachable() {
      if (heldByA.isEmpty() || heldByA.get().state() != MemberState.ALIVE) {
        return false;
      }
      heldByA = Optional.of(heldByA.get().withState(MemberState.UNREACHABLE, A));
      sent.add(heldByA.get());
      return true;
    }

    /** c learns what a holds of it, and refutes it. */
    private boolean refute() {
      if (!running
          || heldByA.isEmpty()
          || heldByA.get().incarnation() != incarnation
          || heldByA.get().state() == MemberState.ALIVE) {
        return false;
      }
      version = Math.max(version, heldByA.get().version() + 1);
      sendAlive();
      return true;
    }

    /** c ends, and b finds that nobody listens on its address. */
    private boolean end() {
      if (!running || heldByB.isEmpty()) {
        return false;
      }
      running = false;
      heldByB = Optional.of(heldByB.get().withState(MemberState.DEAD, B));
      sent.add(heldByB.get());
      return true;
    }

    private boolean restart() {
      if (running) {
        return false;
      }
      running = true;
      incarnation++;
      version = 0;
      sendAlive();
      return true;
    }

    void assertRunningOneIsNotHeldForDead() {
      for (Optional<MembershipUpdate> held : List.of(heldByA, heldByB)) {
        assertFalse(
            held.isPresent()
                && held.get().state() == MemberState.DEAD
                && running
                && held.get().incarnation() == incarnation,
            "a running one is held for dead: " + held);
      }
    }

    /** Whatever came in whatever order: once all have come, both hold the same. */
    void assertConverges() {
      Optional<MembershipUpdate> a = receiveAll(heldByA);
      Optional<MembershipUpdate> b = receiveAll(heldByB);
      assertTrue(a.isPresent() && b.isPresent(), a + " and " + b);
      assertEquals(a.get().incarnation(), b.get().incarnation());
      assertEquals(a.get().version(), b.get().version());
      assertEquals(a.get().state(), b.get().state());
    }

    @Override
    public String toString() {
      return heldByA + " " + heldByB + " " + sent + incarnation + version + running;
    }
  }

  /** Both updates are of one member, given by state, incarnation and version. */
  @ParameterizedTest
  @CsvSource({
    "ALIVE, 2, 0, DEAD, 1, 9, true",
    "DEAD, 1, 9, ALIVE, 2, 0, false",
    "ALIVE, 1, 1, UNREACHABLE, 1, 0, true",
    "ALIVE, 1, 0, SUSPECT, 1, 0, false",
    "SUSPECT, 1, 0, ALIVE, 1, 0, true",
    "UNREACHABLE, 1, 0, SUSPECT, 1, 0, true",
    "SUSPECT, 1, 0, SUSPECT, 1, 0, false",
    "DEAD, 1, 0, ALIVE, 1, 5, true",
    "ALIVE, 1, 5, DEAD, 1, 0, false",
    "DEAD, 1, 5, DEAD, 1, 0, false"
  })
  void precedenceIsIncarnationThenDeadThenVersionThenState(
      MemberState state,
      long incarnation,
      long version,
      MemberState previousState,
      long previousIncarnation,
      long previousVersion,
      boolean expected) {
    MembershipUpdate update = new MembershipUpdate(C, incarnation, version, state, "", 1, A);
    MembershipUpdate previous =
        new MembershipUpdate(C, previousIncarnation, previousVersion, previousState, "", 1, B);
    assertEquals(expected, update.overrides(Optional.of(previous)));
    assertTrue(update.overrides(Optional.empty()));
  }

  /**
   * Updates about one gateway in any order, with loss and repeats, while it restarts or refutes.
   */
  @Test
  void updatesAboutOneGatewayConvergeInAnyOrder() {
    Set<String> states = new HashSet<>();
    explore(new int[0], 9, states);
    assertTrue(states.size() > 1500, states.size() + " states");
  }

  private static void explore(int[] path, int remaining, Set<String> states) {
    Optional<Exchange> exchange = play(path);
    if (exchange.isEmpty() || !states.add(exchange.get() + "@" + remaining) || remaining == 0) {
      return;
    }
    for (int choice = 0; choice < CHOICES; choice++) {
      int[] longer = Arrays.copyOf(path, path.length + 1);
      longer[path.length] = choice;
      explore(longer, remaining - 1, states);
    }
  }

  /** Empty where one of the choices is not possible. */
  private static Optional<Exchange> play(int[] path) {
    Exchange exchange = new Exchange();
    for (int choice : path) {
      if (!exchange.step(choice)) {
        return Optional.empty();
      }
      exchange.assertRunningOneIsNotHeldForDead();
    }
    exchange.assertConverges();
    return Optional.of(exchange);
  }
}
