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
 * Exhaustively explores the event orders of three gateways with failure detectors: messages are
 * delivered or lost in any order, any timer fires, one gateway ends and restarts, and another one
 * attempts a connection to it and handles the result at any later time. States reached before are
 * not explored again. Checks in each state that no gateway considers an incarnation dead that has
 * not ended.
 */
final class FailureDetectorExplorer {

  private static final int GATEWAYS = 3;

  /** The gateway that connects to the restarting one. */
  private static final int CONNECTING = 0;

  /** The gateway that ends and restarts. */
  private static final int RESTARTING = 1;

  private static final int MAX_INCARNATION = 2;

  /** If more messages are in flight, the oldest is dropped. */
  private static final int MAX_IN_FLIGHT = 2;

  /** A message with a description that identifies equal states. */
  private record Message(String description, int to, Consumer<FailureDetector> delivery) {}

  /** A possible next event. */
  private record Step(String description, Runnable action) {}

  /** A connection attempt: the incarnation known before it, and its result once available. */
  private record ConnectionAttempt(long knownIncarnation, Optional<Boolean> refused) {}

  /** One state, reached by a path of step indices into {@link #steps}. */
  private final class State {
    private final List<FailureDetector> detectors = new ArrayList<>();
    private final long[] incarnations = {1, 1, 1};
    private final List<Message> inFlight = new ArrayList<>();
    private boolean restartingGatewayRuns = true;
    private Optional<ConnectionAttempt> connectionAttempt = Optional.empty();
    private Duration now = Duration.ZERO;

    /** Creates the initial state: all gateways know each other, and one ping is in flight. */
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

    private FailureDetector newDetector(int gateway) {
      List<PeerName> others = new ArrayList<>();
      for (int other = 0; other < GATEWAYS; other++) {
        if (other != gateway) {
          others.add(name(other));
        }
      }
      FailureDetectorConfig config = FailureDetectorConfig.defaults(name(gateway), others, "", 1);
      FailureDetector detector =
          new FailureDetector(config, new RecordingActions(gateway), 7 + gateway);
      detector.start(now, incarnations[gateway]);
      return detector;
    }

    private void runTimer(int gateway) {
      now = now.plusSeconds(1);
      detectors.get(gateway).onTimer(now);
    }

    private boolean isRunning(int gateway) {
      return gateway != RESTARTING || restartingGatewayRuns;
    }

    /** Adds the messages of one gateway to those in flight. */
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
          PeerName relay, PeerName target, long sequence, List<MembershipUpdate> updates) {
        send(
            "ping-request" + target,
            relay,
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
        // States are checked after each step.
      }

      @Override
      public void declaredDead(long dead) {
        if (dead >= incarnations[self]) {
          violation =
              Optional.of(
                  name(self)
                      + " runs as incarnation "
                      + incarnations[self]
                      + " but is declared dead: "
                      + dead);
        }
      }

      @Override
      public void wakeAt(Duration when) {
        // Any timer may fire at any time.
      }
    }

    /** Returns all possible steps, in an order that depends only on the state. */
    List<Step> steps() {
      List<Step> steps = new ArrayList<>();
      for (Message message : List.copyOf(inFlight)) {
        steps.add(new Step("deliver " + message.description(), () -> deliver(message)));
        steps.add(new Step("lose " + message.description(), () -> inFlight.remove(message)));
      }
      for (int k = 0; k < GATEWAYS; k++) {
        int gateway = k;
        if (isRunning(k)) {
          steps.add(new Step("fire timer of " + name(k), () -> runTimer(gateway)));
        }
      }
      if (restartingGatewayRuns) {
        steps.add(new Step("end", () -> restartingGatewayRuns = false));
      } else if (incarnations[RESTARTING] < MAX_INCARNATION) {
        steps.add(new Step("restart", this::restart));
      }
      steps.add(connectStep());
      return steps;
    }

    private void deliver(Message message) {
      inFlight.remove(message);
      if (isRunning(message.to())) {
        message.delivery().accept(detectors.get(message.to()));
      }
    }

    private void restart() {
      incarnations[RESTARTING]++;
      restartingGatewayRuns = true;
      detectors.set(RESTARTING, newDetector(RESTARTING));
    }

    private Step connectStep() {
      if (connectionAttempt.isEmpty()) {
        return new Step(
            "start connecting",
            () ->
                connectionAttempt =
                    Optional.of(new ConnectionAttempt(knownIncarnation(), Optional.empty())));
      }
      long known = connectionAttempt.get().knownIncarnation();
      if (connectionAttempt.get().refused().isEmpty()) {
        boolean refused = !restartingGatewayRuns;
        return new Step(
            refused ? "refuse connection" : "accept connection",
            () ->
                connectionAttempt =
                    Optional.of(new ConnectionAttempt(known, Optional.of(refused))));
      }
      return new Step("handle connection result", this::handleConnectionResult);
    }

    private void handleConnectionResult() {
      ConnectionAttempt completed = connectionAttempt.orElseThrow();
      connectionAttempt = Optional.empty();
      if (completed.refused().orElseThrow()) {
        long proven = injectBug ? knownIncarnation() : completed.knownIncarnation();
        detectors.get(CONNECTING).onConnectionRefused(now, name(RESTARTING), proven);
      }
    }

    private long knownIncarnation() {
      return detectors.get(CONNECTING).find(name(RESTARTING)).orElseThrow().incarnation();
    }

    void check() {
      for (int k = 0; k < GATEWAYS; k++) {
        for (MembershipUpdate update : detectors.get(k).members()) {
          int member = numberOf(update.member());
          boolean ended = update.incarnation() < incarnations[member] || !isRunning(member);
          if (isRunning(k) && update.state() == MemberState.DEAD && !ended) {
            violation = Optional.of(name(k) + " observes " + update);
          }
        }
      }
    }

    /** Returns a description that is equal for equal states. */
    String describe() {
      StringBuilder state = new StringBuilder();
      for (int k = 0; k < GATEWAYS; k++) {
        FailureDetector detector = detectors.get(k);
        state
            .append(isRunning(k))
            .append(incarnations[k])
            .append(detector.self())
            .append(detector.members())
            .append(detector.describe());
      }
      inFlight.forEach(message -> state.append(message.description()));
      return state.append(now).append(connectionAttempt).toString();
    }
  }

  private final boolean injectBug;

  /** The explored states, with the depth explored from each. */
  private final Map<UUID, Integer> exploredDepths = new HashMap<>();

  private Optional<String> violation = Optional.empty();

  /**
   * Creates an explorer.
   *
   * @param injectBug whether to attribute a refused connection to the incarnation known when the
   *     result is handled, a bug that the exploration must find
   */
  FailureDetectorExplorer(boolean injectBug) {
    this.injectBug = injectBug;
  }

  private static PeerName name(int number) {
    return new PeerName("n" + number);
  }

  private static int numberOf(PeerName name) {
    return Integer.parseInt(name.name().substring(1));
  }

  /**
   * Returns a violation and the steps to it, or empty if none is reachable in {@code depth} steps.
   */
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
    if (depth == 0 || exploredDepths.getOrDefault(key, 0) >= depth) {
      return Optional.empty();
    }
    exploredDepths.put(key, depth);
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

  int stateCount() {
    return exploredDepths.size();
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
