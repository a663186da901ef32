package weldcross.chaos.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Random plan of a soak test; the same seed and duration give the same steps. Series of signals to
 * gateways run one after another; faults of servers and discovery and bursts of idle connections
 * occur independently of them.
 *
 * @param seed seed of all random choices
 * @param duration how long clients send requests
 * @param gateways number of gateways
 * @param steps the steps in order of time
 */
public record SoakPlan(long seed, Duration duration, int gateways, List<SoakStep> steps) {

  /** Number of servers; all are in one replica group. */
  public static final int SERVERS = 3;

  /**
   * Longest pause of a process during which requests must still be answered; the gateway's
   * deadlines and time windows allow for it.
   */
  public static final Duration MAX_TOLERATED_PAUSE = Duration.ofMillis(150);

  private static final int MIN_GATEWAYS = 2;
  private static final int MAX_GATEWAYS = 3;

  /** Plans whose seed is a multiple of this number contain bursts of idle connections. */
  private static final int CONNECTION_BURST_SEED_INTERVAL = 3;

  private static final long QUIET_START_MILLIS = 1_500;

  /**
   * No step begins in this period before the end: a stop with its restarts takes up to this long.
   */
  private static final long QUIET_END_MILLIS = 8_000;

  private static final List<SoakStep.Kind> SIGNALS =
      Stream.of(SoakStep.Kind.values()).filter(SoakStep.Kind::isOnGateway).toList();

  private static final List<SoakStep.Kind> FAULTS =
      List.of(
          SoakStep.Kind.SERVER_HANGS,
          SoakStep.Kind.SERVER_RESTARTS,
          SoakStep.Kind.SERVER_DRAINS,
          SoakStep.Kind.SERVER_LAGS,
          SoakStep.Kind.DISCOVERY_DOWN,
          SoakStep.Kind.DISCOVERY_LATE);

  /**
   * Generates a plan.
   *
   * @param seed seed of all random choices
   * @param duration how long clients send requests, above zero
   * @return the plan
   */
  public static SoakPlan generate(long seed, Duration duration) {
    SplittableRandom random = new SplittableRandom(seed);
    int gateways = random.nextInt(MIN_GATEWAYS, MAX_GATEWAYS + 1);
    long end = duration.toMillis() - QUIET_END_MILLIS;
    List<SoakStep> steps = new ArrayList<>();
    for (long at = QUIET_START_MILLIS; at < end; at += random.nextLong(4_500, 8_000)) {
      steps.add(drawSignals(random, Duration.ofMillis(at), gateways));
    }
    for (long at = random.nextLong(3_000); at < end; at += random.nextLong(1_000, 7_000)) {
      steps.add(drawFault(random, Duration.ofMillis(at)));
    }
    if (seed % CONNECTION_BURST_SEED_INTERVAL == 0) {
      for (long at = 1_000; at < end; at += 9_000) {
        List<Duration> holdTimes = drawMillis(random, 3, 500, 3_000);
        steps.add(new SoakStep(Duration.ofMillis(at), SoakStep.Kind.CROWD, List.of(), holdTimes));
      }
    }
    steps.sort(Comparator.comparing(SoakStep::at));
    return new SoakPlan(seed, duration, gateways, List.copyOf(steps));
  }

  private static SoakStep drawSignals(SplittableRandom random, Duration at, int gateways) {
    SoakStep.Kind kind = SIGNALS.get(random.nextInt(SIGNALS.size()));
    List<Duration> times =
        switch (kind) {
          case RELOAD -> drawMillis(random, random.nextInt(2, 7), 0, 60);
          case PAUSE ->
              drawMillis(random, random.nextInt(2, 6), 20, random.nextBoolean() ? 150 : 1200);
          case STOP_WHILE_STARTING -> drawMillis(random, 1, 0, 700);
          default -> drawMillis(random, random.nextInt(1, 4), 0, 400);
        };
    return new SoakStep(at, kind, drawGateways(random, gateways), times);
  }

  /** Selects one gateway, or in one of four cases several gateways. */
  private static List<String> drawGateways(SplittableRandom random, int count) {
    int first = random.nextInt(count);
    int selected = random.nextInt(4) == 0 ? random.nextInt(2, count + 1) : 1;
    return IntStream.range(0, selected).mapToObj(index -> "n" + (first + index) % count).toList();
  }

  private static SoakStep drawFault(SplittableRandom random, Duration at) {
    SoakStep.Kind kind = FAULTS.get(random.nextInt(FAULTS.size()));
    List<Duration> times =
        switch (kind) {
          case SERVER_DRAINS -> drawMillis(random, 1, 9_000, 12_000);
          case DISCOVERY_LATE -> drawMillis(random, 2, 200, 1_500);
          case SERVER_LAGS ->
              List.of(
                  Duration.ofMillis(random.nextInt(2_000, 6_000)),
                  Duration.ofMillis(random.nextInt(300, 780)));
          default -> drawMillis(random, 1, 300, 4_000);
        };
    boolean onServer = kind.name().startsWith("SERVER");
    List<String> hosts = onServer ? List.of("s" + random.nextInt(SERVERS)) : List.of();
    return new SoakStep(at, kind, hosts, times);
  }

  private static List<Duration> drawMillis(SplittableRandom random, int count, int min, int max) {
    return IntStream.range(0, count)
        .mapToObj(index -> Duration.ofMillis(random.nextInt(min, max)))
        .toList();
  }

  /**
   * Returns whether the plan contains bursts of idle connections.
   *
   * @return true if any step opens idle connections
   */
  public boolean hasConnectionBursts() {
    return steps.stream().anyMatch(step -> step.kind() == SoakStep.Kind.CROWD);
  }

  /**
   * Formats the plan as text.
   *
   * @return a line about the plan and one for each step
   */
  public String describe() {
    String header =
        "seed " + seed + ", " + duration.toSeconds() + " s, " + gateways + " gateways\n";
    return header + steps.stream().map(SoakStep::describe).collect(Collectors.joining("\n")) + "\n";
  }
}
