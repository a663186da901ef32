package weldcross.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
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

  private enum Step {
    A_RECEIVES_ALL,
    B_RECEIVES_ALL,
    A_RECEIVES_LATEST_ONLY,
    A_DECLARES_UNREACHABLE,
    C_REFUTES,
    C_ENDS,
    C_RESTARTS
  }

  /**
   * The state of c as observed by a and b, and all updates about c in flight. Updates are never
   * removed, because duplicates may be delivered.
   */
  private static final class UpdateExchange {
    Optional<MembershipUpdate> observedByA = Optional.empty();
    Optional<MembershipUpdate> observedByB = Optional.empty();
    final List<MembershipUpdate> sent = new ArrayList<>();
    long incarnation = 1;
    long version;
    boolean running = true;

    UpdateExchange() {
      sendAlive();
    }

    private void sendAlive() {
      sent.add(new MembershipUpdate(C, incarnation, version, MemberState.ALIVE, "", 1, C));
    }

    private static Optional<MembershipUpdate> receive(
        Optional<MembershipUpdate> observed, MembershipUpdate update) {
      return update.overrides(observed) ? Optional.of(update) : observed;
    }

    private Optional<MembershipUpdate> receiveAll(Optional<MembershipUpdate> observed) {
      Optional<MembershipUpdate> latest = observed;
      for (MembershipUpdate update : sent) {
        latest = receive(latest, update);
      }
      return latest;
    }

    /** Performs one step; returns false if it is not possible. */
    boolean perform(Step step) {
      return switch (step) {
        case A_RECEIVES_ALL -> {
          observedByA = receiveAll(observedByA);
          yield true;
        }
        case B_RECEIVES_ALL -> {
          observedByB = receiveAll(observedByB);
          yield true;
        }
        case A_RECEIVES_LATEST_ONLY -> {
          observedByA = receive(observedByA, sent.get(sent.size() - 1));
          yield true;
        }
        case A_DECLARES_UNREACHABLE -> declareUnreachable();
        case C_REFUTES -> refute();
        case C_ENDS -> end();
        case C_RESTARTS -> restart();
      };
    }

    /** a declares c unreachable. */
    private boolean declareUnreachable() {
      if (observedByA.isEmpty() || observedByA.get().state() != MemberState.ALIVE) {
        return false;
      }
      observedByA = Optional.of(observedByA.get().withState(MemberState.UNREACHABLE, A));
      sent.add(observedByA.get());
      return true;
    }

    /** c receives the update of a about it, and refutes it. */
    private boolean refute() {
      if (!running
          || observedByA.isEmpty()
          || observedByA.get().incarnation() != incarnation
          || observedByA.get().state() == MemberState.ALIVE) {
        return false;
      }
      version = Math.max(version, observedByA.get().version() + 1);
      sendAlive();
      return true;
    }

    /** c ends, and b detects that no process listens on its address. */
    private boolean end() {
      if (!running || observedByB.isEmpty()) {
        return false;
      }
      running = false;
      observedByB = Optional.of(observedByB.get().withState(MemberState.DEAD, B));
      sent.add(observedByB.get());
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

    void assertRunningIncarnationIsNotDead() {
      for (Optional<MembershipUpdate> observed : List.of(observedByA, observedByB)) {
        assertFalse(
            observed.isPresent()
                && observed.get().state() == MemberState.DEAD
                && running
                && observed.get().incarnation() == incarnation,
            "a running incarnation is declared dead: " + observed);
      }
    }

    /** After all updates are delivered, in whatever order, both observe the same state. */
    void assertConverges() {
      Optional<MembershipUpdate> a = receiveAll(observedByA);
      Optional<MembershipUpdate> b = receiveAll(observedByB);
      assertTrue(a.isPresent() && b.isPresent(), a + " and " + b);
      assertEquals(a.get().incarnation(), b.get().incarnation());
      assertEquals(a.get().version(), b.get().version());
      assertEquals(a.get().state(), b.get().state());
    }

    @Override
    public String toString() {
      return observedByA + " " + observedByB + " " + sent + incarnation + version + running;
    }
  }

  /** Each row: state, incarnation and version of an update, then those of the previous one. */
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
   * Guards against a precedence rule under which delayed, lost or duplicated updates leave two
   * gateways in different states, or declare a running one dead.
   */
  @Test
  void updatesAboutOneGatewayConvergeInAnyOrder() {
    Set<String> states = new HashSet<>();
    explore(List.of(), 9, states);
    assertTrue(states.size() > 1500, states.size() + " states");
  }

  private static void explore(List<Step> path, int remaining, Set<String> states) {
    Optional<UpdateExchange> exchange = replay(path);
    if (exchange.isEmpty() || !states.add(exchange.get() + "@" + remaining) || remaining == 0) {
      return;
    }
    for (Step step : Step.values()) {
      List<Step> longer = new ArrayList<>(path);
      longer.add(step);
      explore(longer, remaining - 1, states);
    }
  }

  /** Returns the exchange after the steps, or empty if one of them is not possible. */
  private static Optional<UpdateExchange> replay(List<Step> path) {
    UpdateExchange exchange = new UpdateExchange();
    for (Step step : path) {
      if (!exchange.perform(step)) {
        return Optional.empty();
      }
      exchange.assertRunningIncarnationIsNotDead();
    }
    exchange.assertConverges();
    return Optional.of(exchange);
  }
}
