package weldcross.chaos.history;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.ClientOperation.Outcome;
import weldcross.fakes.ReplicatedStoreModel;

/**
 * Checks the history of a run, using only the records of servers and the observations of clients.
 * An unanswered request that a fault explains is a loss, which the report counts; any other
 * unanswered request is a violation.
 */
public final class HistoryChecker {

  /** Rules that no run may violate. The names of the constants are part of stored runs. */
  public enum Rule {
    /** Each request gets exactly one answer, in time. */
    ONE_ANSWER("exactly one answer per request, in time"),
    /** No write is applied twice. */
    ONE_EFFECT("no write applied twice"),
    /** Each acknowledged write has been applied. */
    EFFECT_THERE("every acknowledged write applied"),
    /** A rejected write has not been applied. */
    REFUSED_HARMLESS("no rejected write applied"),
    /** No read is staler than its request class allows. */
    FRESH("no stale read"),
    /** No request is sent to a server long after it began to drain. */
    DRAINS_KEPT("no request to a draining server"),
    /** A gateway process ends only on a signal, and with a regular exit status. */
    PROCESS_RUNS("no unexpected process exit"),
    /** Membership views with the same number have the same members. */
    ONE_VIEW("membership views with the same number are equal"),
    /** Within a process, the numbers of membership views increase. */
    NO_VIEW_BACK("view numbers increase within a process"),
    /** All gateways have the same membership view after all faults are healed. */
    AGREES("membership views converge after the last fault");

    private final String description;

    Rule(String description) {
      this.description = description;
    }

    /**
     * Returns the description of the rule in reports.
     *
     * @return one line
     */
    public String description() {
      return description;
    }
  }

  /**
   * A violation of a rule.
   *
   * @param rule the violated rule
   * @param rpc id of the request, or another subject of the violation; empty if there is none
   * @param at when the request was sent, in nanoseconds since the start of the load
   * @param description what was observed
   */
  public record Violation(
      Rule rule, String rpc, long at, @JsonProperty("what") String description) {

    /**
     * Formats the violation for a terminal.
     *
     * @return one line
     */
    public String describe() {
      return rule.description()
          + ": "
          + rpc
          + " at "
          + TimeUnit.NANOSECONDS.toMillis(at)
          + " ms, "
          + description;
    }
  }

  /** A server's clock may be one tick behind that of its client. */
  private static final long CLOCK_SLACK_NANOS = ClientOperation.DEADLINE_SLACK.toNanos();

  /** After a fault, requests may still be held back and servers may still be ejected. */
  private static final long RECOVERY_NANOS = Duration.ofSeconds(3).toNanos();

  /**
   * Longest time from sending a request to seeing its connection closed, if the two crossed on the
   * network: both pass through the proxy, which is slow on a busy machine.
   */
  private static final long MAX_CLOSE_RACE_NANOS = Duration.ofMillis(100).toNanos();

  private final History history;
  private final Map<String, List<ReplicatedStoreModel.Commit>> commitsByRequest = new HashMap<>();
  private final Map<String, Long> sequencesByValue = new HashMap<>();
  private final Map<String, List<ReplicatedStoreModel.Read>> readsByRequest = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  private HistoryChecker(History history) {
    this.history = history;
    for (ReplicatedStoreModel.Commit commit : history.commits()) {
      commitsByRequest.computeIfAbsent(commit.rpc(), id -> new ArrayList<>()).add(commit);
      sequencesByValue.put(commit.value(), commit.sequence());
    }
    for (ReplicatedStoreModel.Read read : history.reads()) {
      readsByRequest.computeIfAbsent(read.rpc(), id -> new ArrayList<>()).add(read);
    }
  }

  /**
   * Checks a history against all rules.
   *
   * @param history history of a complete run
   * @return all violations; those of requests come first, in order of the requests
   */
  public static List<Violation> check(History history) {
    HistoryChecker checker = new HistoryChecker(history);
    Set<String> ids = checker.checkOperations();
    checker.checkViews();
    checker.checkUnexpectedMessages();
    checker.checkUnknownCommits(ids);
    return checker.violations;
  }

  private Set<String> checkOperations() {
    Set<String> ids = new HashSet<>();
    for (ClientOperation operation : history.operations()) {
      if (!ids.add(operation.rpc())) {
        report(Rule.ONE_ANSWER, operation, "answered twice");
      }
      checkAnswer(operation);
      checkCommits(operation);
      checkFreshness(operation);
    }
    return ids;
  }

  private void checkAnswer(ClientOperation operation) {
    boolean unanswered =
        operation.outcome() == Outcome.TIMED_OUT
            || operation.outcome() == Outcome.CONNECTION_CLOSED;
    if (unanswered
        && history.faultPreventingAnswerTo(operation).isEmpty()
        && !racedWithClose(operation)) {
      report(Rule.ONE_ANSWER, operation, "no answer, and no fault explains it");
    }
    if (operation.outcome() == Outcome.OK
        && operation.type().isWrite()
        && !operation.value().equals(operation.rpc())) {
      report(Rule.ONE_ANSWER, operation, "got the value of another write: " + operation.value());
    }
  }

  /**
   * Whether a request was sent while its gateway closed the connection in a graceful shutdown: the
   * connection was closed gracefully soon after the send, and no server has seen the request.
   */
  private boolean racedWithClose(ClientOperation operation) {
    return operation.outcome() == Outcome.CONNECTION_CLOSED
        && operation.detail().equals(ClientOperation.CLOSED_CLEANLY)
        && operation.durationNanos() <= MAX_CLOSE_RACE_NANOS
        && !commitsByRequest.containsKey(operation.rpc())
        && !readsByRequest.containsKey(operation.rpc())
        && history.faults().stream().anyMatch(fault -> fault.mayCloseConnectionOf(operation));
  }

