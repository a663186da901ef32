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
 * What a soak showed: all rules of the history checker, and those on processes and drains.
 *
 * @param history as recorded, requests that crossed a close counted as not sent
 * @param crossings number of requests that crossed the close of their connection
 * @param violations of the rules; empty if all were kept
 */
public record SoakVerdict(History history, int crossings, List<Violation> violations) {

  /**
   * A request crossed a close if its connection ended so soon after it was sent; one that was read
   * and is dropped later than that was lost.
   */
  static final Duration MAX_CROSSING = Duration.ofMillis(50);

  /** A drain counts as told after 6 s at the latest; sends may go on for 2 s more. */
  static final Duration DRAIN_NOTICE = Duration.ofSeconds(8);

  /** Between the send of a statement and its record at the server. */
  static final Duration RECORD_SLACK = Duration.ofMillis(500);

  /** A gateway may be held up by 0.15 s between its clock and its write; the rest is the way. */
  static final Duration SEND_SLACK = Duration.ofMillis(200);

  /**
   * Judges a soak.
   *
   * @param observations of the whole run
   * @return its verdict
   */
  public static SoakVerdict of(SoakObservations observations) {
    History recorded = observations.history();
    Set<String> forwarded = new HashSet<>();
    observations.arrivals().forEach(arrival -> forwarded.add(arrival.rpc()));
    List<ClientOperation> operations = new ArrayList<>();
    int crossings = 0;
    for (ClientOperation operation : recorded.operations()) {
      boolean crossed = !forwarded.contains(operation.rpc()) && crossed(observations, operation);
      crossings += crossed ? 1 : 0;
      operations.add(crossed ? operation.withOutcome(Outcome.NOT_SENT) : operation);
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
    checkAgeAtSend(observations, violations);
    return new SoakVerdict(history, crossings, List.copyOf(violations));
  }

  /** Whether a request may have come after its gateway had ended sending on its connection. */
  private static boolean crossed(SoakObservations observations, ClientOperation operation) {
    return operation.outcome() == Outcome.CONNECTION_CLOSED
        && operation.detail().equals(ClientOperation.CLOSED_CLEANLY)
        && operation.durationNanos() <= MAX_CROSSING.toNanos()
        && observations.closes().stream()
            .anyMatch(window -> window.covers(operation.gateway(), operation.ended()));
  }

  private static void checkExits(SoakObservations observations, List<Violation> violations) {
    for (ProcessExit exit : observations.exits()) {
      if (!exit.isInOrder()) {
        String found =
            exit.gateway()
                + (exit.termAt() == null ? " ended by itself" : " ended on SIGTERM")
                + " with status "
                + exit.status();
        violations.add(new Violation(Rule.PROCESS_RUNS, "", exit.at().toNanos(), found));
      }
    }
  }

  private static void checkDrains(SoakObservations observations, List<Violation> violations) {
    for (SoakObservations.Drain drain : observations.drains()) {
      long from = drain.from().plus(DRAIN_NOTICE).plus(RECORD_SLACK).toNanos();
      long until = drain.until().toNanos();
      observations.arrivals().stream()
          .filter(arrival -> arrival.server().equals(drain.server()))
          .filter(arrival -> arrival.at() > from && arrival.at() < until)
          .forEach(arrival -> violations.add(afterDrain(drain, arrival.rpc(), arrival.at())));
    }
  }

  /**
   * A staleness bound counts from the gateway's send, which may come long after the client's. The
   * answer is that of one of the reads done for the request: the freshest that gave its value.
   */
  private static void checkAgeAtSend(SoakObservations observations, List<Violation> violations) {
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
                  "data of " + TimeUnit.NANOSECONDS.toMillis(age) + " ms before it was sent on"));
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

  private static Violation afterDrain(SoakObservations.Drain drain, String rpc, long at) {
    long millis = TimeUnit.NANOSECONDS.toMillis(at) - drain.from().toMillis();
    String found = "at " + drain.server() + " " + millis + " ms after it began to drain";
    return new Violation(Rule.DRAINS_KEPT, rpc, at, found);
  }

  /**
   * Returns whether all rules were kept.
   *
   * @return true if there is no violation
   */
  public boolean isClean() {
    return violations.isEmpty();
  }
}
