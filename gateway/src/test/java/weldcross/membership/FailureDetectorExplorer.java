package weldcross.membership;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import weldcross.mesh.PeerName;

/**
 * Explores three gateways with failure detectors through all orders of what can happen: each
 * message arrives or is lost, in any order; the timer of any of them runs; one of them ends and
 * starts again; another connects to it, is refused or not, and learns of that at any time after.
 * States that were reached before are not explored again. Checks in each state that nobody holds an
 * incarnation for dead that has not ended.
 */
final class FailureDetectorExplorer {

  private static final int GATEWAYS = 3;

  /** The gateway that connects to the one that ends. */
  private static final int CONNECTING = 0;

  /** The gateway that ends and starts again. */
  private static final int RESTARTING = 1;

  private static final int MAX_INCARNATION = 2;

  /** Of more messages in flight the oldest is lost. */
  private static final int MAX_IN_FLIGHT = 2;

  /** A message, and a description by which equal states are recognized. */
  private record Message(String description, int to, Consumer<FailureDetector> delivery) {}

  /** Something that can happen next. */
  private record Step(String description, Runnable action) {}

  /** A connect under way: the incarnation known before it, and its result once there is one. */
  private record Connect(long knownIncarnation, Optional<Boolean> refused) {}

  /** One state, reached by a path: the number of the step taken, of those possible, each time. */
  private final class State {
    private final List<FailureDetector> detectors = new ArrayList<>();
    private final long[] incarnations = {1, 1, 1};
    private final List<Message> inFlight = new ArrayList<>();
    private boolean restartingRuns = true;
    private Optional<Connect> connect = Optional.empty();
    private Duration now = Duration.ZERO;

    /** All gateways know each other, and one ping is under way. */
    State() {
      for (int k = 0; k < GATEWAYS; k++) {
        detectors.add(newDetector(k));
      }
      for (int from = 0; from < GATEWAYS; from++) {
        for (int to = 0; to < GATEWAYS; to++) {
          if (from != to) {
            MembershipUpdate self = detectors.get(from).self().orElseThrow();
            detectors.get(to).onPing(now, name(from), 0, List.of(self));
          }
        }
      }
      inFlight.clear();
      runTimer(CONNECTING);
    }

    private FailureDetector newDetector(int k) {
      List<PeerName> others = new ArrayList<>();
      for (int other = 0; other < GATEWAYS; other++) {
        if (other != k) {
          others.add(name(other));
        }
      }
      FailureDetectorConfig config = FailureDetectorConfig.defaults(name(k), others, "", 1);
      FailureDetector detector = new FailureDetector(config, new RecordingActions(k), 7 + k);
      detector.start(now, incarnations[k]);
      return detector;
    }

    private void runTimer(int k) {
      now = now.plusSeconds(1);
      detectors.get(k).onTimer(now);
    }

    private boolean runs(int k) {
      return k != RESTARTING || restartingRuns;
    }

    /** Puts what one gateway sends in flight. */
    private final class RecordingActions implements FailureDetectorActions {
      private final int self;

      RecordingActions(int self) {
        this.self = self;
      }

      private void send(
          String kind,
          PeerName to,
          long sequence,
          List<MembershipUpdate> updates,
          Consumer<FailureDetector> delivery) {
        String description = self + ">" + to + " " + kind + sequence + updates;
        inFlight.add(new Message(description, numberOf(to), delivery));
        if (inFlight.size() > MAX_IN_FLIGHT) {
          inFlight.remove(0);
        }
      }

      @Override
      public void sendPing(PeerName to, long sequence, List<MembershipUpdate> updates) {
        send(
            "ping",
            to,
            sequence,
            updates,
            receiver -> receiver.onPing(now, name(self), sequence, updates));
      }

      @Override
      public void sendPingRequest(
          PeerName helper, PeerName target, long sequence, List<MembershipUpdate> updates) {
        send(
            "ping-request" + target,
            helper,
            sequence,
            updates,
            receiver -> receiver.onPingRequest(now, name(self), target, sequence, updates));
      }

      @Override
      public void sendAck(PeerName to, long sequence, List<MembershipUpdate> updates) {
        send(
            "ack",
            to,
            sequence,
            updates,
            receiver -> receiver.onAck(now, name(self), sequence, updates));
      }

      @Override
      public void sendNack(PeerName to, long sequence) {
        send(
            "nack",
            to,
            sequence,
            List.of(),
            receiver -> receiver.onNack(now, name(self), sequence));
      }

      @Override
      public void memberChanged(MembershipUpdate update) {
        // Checked after each step.
      }

      @Override
      public void declaredDead(long dead) {
        if (dead >= incarnations[self]) {
          violation =
              Optional.of(
                  name(self) + " runs as " + incarnations[self] + " and is held for dead: " + dead);
        }
      }

      @Override
      public void wakeAt(Duration when) {
        // Any timer may run at any time.
      }
    }

