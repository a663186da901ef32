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
 * Checks the history of a run by the servers' own record and what clients saw; knows nothing of the
 * gateway. An unanswered request that a fault excuses is a loss, which the report counts; one that
 * nothing excuses is a violation.
 */
public final class HistoryChecker {

  /** The rules that every run must keep. */
  public enum Rule {
    /** Each request gets one answer in time. */
    ONE_ANSWER("one final answer per RPC, in time, none after"),
    /** No write is applied twice. */
    ONE_EFFECT("no effect twice"),
    /** An acknowledged write has been applied. */
    EFFECT_THERE("what was answered as done is done"),
    /** A rejected write has not been applied. */
    REFUSED_HARMLESS("what was refused has not run"),
    /** No read is staler than its class allows. */
    FRESH("no stale read"),
    /** Nothing is sent to a server long after it began to drain. */
    DRAINS_KEPT("nothing goes to a draining server"),
    /** A gateway ends only when it is told to, and in order. */
    PROCESS_RUNS("no process ends by itself or with a fault"),
    /** Membership views of one number have the same members. */
    ONE_VIEW("views of one number are one"),
    /** Within one process membership views never go back. */
    NO_VIEW_BACK("views never go back in one process"),
    /** All gateways hold one view once all faults are healed. */
    AGREES("all agree once all troubles are over");

    private final String description;

    Rule(String description) {
      this.description = description;
    }

    /**
     * Describes the rule for a reader of the report.
     *
     * @return one line
     */
    public String description() {
      return description;
    }
  }

  /**
   * A rule that was broken.
   *
   * @param rule which one
   * @param rpc the id of the request, or what else broke it; empty for none
   * @param at when the request was sent, in nanoseconds since the load began
   * @param description what was found
   */
  public record Violation(
      Rule rule, String rpc, long at, @JsonProperty("what") String description) {}

  /** A server's clock may be a tick behind its client's. */
  private static final long CLOCK_SLACK_NANOS = ClientOperation.DEADLINE_SLACK.toNanos();

  /** After a fault calls may still be held, and servers ejected. */
  private static final long AFTERMATH_NANOS = Duration.ofSeconds(3).toNanos();

  /** The way of a request and of the end of its connection, through the proxy of a busy machine. */
  private static final long MAX_CROSSING_NANOS = Duration.ofMillis(100).toNanos();

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
   * @param history of a whole run
   * @return all violations, those of requests first and in their order
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
    if (unanswered && history.excuseFor(operation).isEmpty() && !crossedClose(operation)) {
      report(Rule.ONE_ANSWER, operation, "no answer, and no fault of its gateway explains it");
    }
    if (operation.outcome() == Outcome.OK
        && operation.type().isWrite()
        && !operation.value().equals(operation.rpc())) {
      report(Rule.ONE_ANSWER, operation, "another's value: " + operation.value());
    }
  }

  /**
   * Whether a request crossed the end of its connection in an orderly stop: the connection ended in
   * order soon after the send, and no server has seen the request.
   */
  private boolean crossedClose(ClientOperation operation) {
    return operation.outcome() == Outcome.CONNECTION_CLOSED
        && operation.detail().equals(ClientOperation.CLOSED_CLEANLY)
        && operation.durationNanos() <= MAX_CROSSING_NANOS
        && !commitsByRequest.containsKey(operation.rpc())
        && !readsByRequest.containsKey(operation.rpc())
        && history.faults().stream().anyMatch(fault -> fault.closes(operation));
  }

  private void checkCommits(ClientOperation operation) {
    List<ReplicatedStoreModel.Commit> commits =
        commitsByRequest.getOrDefault(operation.rpc(), List.of());
    if (commits.size() > 1) {
      report(Rule.ONE_EFFECT, operation, commits.size() + " effects, at " + commits);
    }
    if (operation.outcome() == Outcome.OK && operation.type().isWrite() && commits.isEmpty()) {
      report(Rule.EFFECT_THERE, operation, "no server has it");
    }
    boolean promisedNoEffect =
        operation.outcome() == Outcome.REJECTED || operation.outcome() == Outcome.NOT_SENT;
    if (promisedNoEffect && !commits.isEmpty()) {
      report(Rule.REFUSED_HARMLESS, operation, "it ran, at " + commits);
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
          "saw commit " + seen + " of its key, its session had written " + written);
    }
  }

  /**
   * The answer is that of one of the reads done for the request: the freshest that gave this value.
   * The bound counts from the attempt's send, which is no earlier than the client's.
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
      report(Rule.FRESH, operation, "data of " + age + " ms before it was sent");
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
      Long before = lastByProcess.put(view.gateway() + "/" + view.process(), view.number());
      if (before != null && before >= view.number()) {
        String found = view.gateway() + " had " + before + " before";
        violations.add(new Violation(Rule.NO_VIEW_BACK, subject(view), 0, found));
      }
    }
    if (history.convergedAfterMillis() != null && history.convergedAfterMillis() < 0) {
      violations.add(new Violation(Rule.AGREES, "", 0, "they did not"));
    }
  }

  private static String subject(History.ReportedView view) {
    return "view " + view.number() + " is";
  }

  private static String describe(History.ReportedView view) {
    return view.gateway() + " has " + view.members();
  }

  private void checkUnexpectedMessages() {
    for (String message : history.unexpectedMessages()) {
      String printable = message.replaceAll("[^ -~]", ".");
      violations.add(new Violation(Rule.ONE_ANSWER, "", 0, "not asked for: " + printable));
    }
  }

  private void checkUnknownCommits(Set<String> ids) {
    commitsByRequest.forEach(
        (id, commits) -> {
          if (!ids.contains(id)) {
            long at = commits.get(0).at();
            violations.add(new Violation(Rule.ONE_EFFECT, id, at, "an effect of no request"));
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
   * Finds the fault that explains why a request was not served: one that excuses it, or the last
   * one that acted near it.
   *
   * @param history of a whole run
   * @param operation one of its operations
   * @return the description of the fault; empty if there is none within its aftermath
   */
  public static Optional<String> likelyCause(History history, ClientOperation operation) {
    Optional<String> excuse = history.excuseFor(operation);
    if (excuse.isPresent()) {
      return excuse;
    }
    return history.faults().stream()
        .filter(fault -> fault.isNear(operation, AFTERMATH_NANOS))
        .map(History.FaultInterval::description)
        .findFirst();
  }
}