  private void checkCommits(ClientOperation operation) {
    List<ReplicatedStoreModel.Commit> commits =
        commitsByRequest.getOrDefault(operation.rpc(), List.of());
    if (commits.size() > 1) {
      report(Rule.ONE_EFFECT, operation, "applied " + commits.size() + " times: " + commits);
    }
    if (operation.outcome() == Outcome.OK && operation.type().isWrite() && commits.isEmpty()) {
      report(Rule.EFFECT_THERE, operation, "no server applied it");
    }
    boolean mustHaveNoEffect =
        operation.outcome() == Outcome.REJECTED || operation.outcome() == Outcome.NOT_SENT;
    if (mustHaveNoEffect && !commits.isEmpty()) {
      report(Rule.REFUSED_HARMLESS, operation, "applied: " + commits);
    }
  }

  private void checkFreshness(ClientOperation operation) {
    if (operation.outcome() != Outcome.OK) {
      return;
    }
    switch (operation.type()) {
      case SESSION_READ -> checkSessionRead(operation);
      case BOUNDED_READ -> checkBoundedRead(operation);
      case WRITE -> {
        // A write returns no stored data.
      }
    }
  }

  private void checkSessionRead(ClientOperation operation) {
    if (operation.after().isEmpty()) {
      return;
    }
    long seen = sequenceOf(operation.value());
    long written = sequenceOf(operation.after());
    if (seen < written) {
      report(
          Rule.FRESH,
          operation,
          "read commit " + seen + " of its key after its session wrote commit " + written);
    }
  }

  /**
   * Of the server reads of a request that returned the answered value, the freshest one counts. The
   * staleness bound is relative to the send time of the attempt, which is not before that of the
   * client's request.
   */
  private void checkBoundedRead(ClientOperation operation) {
    long seen = sequenceOf(operation.value());
    long freshest =
        readsByRequest.getOrDefault(operation.rpc(), List.of()).stream()
            .filter(read -> read.seen() == seen)
            .mapToLong(ReplicatedStoreModel.Read::position)
            .max()
            .orElse(Long.MIN_VALUE);
    long bound = operation.type().stalenessBound().toNanos();
    if (freshest < operation.sent() - bound - CLOCK_SLACK_NANOS) {
      long age = TimeUnit.NANOSECONDS.toMillis(operation.sent() - freshest);
      report(Rule.FRESH, operation, "data " + age + " ms older than the request");
    }
  }

  private long sequenceOf(String value) {
    return value.isEmpty() ? 0 : sequencesByValue.getOrDefault(value, 0L);
  }

  private void checkViews() {
    Map<Long, History.ReportedView> firstByNumber = new HashMap<>();
    Map<String, Long> lastByProcess = new HashMap<>();
    for (History.ReportedView view : history.views()) {
      History.ReportedView first = firstByNumber.putIfAbsent(view.number(), view);
      if (first != null && !first.members().equals(view.members())) {
        String found = describe(first) + ", " + describe(view);
        violations.add(new Violation(Rule.ONE_VIEW, subject(view), 0, found));
      }
      Long previous = lastByProcess.put(view.gateway() + "/" + view.process(), view.number());
      if (previous != null && previous >= view.number()) {
        String found = view.gateway() + " had view " + previous + " before";
        violations.add(new Violation(Rule.NO_VIEW_BACK, subject(view), 0, found));
      }
    }
    if (history.convergedAfterMillis() != null && history.convergedAfterMillis() < 0) {
      violations.add(new Violation(Rule.AGREES, "", 0, "gateways have different membership views"));
    }
  }

  private static String subject(History.ReportedView view) {
    return "view " + view.number();
  }

  private static String describe(History.ReportedView view) {
    return view.gateway() + " has " + view.members();
  }

  private void checkUnexpectedMessages() {
    for (String message : history.unexpectedMessages()) {
      String printable = message.replaceAll("[^ -~]", ".");
      violations.add(new Violation(Rule.ONE_ANSWER, "", 0, "unexpected message: " + printable));
    }
  }

  private void checkUnknownCommits(Set<String> ids) {
    commitsByRequest.forEach(
        (id, commits) -> {
          if (!ids.contains(id)) {
            long at = commits.get(0).at();
            violations.add(new Violation(Rule.ONE_EFFECT, id, at, "write without a request"));
          }
        });
  }

  private void report(Rule rule, ClientOperation operation, String found) {
    String description =
        operation.type().className()
            + " of "
            + operation.session()
            + " by "
            + operation.gateway()
            + ", "
            + operation.outcome()
            + ": "
            + found;
    violations.add(new Violation(rule, operation.rpc(), operation.sent(), description));
  }

  /**
   * Finds the fault that most likely caused a request not to be served: one that may have prevented
   * the answer, or else the first one whose recovery period had not passed.
   *
   * @param history history of a complete run
   * @param operation an operation of the history
   * @return the description of the fault; empty if there is none
   */
  public static Optional<String> likelyCause(History history, ClientOperation operation) {
    Optional<String> preventing = history.faultPreventingAnswerTo(operation);
    if (preventing.isPresent()) {
      return preventing;
    }
    return history.faults().stream()
        .filter(fault -> fault.overlaps(operation, RECOVERY_NANOS))
        .map(History.FaultInterval::description)
        .findFirst();
  }
}
