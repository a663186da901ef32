package weldcross.membership;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Consumer;
import weldcross.mesh.PeerName;

/**
 * Three gateways that see each other, through all orders of what can happen: each message arrives
 * or is lost, in any order; any of them looks at what is due; one of them ends and begins again;
 * another dials it, is refused or not, and learns of that at any time after. States that were met
 * before are not gone on from. Looks in each state whether anybody holds a life gone that has not
 * ended.
 */
final class FailureDetectorExplorer {

  /** What a message is and what it does, so that equal states are known for equal. */
  private record Message(String words, int to, Consumer<FailureDetector> says) {}

  private static final int GATEWAYS = 3, DIALLER = 0, ENDS = 1;

  /** Messages under way beyond these are lost, the oldest first. */
  private static final int UNDER_WAY = 2;

  /**
   * One state, reached by the steps of a path, each the number of one of the steps possible before
   * it.
   */
  private final class World {
    final List<FailureDetector> detectors = new ArrayList<>();
    final long[] life = {1, 1, 1};
    boolean lives = true;
    final List<Message> messages = new ArrayList<>();
    Duration now = Duration.ZERO;

    /**
     * Of a dial: the life known when it began, and whether it was refused; below zero where there
     * is none.
     */
    long dialled = -1;

    Boolean refused;
    final List<String> names = new ArrayList<>();

    World() {
      for (int k = 0; k < GATEWAYS; k++) {
        begin(k);
      }
      // All know each other.
      for (int from = 0; from < GATEWAYS; from++) {
        for (int to = 0; to < GATEWAYS; to++) {
          if (from != to) {
            detectors
                .get(to)
                .onPing(now, name(from), 0, List.of(detectors.get(from).self().orElseThrow()));
          }
        }
      }
      // And one probe is under way.
      messages.clear();
      now = now.plusSeconds(1);
      detectors.get(DIALLER).onTimer(now);
    }

    private PeerName name(int k) {
      return new PeerName("n" + k);
    }

    private void begin(int k) {
      List<PeerName> others = new ArrayList<>();
      for (int other = 0; other < GATEWAYS; other++) {
        if (other != k) {
          others.add(name(other));
        }
      }
      FailureDetector next =
          new FailureDetector(
              FailureDetectorConfig.defaults(name(k), others, "", 1),
              new RecordingActions(k),
              7 + k);
      if (k < detectors.size()) {
        detectors.set(k, next);
      } else {
        detectors.add(next);
      }
      next.start(now, life[k]);
    }

    private boolean lives(int k) {
      return k != ENDS || lives;
    }

    private final class RecordingActions implements FailureDetectorActions {
      private final int self;

      RecordingActions(int self) {
        this.self = self;
      }

      private void send(
          String kind,
          PeerName to,
          long number,
          List<MembershipUpdate> updates,
          Consumer<FailureDetector> says) {
        messages.add(
            new Message(
                self + ">" + to + " " + kind + number + updates,
                Integer.parseInt(to.name().substring(1)),
                says));
        if (messages.size() > UNDER_WAY) {
          messages.remove(0);
        }
      }

      @Override
      public void sendPing(PeerName to, long number, List<MembershipUpdate> updates) {
        send("probe", to, number, updates, s -> s.onPing(now, name(self), number, updates));
      }

      @Override
      public void sendPingRequest(
          PeerName helper, PeerName target, long number, List<MembershipUpdate> updates) {
        send(
            "help" + target,
            helper,
            number,
            updates,
            s -> s.onPingRequest(now, name(self), target, number, updates));
      }

      @Override
      public void sendAck(PeerName to, long number, List<MembershipUpdate> updates) {
        send("answer", to, number, updates, s -> s.onAck(now, name(self), number, updates));
      }

      @Override
      public void sendNack(PeerName to, long number) {
        send("none", to, number, List.of(), s -> s.onNack(now, name(self), number));
      }

      @Override
      public void memberChanged(MembershipUpdate updates) {
        // Looked at after the step.
      }

      @Override
      public void declaredDead(long of) {
        if (of >= life[self]) {
          broken = "n" + self + " lives as " + life[self] + " and hears that it is gone as " + of;
        }
      }

      @Override
      public void wakeAt(Duration when) {
        // Any of them may look at any time.
      }
    }

