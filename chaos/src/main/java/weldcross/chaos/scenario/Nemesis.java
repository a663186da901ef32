package weldcross.chaos.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Generates random faults of the kinds in a scenario; deterministic for a given seed. */
public final class Nemesis {

  /** No fault begins before this time, so that the load reaches its full rate first. */
  private static final Duration QUIET_START = Duration.ofSeconds(3);

  /**
   * No fault begins in this period before the end, so that gateways recover within the run; also
   * the minimum time between two faults of one process.
   */
  private static final Duration QUIET_END = Duration.ofSeconds(6);

  private static final int MIN_FAULT_MILLIS = 200;
  private static final int MAX_FAULT_MILLIS = 4000;

  private final SplittableRandom random;
  private final Scenario scenario;

  /**
   * Creates a generator.
   *
   * @param scenario the scenario with the kinds of faults to generate
   * @param seed seed of all random choices
   */
  public Nemesis(Scenario scenario, long seed) {
    this.scenario = scenario;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Returns the scenario's own faults and the generated ones. Each call advances the random state,
   * so call it only once.
   *
   * @return the faults in order of injection
   */
  public List<Fault> faults() {
    List<Fault> all = new ArrayList<>(scenario.faults());
    List<Fault.Kind> kinds = scenario.randomFaultKinds();
    long spanMillis = scenario.duration().minus(QUIET_START).minus(QUIET_END).toMillis();
    for (int drawn = 0; drawn < scenario.randomFaultCount() && spanMillis > 0; drawn++) {
      Fault fault =
          draw(
              kinds.get(random.nextInt(kinds.size())),
              QUIET_START.plusMillis(random.nextLong(spanMillis)),
              Duration.ofMillis(random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS)));
      if (all.stream().noneMatch(other -> overlap(fault, other))) {
        all.add(fault);
      }
    }
    all.sort(Comparator.comparing(Fault::at));
    return all;
  }

  /** A process has one fault at a time: a paused one, for example, does not handle SIGTERM. */
  private static boolean overlap(Fault fault, Fault other) {
    return fault.kind().isOnGateway()
        && other.kind().isOnGateway()
        && fault.host().equals(other.host())
        && other.at().compareTo(fault.healedAt().plus(QUIET_END)) < 0
        && fault.at().compareTo(other.healedAt().plus(QUIET_END)) < 0;
  }

  private Fault draw(Fault.Kind kind, Duration at, Duration duration) {
    String gateway = "n" + random.nextInt(scenario.gateways());
    String server = "s" + random.nextInt(scenario.groups() * scenario.serversPerGroup());
    return switch (kind) {
      case KILL ->
          new Fault(
              at,
              duration,
              kind,
              gateway,
              "",
              List.of("old", "empty", "earlier").get(random.nextInt(3)));
      case TERM, PAUSE -> new Fault(at, duration, kind, gateway, "", "");
      case CLOCK ->
          new Fault(at, duration, kind, gateway, "", random.nextBoolean() ? "5000" : "-5000");
      case DISK ->
          new Fault(
              at,
              duration,
              kind,
              gateway,
              "",
              List.of("lie", "fail", "full", "slow=500", "stuck").get(random.nextInt(5)));
      case SPLIT -> new Fault(at, duration, kind, "", "", drawPartition());
      case LAG ->
          new Fault(at, duration, kind, server, "", Integer.toString(random.nextInt(500, 3000)));
      case SERVER_KILL, SERVER_STALL, ANSWERS_LOST -> new Fault(at, duration, kind, server, "", "");
      default -> drawNetworkFault(kind, at, duration, gateway, server);
    };
  }

  private Fault drawNetworkFault(
      Fault.Kind kind, Duration at, Duration duration, String gateway, String server) {
    String peer =
        switch (random.nextInt(4)) {
          case 0 -> "clients";
          case 1 -> drawOtherHost(gateway);
          default -> server;
        };
    String details =
        kind == Fault.Kind.DELAY
            ? Integer.toString(random.nextInt(20, 300))
            : kind == Fault.Kind.LOSS ? "0.3" : "";
    boolean swapped = peer.equals("clients") || (kind != Fault.Kind.REFUSE && random.nextBoolean());
    return new Fault(
        at, duration, kind, swapped ? peer : gateway, swapped ? gateway : peer, details);
  }

  private String drawOtherHost(String gateway) {
    String other = "n" + random.nextInt(scenario.gateways());
    return other.equals(gateway) ? "discovery" : other;
  }

  private String drawPartition() {
    List<String> firstSide = new ArrayList<>();
    List<String> secondSide = new ArrayList<>();
    for (int number = 0; number < scenario.gateways(); number++) {
      (random.nextBoolean() ? firstSide : secondSide).add("n" + number);
    }
    return String.join(",", firstSide) + "|" + String.join(",", secondSide);
  }
}
