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
 * What a soak does, drawn by its seed: the same seed and duration give the same steps. Signals go
 * to gateways one series after another, while servers, discovery and a crowd make trouble of their
 * own at any time.
 *
 * @param seed that it was drawn by
 * @param lasting how long clients send
 * @param gateways number of gateways
 * @param steps in the order of their times
 */
public record SoakPlan(long seed, Duration lasting, int gateways, List<SoakStep> steps) {

  /** Servers of the one replica group. */
  public static final int SERVERS = 3;

  /**
   * The longest that a process stands still without an excuse: deadlines and windows of the gateway
   * allow for it.
   */
  public static final Duration MAX_UNEXCUSED_PAUSE = Duration.ofMillis(150);

  private static final int MIN_GATEWAYS = 2;
  private static final int MAX_GATEWAYS = 3;

  /** One seed in so many has a crowd. */
  private static final int CROWD_EVERY = 3;

  private static final long QUIET_START_MILLIS = 1_500;

  /** A stop takes up to this long with its restarts, and nothing new begins so near the end. */
  private static final long QUIET_END_MILLIS = 8_000;

  private static final List<SoakStep.Kind> SIGNALS =
      Stream.of(SoakStep.Kind.values()).filter(SoakStep.Kind::isOnGateway).toList();

  private static final List<SoakStep.Kind> TROUBLES =
      List.of(
          SoakStep.Kind.SERVER_HANGS,
          SoakStep.Kind.SERVER_RESTARTS,
          SoakStep.Kind.SERVER_DRAINS,
          SoakStep.Kind.SERVER_LAGS,
          SoakStep.Kind.DISCOVERY_DOWN,
          SoakStep.Kind.DISCOVERY_LATE);

  /**
   * Draws a plan.
   *
   * @param seed of all that is drawn
   * @param lasting how long clients send, above zero
   * @return the plan
   */
  public static SoakPlan draw(long seed, Duration lasting) {
    SplittableRandom random = new SplittableRandom(seed);
    int gateways = random.nextInt(MIN_GATEWAYS, MAX_GATEWAYS + 1);
    long end = lasting.toMillis() - QUIET_END_MILLIS;
    List<SoakStep> steps = new ArrayList<>();
    for (long at = QUIET_START_MILLIS; at < end; at += random.nextLong(4_500, 8_000)) {
      steps.add(signals(random, Duration.ofMillis(at), gateways));
    }
    for (long at = random.nextLong(3_000); at < end; at += random.nextLong(1_000, 7_000)) {
      steps.add(trouble(random, Duration.ofMillis(at)));
    }
    if (seed % CROWD_EVERY == 0) {
      for (long at = 1_000; at < end; at += 9_000) {
        List<Duration> visits = millis(random, 3, 500, 3_000);
        steps.add(new SoakStep(Duration.ofMillis(at), SoakStep.Kind.CROWD, List.of(), visits));
      }
    }
    steps.sort(Comparator.comparing(SoakStep::at));
    return new SoakPlan(seed, lasting, gateways, List.copyOf(steps));
  }

  private static SoakStep signals(SplittableRandom random, Duration at, int gateways) {
    SoakStep.Kind kind = SIGNALS.get(random.nextInt(SIGNALS.size()));
    List<Duration> times =
        switch (kind) {
          case RELOAD -> millis(random, random.nextInt(2, 7), 0, 60);
          case PAUSE -> millis(random, random.nextInt(2, 6), 20, random.nextBoolean() ? 150 : 1200);
          case STOP_WHILE_STARTING -> millis(random, 1, 0, 700);
          default -> millis(random, random.nextInt(1, 4), 0, 400);
        };
    return new SoakStep(at, kind, gateways(random, gateways), times);
  }

  /** One gateway, or one time in four several at once. */
  private static List<String> gateways(SplittableRandom random, int count) {
    int first = random.nextInt(count);
    int several = random.nextInt(4) == 0 ? random.nextInt(2, count + 1) : 1;
    return IntStream.range(0, several).mapToObj(k -> "n" + (first + k) % count).toList();
  }

  private static SoakStep trouble(SplittableRandom random, Duration at) {
    SoakStep.Kind kind = TROUBLES.get(random.nextInt(TROUBLES.size()));
    List<Duration> times =
        switch (kind) {
          case SERVER_DRAINS -> millis(random, 1, 9_000, 12_000);
          case DISCOVERY_LATE -> millis(random, 2, 200, 1_500);
          case SERVER_LAGS ->
              List.of(
                  Duration.ofMillis(random.nextInt(2_000, 6_000)),
                  Duration.ofMillis(random.nextInt(300, 780)));
          default -> millis(random, 1, 300, 4_000);
        };
    boolean onServer = kind.name().startsWith("SERVER");
    List<String> hosts = onServer ? List.of("s" + random.nextInt(SERVERS)) : List.of();
    return new SoakStep(at, kind, hosts, times);
  }

  private static List<Duration> millis(SplittableRandom random, int count, int min, int max) {
    return IntStream.range(0, count)
        .mapToObj(k -> Duration.ofMillis(random.nextInt(min, max)))
        .toList();
  }

  /**
   * Returns whether many clients crowd the gateways.
   *
   * @return true if any step is a crowd
   */
  public boolean hasCrowd() {
    return steps.stream().anyMatch(step -> step.kind() == SoakStep.Kind.CROWD);
  }

  /**
   * Describes it for a reader.
   *
   * @return a line for the plan and one for each step
   */
  public String describe() {
    String head = "seed " + seed + ", " + lasting.toSeconds() + " s, " + gateways + " gateways\n";
    return head + steps.stream().map(SoakStep::describe).collect(Collectors.joining("\n")) + "\n";
  }
}