    /** All steps that are possible now, in an order that depends on the state alone. */
    List<Step> steps() {
      List<Step> steps = new ArrayList<>();
      for (Message message : List.copyOf(inFlight)) {
        steps.add(new Step("arrives " + message.description(), () -> deliver(message)));
        steps.add(new Step("is lost " + message.description(), () -> inFlight.remove(message)));
      }
      for (int k = 0; k < GATEWAYS; k++) {
        int gateway = k;
        if (runs(k)) {
          steps.add(new Step("timer of " + name(k), () -> runTimer(gateway)));
        }
      }
      if (restartingRuns) {
        steps.add(new Step("ends", () -> restartingRuns = false));
      } else if (incarnations[RESTARTING] < MAX_INCARNATION) {
        steps.add(new Step("starts again", this::startAgain));
      }
      steps.add(connectStep());
      return steps;
    }

    private void deliver(Message message) {
      inFlight.remove(message);
      if (runs(message.to())) {
        message.delivery().accept(detectors.get(message.to()));
      }
    }

    private void startAgain() {
      incarnations[RESTARTING]++;
      restartingRuns = true;
      detectors.set(RESTARTING, newDetector(RESTARTING));
    }

    private Step connectStep() {
      if (connect.isEmpty()) {
        return new Step(
            "begins to connect",
            () -> connect = Optional.of(new Connect(knownIncarnation(), Optional.empty())));
      }
      long known = connect.get().knownIncarnation();
      if (connect.get().refused().isEmpty()) {
        boolean refused = !restartingRuns;
        return new Step(
            refused ? "is refused" : "is accepted",
            () -> connect = Optional.of(new Connect(known, Optional.of(refused))));
      }
      return new Step("learns of it", this::learnResult);
    }

    private void learnResult() {
      Connect done = connect.orElseThrow();
      connect = Optional.empty();
      if (done.refused().orElseThrow()) {
        long proven = plantedFault ? knownIncarnation() : done.knownIncarnation();
        detectors.get(CONNECTING).onConnectionRefused(now, name(RESTARTING), proven);
      }
    }

    private long knownIncarnation() {
      return detectors.get(CONNECTING).find(name(RESTARTING)).orElseThrow().incarnation();
    }

    void check() {
      for (int k = 0; k < GATEWAYS; k++) {
        for (MembershipUpdate held : detectors.get(k).members()) {
          int member = numberOf(held.member());
          boolean ended = held.incarnation() < incarnations[member] || !runs(member);
          if (runs(k) && held.state() == MemberState.DEAD && !ended) {
            violation = Optional.of(name(k) + " holds " + held);
          }
        }
      }
    }

    /** Equal for equal states. */
    String describe() {
      StringBuilder state = new StringBuilder();
      for (int k = 0; k < GATEWAYS; k++) {
        FailureDetector detector = detectors.get(k);
        state
            .append(runs(k))
            .append(incarnations[k])
            .append(detector.self())
            .append(detector.members())
            .append(detector.describe());
      }
      inFlight.forEach(message -> state.append(message.description()));
      return state.append(now).append(connect).toString();
    }
  }

  private final boolean plantedFault;

  /** Each state, with the number of steps that were explored from it. */
  private final Map<UUID, Integer> explored = new HashMap<>();

  private Optional<String> violation = Optional.empty();

  /**
   * Creates an explorer.
   *
   * @param plantedFault whether a refusal counts for the incarnation known when it is learnt of,
   *     which the exploration has to find
   */
  FailureDetectorExplorer(boolean plantedFault) {
    this.plantedFault = plantedFault;
  }

  private static PeerName name(int number) {
    return new PeerName("n" + number);
  }

  private static int numberOf(PeerName name) {
    return Integer.parseInt(name.name().substring(1));
  }

  /** What is wrong and the steps to it; empty where nothing is, within that many steps. */
  Optional<String> explore(int depth) {
    return explore(new ArrayList<>(), depth);
  }

  private Optional<String> explore(List<Integer> path, int depth) {
    State state = reach(path);
    state.check();
    if (violation.isPresent()) {
      return Optional.of(violation.get() + " after " + describe(path));
    }
    UUID key = UUID.nameUUIDFromBytes(state.describe().getBytes(StandardCharsets.UTF_8));
    if (depth == 0 || explored.getOrDefault(key, 0) >= depth) {
      return Optional.empty();
    }
    explored.put(key, depth);
    int count = state.steps().size();
    for (int k = 0; k < count; k++) {
      path.add(k);
      Optional<String> found = explore(path, depth - 1);
      path.remove(path.size() - 1);
      if (found.isPresent()) {
        return found;
      }
    }
    return Optional.empty();
  }

  int states() {
    return explored.size();
  }

  private State reach(List<Integer> path) {
    State state = new State();
    for (int step : path) {
      state.steps().get(step).action().run();
    }
    return state;
  }

  private List<String> describe(List<Integer> path) {
    State state = new State();
    List<String> descriptions = new ArrayList<>();
    for (int number : path) {
      Step step = state.steps().get(number);
      descriptions.add(step.description());
      step.action().run();
    }
    return descriptions;
  }
}