    /** All steps possible now, in an order that depends on the state alone. */
    private List<Runnable> steps() {
      names.clear();
      List<Runnable> steps = new ArrayList<>();
      for (Message each : List.copyOf(messages)) {
        step(
            steps,
            "arrives " + each.words(),
            () -> {
              messages.remove(each);
              if (lives(each.to())) {
                each.says().accept(detectors.get(each.to()));
              }
            });
        step(steps, "is lost " + each.words(), () -> messages.remove(each));
      }
      for (int k = 0; k < GATEWAYS; k++) {
        int one = k;
        if (lives(k)) {
          step(
              steps,
              "n" + k + " looks",
              () -> {
                now = now.plusSeconds(1);
                detectors.get(one).onTimer(now);
              });
        }
      }
      if (lives) {
        step(steps, "ends", () -> lives = false);
      } else if (life[ENDS] < 2) {
        step(
            steps,
            "begins again",
            () -> {
              life[ENDS]++;
              lives = true;
              begin(ENDS);
            });
      }
      MembershipUpdate known =
          detectors.get(DIALLER).members().stream()
              .filter(n -> n.member().equals(name(ENDS)))
              .findFirst()
              .orElse(null);
      if (dialled < 0) {
        step(steps, "dials", () -> dialled = known.incarnation());
      } else if (refused == null) {
        step(steps, lives ? "is taken" : "is refused", () -> refused = !lives);
      } else {
        step(
            steps,
            "learns of it",
            () -> {
              if (refused) {
                detectors
                    .get(DIALLER)
                    .onConnectionRefused(now, name(ENDS), careless ? known.incarnation() : dialled);
              }
              dialled = -1;
              refused = null;
            });
      }
      return steps;
    }

    private void step(List<Runnable> steps, String words, Runnable step) {
      names.add(words);
      steps.add(step);
    }

    private void look() {
      for (int k = 0; k < GATEWAYS; k++) {
        for (MembershipUpdate each : detectors.get(k).members()) {
          int of = Integer.parseInt(each.member().name().substring(1));
          boolean ended = each.incarnation() < life[of] || !lives(of);
          if (lives(k) && each.state() == MemberState.DEAD && !ended) {
            broken = "n" + k + " holds " + each;
          }
        }
      }
    }

    private String words() {
      Map<String, String> words = new TreeMap<>();
      for (int k = 0; k < GATEWAYS; k++) {
        words.put(
            "n" + k,
            lives(k)
                + " "
                + life[k]
                + detectors.get(k).self()
                + detectors.get(k).members()
                + detectors.get(k).describe());
      }
      return words + " " + messages.stream().map(Message::words).toList() + now + dialled + refused;
    }
  }

  private final boolean careless;

  /** Each state, with how many steps were gone on from it. */
  private final Map<UUID, Integer> met = new HashMap<>();

  private String broken;

  /**
   * @param careless plants a fault: a refusal counts for the life known when it is learnt of
   */
  FailureDetectorExplorer(boolean careless) {
    this.careless = careless;
  }

  /** What is wrong and the steps to it; null where nothing is, in as many steps. */
  String explore(int depth) {
    return from(new ArrayList<>(), depth);
  }

  int states() {
    return met.size();
  }

  private String from(List<Integer> path, int depth) {
    World world = reach(path);
    world.look();
    if (broken != null) {
      return broken + " after " + told(path);
    }
    UUID state = UUID.nameUUIDFromBytes(world.words().getBytes(StandardCharsets.UTF_8));
    if (depth == 0 || met.getOrDefault(state, 0) >= depth) {
      return null;
    }
    met.put(state, depth);
    int count = world.steps().size();
    for (int k = 0; k < count; k++) {
      path.add(k);
      String wrong = from(path, depth - 1);
      path.remove(path.size() - 1);
      if (wrong != null) {
        return wrong;
      }
    }
    return null;
  }

  private World reach(List<Integer> path) {
    World world = new World();
    path.forEach(k -> world.steps().get(k).run());
    return world;
  }

  private List<String> told(List<Integer> path) {
    World world = new World();
    List<String> all = new ArrayList<>();
    for (int k : path) {
      Runnable step = world.steps().get(k);
      all.add(world.names.get(k));
      step.run();
    }
    return all;
  }
}
