package weldcross.chaos.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import weldcross.chaos.history.History;
import weldcross.chaos.history.HistoryChecker;
import weldcross.chaos.history.HistoryChecker.Rule;
import weldcross.chaos.history.HistoryChecker.Violation;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.ClientOperation.Outcome;
import weldcross.chaos.load.RequestType;
import weldcross.fakes.ReplicatedStoreModel;

/**
 * Outcome of the checks of a soak test: all rules of the history checker, and those on process
 * exits, draining servers and the age of data when a read is sent.
 *
 * @param history the recorded history, in which requests that raced with the close of their
 *     connection have the outcome {@code NOT_SENT}
 * @param closeRaces number of these requests
 * @param violations violations of the rules; empty if there are none
 */
public record SoakVerdict(History history, int closeRaces, List<Violation> violations) {

  /**
   * Longest time from sending a request to the close of its connection for which the two count as a
   * race. A request whose connection is closed later was read by the gateway and lost.
   */
  static final Duration MAX_CLOSE_RACE = Duration.ofMillis(50);

  /** Gateways learn of a drain within 6 s and may send requests to the server for 2 s more. */
  static final Duration DRAIN_NOTICE_PERIOD = Duration.ofSeconds(8);

  /** Allowance for the time from sending a statement to its record at the server. */
  static final Duration RECORD_SLACK = Duration.ofMillis(500);

  /**
   * Allowance for the time from the gateway's routing decision to the arrival at the server: a
   * pause of up to 0.15 s between reading the clock and writing to the socket, and the network.
   */
  static final Duration SEND_SLACK = Duration.ofMillis(200);

  /**
   * Checks a soak test.
   *
   * @param observations observations of the complete run
   * @return the outcome of all checks
   */
  public static SoakVerdict of(SoakObservations observations) {
    History recorded = observations.history();
    Set<String> forwarded = new HashSet<>();
    observations.arrivals().forEach(arrival -> forwarded.add(arrival.rpc()));
    List<ClientOperation> operations = new ArrayList<>();
    int closeRaces = 0;
    for (ClientOperation operation : recorded.operations()) {
      boolean raced =
          !forwarded.contains(operation.rpc()) && mayHaveRacedWithClose(observations, operation);
      closeRaces += raced ? 1 : 0;
      operations.add(raced ? operation.withOutcome(Outcome.NOT_SENT) : operation);
    }
    History history =
        new History(
            operations,
            recorded.unexpectedMessages(),
            recorded.commits(),
            recorded.reads(),
            recorded.faults());
    List<Violation> violations = new ArrayList<>(HistoryChecker.check(history));
    checkExits(observations, violations);
    checkDrains(observations, violations);
    checkStalenessAtArrival(observations, violations);
    return new SoakVerdict(history, closeRaces, List.copyOf(violations));
  }

  /** Whether a request may have been sent while its gateway closed the connection. */
  private static boolean mayHaveRacedWithClose(
      SoakObservations observations, ClientOperation operation) {
    return operation.outcome() == Outcome.CONNECTION_CLOSED
        && operation.detail().equals(ClientOperation.CLOSED_CLEANLY)
        && operation.durationNanos() <= MAX_CLOSE_RACE.toNanos()
        && observations.closeWindows().stream()
            .anyMatch(window -> window.covers(operation.gateway(), operation.ended()));
  }

  private static void checkExits(SoakObservations observations, List<Violation> violations) {
    for (ProcessExit exit : observations.exits()) {
      if (!exit.isExpected()) {
        String found =
            exit.gateway()
                + (exit.sigtermAt() == null ? " ended by itself" : " ended on SIGTERM")
                + " with status "
                + exit.status();
        violations.add(new Violation(Rule.PROCESS_RUNS, "", exit.endedAt().toNanos(), found));
      }
    }
  }

  private static void checkDrains(SoakObservations observations, List<Violation> violations) {
    for (SoakObservations.Drain drain : observations.drains()) {
      long from = drain.from().plus(DRAIN_NOTICE_PERIOD).plus(RECORD_SLACK).toNanos();
      long until = drain.until().toNanos();
      observations.arrivals().stream()
          .filter(arrival -> arrival.server().equals(drain.server()))
          .filter(arrival -> arrival.at() > from && arrival.at() < until)
          .forEach(arrival -> violations.add(drainViolation(drain, arrival.rpc(), arrival.at())));
    }
  }

  /**
   * Checks staleness bounds relative to the time at which the gateway sent the read, which may be
   * long after the client sent it; the arrival at the server stands for this time. Of the server
   * reads of a request that returned the answered value, the freshest one counts.
   */
  private static void checkStalenessAtArrival(
      SoakObservations observations, List<Violation> violations) {
    Map<String, Long> sequences = new HashMap<>();
    observations
        .history()
        .commits()
        .forEach(commit -> sequences.put(commit.value(), commit.sequence()));
    Map<String, List<ReplicatedStoreModel.Read>> reads =
        observations.history().reads().stream()
            .collect(Collectors.groupingBy(ReplicatedStoreModel.Read::rpc));
    Map<String, List<ReplicatedStoreModel.Arrival>> arrivals =
        observations.arrivals().stream()
            .collect(Collectors.groupingBy(ReplicatedStoreModel.Arrival::rpc));
    for (ClientOperation operation : observations.history().operations()) {
      if (operation.type() == RequestType.BOUNDED_READ && operation.outcome() == Outcome.OK) {
        long seen = sequences.getOrDefault(operation.value(), 0L);
        long age =
            reads.getOrDefault(operation.rpc(), List.of()).stream()
                .filter(read -> read.seen() == seen)
                .mapToLong(read -> ageAtArrival(read, arrivals.get(operation.rpc())))
                .min()
                .orElse(Long.MAX_VALUE);
        if (age > operation.type().stalenessBound().plus(SEND_SLACK).toNanos()) {
          violations.add(
              new Violation(
                  Rule.FRESH,
                  operation.rpc(),
                  operation.sent(),
                  "data "
                      + TimeUnit.NANOSECONDS.toMillis(age)
                      + " ms old when the read was forwarded"));
        }
      }
    }
  }

  private static long ageAtArrival(
      ReplicatedStoreModel.Read read, List<ReplicatedStoreModel.Arrival> arrivals) {
    return arrivals.stream()
            .filter(arrival -> arrival.server().equals(read.server()) && arrival.at() <= read.at())
            .mapToLong(ReplicatedStoreModel.Arrival::at)
            .max()
            .orElse(read.at())
        - read.position();
  }

  private static Violation drainViolation(SoakObservations.Drain drain, String rpc, long at) {
    long millis = TimeUnit.NANOSECONDS.toMillis(at) - drain.from().toMillis();
    String found = "at " + drain.server() + " " + millis + " ms after the drain began";
    return new Violation(Rule.DRAINS_KEPT, rpc, at, found);
  }

  /**
   * Returns whether no rule was violated.
   *
   * @return true if there is no violation
   */
  public boolean isClean() {
    return violations.isEmpty();
  }
}
