package weldcross.chaos.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Draws faults at random from the kinds of a scenario; a seed always draws the same. Pure. */
public final class Nemesis {

  /** Load comes up before the first fault, and all is healed for so long before the end. */
  private static final Duration QUIET_START = Duration.ofSeconds(3);

  private static final Duration QUIET_END = Duration.ofSeconds(6);

  private static final int MIN_FAULT_MILLIS = 200;
  private static final int MAX_FAULT_MILLIS = 4000;

  private final SplittableRandom random;
  private final Scenario scenario;

  /**
   * Creates a source of faults.
   *
   * @param scenario with the kinds to draw from
   * @param seed of all that is drawn
   */
  public Nemesis(Scenario scenario, long seed) {
    this.scenario = scenario;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Returns the faults written in the scenario and those drawn; call it once.
   *
   * @return in the order of their times
   */
  public List<Fault> faults() {
    List<Fault> all = new ArrayList<>(scenario.faults());
    long span = scenario.lasting().minus(QUIET_START).minus(QUIET_END).toMillis();
    for (int k = 0; k < scenario.draws() && span > 0; k++) {
      Fault fault =
          draw(
              scenario.drawn().get(random.nextInt(scenario.drawn().size())),
              QUIET_START.plusMillis(random.nextLong(span)),
              Duration.ofMillis(random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS)));
      if (all.stream().noneMatch(other -> collide(fault, other))) {
        all.add(fault);
      }
    }
    all.sort(Comparator.comparing(Fault::at));
    return all;
  }

  /** One process has one fault at a time: a paused one, for example, cannot be told to stop. */
  private static boolean collide(Fault fault, Fault other) {
    return fault.kind().isOnGateway()
        && other.kind().isOnGateway()
        && fault.on().equals(other.on())
        && other.at().compareTo(fault.until().plus(QUIET_END)) < 0
        && fault.at().compareTo(other.until().plus(QUIET_END)) < 0;
  }

  private Fault draw(Fault.Kind kind, Duration at, Duration lasting) {
    String gateway = "n" + random.nextInt(scenario.gateways());
    String server = "s" + random.nextInt(scenario.groups() * scenario.serversPerGroup());
    return switch (kind) {
      case KILL ->
          new Fault(
              at,
              lasting,
              kind,
              gateway,
              "",
              List.of("old", "empty", "earlier").get(random.nextInt(3)));
      case TERM, PAUSE -> new Fault(at, lasting, kind, gateway, "", "");
      case CLOCK ->
          new Fault(at, lasting, kind, gateway, "", random.nextBoolean() ? "5000" : "-5000");
      case DISK ->
          new Fault(
              at,
              lasting,
              kind,
              gateway,
              "",
              List.of("lie", "fail", "full", "slow=500", "stuck").get(random.nextInt(5)));
      case SPLIT -> new Fault(at, lasting, kind, "", "", sides());
      case LAG ->
          new Fault(at, lasting, kind, server, "", Integer.toString(random.nextInt(500, 3000)));
      case SERVER_KILL, SERVER_STALL, ANSWERS_LOST -> new Fault(at, lasting, kind, server, "", "");
      default -> between(kind, at, lasting, gateway, server);
    };
  }

  private Fault between(
      Fault.Kind kind, Duration at, Duration lasting, String gateway, String server) {
    String to =
        switch (random.nextInt(4)) {
          case 0 -> "clients";
          case 1 -> other(gateway);
          default -> server;
        };
    String how =
        kind == Fault.Kind.DELAY
            ? Integer.toString(random.nextInt(20, 300))
            : kind == Fault.Kind.LOSS ? "0.3" : "";
    boolean swapped = to.equals("clients") || (kind != Fault.Kind.REFUSE && random.nextBoolean());
    return new Fault(at, lasting, kind, swapped ? to : gateway, swapped ? gateway : to, how);
  }

  private String other(String gateway) {
    String other = "n" + random.nextInt(scenario.gateways());
    return other.equals(gateway) ? "discovery" : other;
  }

  private String sides() {
    List<String> one = new ArrayList<>();
    List<String> two = new ArrayList<>();
    for (int k = 0; k < scenario.gateways(); k++) {
      (random.nextBoolean() ? one : two).add("n" + k);
    }
    return String.join(",", one) + "|" + String.join(",", two);
  }
}
