package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.chaos.history.History;
import weldcross.chaos.history.HistoryChecker;
import weldcross.chaos.history.HistoryChecker.Rule;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.ClientOperation.Outcome;
import weldcross.chaos.load.RequestType;
import weldcross.fakes.ReplicatedStoreModel;

/** Tests that the checker finds each kind of violation, and none in a correct history. */
class HistoryCheckerTest {

  private static final long MS = 1_000_000;

  private final List<ClientOperation> operations = new ArrayList<>();
  private final List<ReplicatedStoreModel.Commit> commits = new ArrayList<>();
  private final List<ReplicatedStoreModel.Read> reads = new ArrayList<>();
  private final List<History.FaultInterval> faults = new ArrayList<>();
  private final List<String> unexpectedMessages = new ArrayList<>();

  private void operation(
      String rpc, RequestType type, long sent, Outcome outcome, String value, String after) {
    operations.add(
        new ClientOperation(
            rpc, "k", type, 0, "n1", sent * MS, (sent + 10) * MS, outcome, value, "", after));
  }

  private void commit(String rpc, long at) {
    commits.add(
        new ReplicatedStoreModel.Commit(at * MS, rpc, 0, "s0", "k", rpc, commits.size() + 1, 1));
  }

  private void read(String rpc, long at, long position, long seen) {
    reads.add(new ReplicatedStoreModel.Read(at * MS, rpc, 0, "s1", "k", position * MS, seen));
  }

  private void recordCorrectHistory() {
    operation("w1", RequestType.WRITE, 100, Outcome.OK, "w1", "");
    commit("w1", 105);
    operation("r1", RequestType.SESSION_READ, 200, Outcome.OK, "w1", "w1");
    read("r1", 205, 205, 1);
    operation("b1", RequestType.BOUNDED_READ, 300, Outcome.OK, "", "");
    read("b1", 305, 50, 0);
    operation("p1", RequestType.WRITE, 400, Outcome.REJECTED, "", "w1");
    operation("a1", RequestType.WRITE, 500, Outcome.FAILED, "", "w1");
    commit("a1", 505);
  }

  private List<Rule> violatedRules() {
    return HistoryChecker.check(new History(operations, unexpectedMessages, commits, reads, faults))
        .stream()
        .map(HistoryChecker.Violation::rule)
        .toList();
  }

  @Test
  void correctHistoryHasNoViolation() {
    recordCorrectHistory();
    assertEquals(List.of(), violatedRules());
  }

  @Test
  void writeAppliedTwiceIsFound() {
    recordCorrectHistory();
    commit("w1", 150);
    assertEquals(List.of(Rule.ONE_EFFECT), violatedRules());
  }

  @Test
  void acknowledgedWriteNotAppliedAndRejectedWriteAppliedAreFound() {
    recordCorrectHistory();
    operation("w2", RequestType.WRITE, 600, Outcome.OK, "w2", "");
    commit("p1", 410);
    assertEquals(List.of(Rule.REFUSED_HARMLESS, Rule.EFFECT_THERE), violatedRules());
  }

  @Test
  void unexpectedMessageAndValueOfAnotherWriteAreFound() {
    recordCorrectHistory();
    unexpectedMessages.add("Dsomething");
    operation("w3", RequestType.WRITE, 600, Outcome.OK, "w1", "");
    commit("w3", 605);
    assertEquals(List.of(Rule.ONE_ANSWER, Rule.ONE_ANSWER), violatedRules());
  }

  @Test
  void staleReadsAreFoundByServerRecords() {
    recordCorrectHistory();
    operation("w4", RequestType.WRITE, 600, Outcome.OK, "w4", "w1");
    commit("w4", 605);
    operation("r2", RequestType.SESSION_READ, 700, Outcome.OK, "w1", "w4");
    read("r2", 705, 600, 1);
    operation("b2", RequestType.BOUNDED_READ, 2000, Outcome.OK, "", "");
    // The bound is 800 ms; the freshest read with this value was 860 ms older than the request.
    read("b2", 2005, 1140, 0);
    assertEquals(List.of(Rule.FRESH, Rule.FRESH), violatedRules());
  }

  @Test
  void lostAnswerIsViolationUnlessFaultExplainsIt() {
    recordCorrectHistory();
    operation("l1", RequestType.SESSION_READ, 3000, Outcome.CONNECTION_CLOSED, "", "");
    operation("l2", RequestType.SESSION_READ, 9000, Outcome.TIMED_OUT, "", "");
    faults.add(new History.FaultInterval(2900 * MS, 4000 * MS, List.of("n1"), "kill n1"));
    faults.add(new History.FaultInterval(8900 * MS, 9500 * MS, List.of("n2"), "kill n2"));
    assertEquals(List.of(Rule.ONE_ANSWER), violatedRules());
    assertTrue(
        HistoryChecker.likelyCause(
                new History(operations, unexpectedMessages, commits, reads, faults),
                operations.get(6))
            .orElseThrow()
            .contains("n2"));
  }

  private List<Rule> rulesViolatedByViews(
      Long convergedAfterMillis, History.ReportedView... views) {
    return HistoryChecker.check(
            new History(
                operations,
                unexpectedMessages,
                commits,
                reads,
                faults,
                List.of(views),
                convergedAfterMillis))
        .stream()
        .map(HistoryChecker.Violation::rule)
        .toList();
  }

  private static History.ReportedView view(
      String gateway, int process, long number, String members) {
    return new History.ReportedView(gateway, process, number, members);
  }

  @Test
  void differingRegressingAndUnconvergedViewsAreFound() {
    recordCorrectHistory();
    assertEquals(
        List.of(),
        rulesViolatedByViews(
            800L,
            view("n0", 1, 4, "n0:1"),
            view("n0", 1, 5, "n0:1 n1:1"),
            view("n0", 2, 4, "n0:1"),
            view("n1", 1, 5, "n0:1 n1:1")));
    assertEquals(
        List.of(Rule.ONE_VIEW),
        rulesViolatedByViews(0L, view("n0", 1, 5, "n0:1"), view("n1", 1, 5, "n0:2")));
    assertEquals(
        List.of(Rule.NO_VIEW_BACK),
        rulesViolatedByViews(0L, view("n0", 1, 5, "n0:1"), view("n0", 1, 4, "n1:1")));
    assertEquals(List.of(Rule.AGREES), rulesViolatedByViews(-1L));
  }

  private void closedOperation(String rpc, long sent, long millis, String detail) {
    operations.add(
        new ClientOperation(
            rpc,
            "k",
            RequestType.SESSION_READ,
            0,
            "n1",
            sent * MS,
            (sent + millis) * MS,
            Outcome.CONNECTION_CLOSED,
            "",
            detail,
            ""));
  }

  /** The gateway n1 shuts down gracefully from 1 s to 2 s. */
  @Test
  void onlyRequestRacingWithGracefulCloseMayStayUnanswered() {
    faults.add(
        new History.FaultInterval(1000 * MS, 2000 * MS, List.of(), List.of("n1"), "term n1"));
    closedOperation("x1", 1500, 60, "ended");
    assertEquals(List.of(), violatedRules());
    closedOperation("x2", 1500, 110, "ended");
    closedOperation("x3", 1500, 10, "Connection reset");
    closedOperation("x4", 2500, 10, "ended");
    closedOperation("x5", 1500, 10, "ended");
    read("x5", 1505, 1505, 0);
    assertEquals(
        List.of(Rule.ONE_ANSWER, Rule.ONE_ANSWER, Rule.ONE_ANSWER, Rule.ONE_ANSWER),
        violatedRules());
  }
}
