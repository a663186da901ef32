package weldcross.chaos.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.chaos.history.History;
import weldcross.chaos.history.HistoryChecker.Rule;
import weldcross.chaos.history.HistoryChecker.Violation;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.ClientOperation.Outcome;
import weldcross.chaos.load.RequestType;
import weldcross.fakes.ReplicatedStoreModel.Arrival;
import weldcross.fakes.ReplicatedStoreModel.Read;

/** Tests that each check of a soak test finds its kind of violation. */
class SoakVerdictTest {

  private static final Duration SECOND = Duration.ofSeconds(1);

  /** The gateway n0 shuts down from 1 s to 2 s. */
  private static final SoakObservations.CloseWindow STOP =
      new SoakObservations.CloseWindow("n0", SECOND, SECOND.multipliedBy(2));

  private static ClientOperation read(Outcome outcome, Duration sent, Duration ended) {
    return new ClientOperation(
        "a1",
        "c0",
        RequestType.SESSION_READ,
        0,
        "n0",
        sent.toNanos(),
        ended.toNanos(),
        outcome,
        "",
        "ended",
        "");
  }

  private static SoakVerdict verdict(
      List<ClientOperation> operations,
      List<Arrival> arrivals,
      List<ProcessExit> exits,
      List<SoakObservations.Drain> drains) {
    History history = new History(operations, List.of(), List.of(), List.of(), List.of());
    return SoakVerdict.of(new SoakObservations(history, arrivals, exits, List.of(STOP), drains));
  }

  private static SoakVerdict verdictOf(ClientOperation operation, Arrival... arrivals) {
    return verdict(List.of(operation), List.of(arrivals), List.of(), List.of());
  }

  private static List<Rule> violatedRules(SoakVerdict verdict) {
    return verdict.violations().stream().map(Violation::rule).toList();
  }

  private static Duration millis(long count) {
    return Duration.ofMillis(count);
  }

  @Test
  void requestRacingWithCloseInShutdownCountsAsNotSent() {
    SoakVerdict verdict = verdictOf(read(Outcome.CONNECTION_CLOSED, millis(1_500), millis(1_510)));
    assertEquals(List.of(), violatedRules(verdict));
    assertEquals(1, verdict.closeRaces());
  }

  @Test
  void forwardedRequestWithoutAnswerIsFound() {
    SoakVerdict verdict =
        verdictOf(
            read(Outcome.CONNECTION_CLOSED, millis(1_500), millis(1_510)),
            new Arrival(millis(1_505).toNanos(), "a1", "s0", 1));
    assertEquals(List.of(Rule.ONE_ANSWER), violatedRules(verdict));
  }

  @Test
  void requestOpenAtGatewayKillIsFound() {
    assertEquals(
        List.of(Rule.ONE_ANSWER),
        violatedRules(verdictOf(read(Outcome.CONNECTION_CLOSED, millis(1_500), millis(1_900)))));
  }

  @Test
  void connectionClosedOutsideShutdownIsFound() {
    assertEquals(
        List.of(Rule.ONE_ANSWER),
        violatedRules(verdictOf(read(Outcome.CONNECTION_CLOSED, millis(500), millis(501)))));
  }

  @Test
  void lateAnswerIsFound() {
    assertEquals(
        List.of(Rule.ONE_ANSWER),
        violatedRules(verdictOf(read(Outcome.TIMED_OUT, millis(500), millis(1_900)))));
  }

  private static List<Rule> rulesViolatedByExit(ProcessExit exit) {
    return violatedRules(verdict(List.of(), List.of(), List.of(exit), List.of()));
  }

  @Test
  void unexpectedProcessExitsAreFound() {
    assertEquals(
        List.of(Rule.PROCESS_RUNS),
        rulesViolatedByExit(new ProcessExit("n0", null, SECOND, false, 0, false)));
    assertEquals(
        List.of(Rule.PROCESS_RUNS),
        rulesViolatedByExit(new ProcessExit("n0", SECOND, SECOND, false, 70, false)));
    assertEquals(
        List.of(Rule.PROCESS_RUNS),
        rulesViolatedByExit(new ProcessExit("n0", SECOND, SECOND, false, 143, false)));
    assertEquals(
        List.of(), rulesViolatedByExit(new ProcessExit("n0", SECOND, SECOND, false, 143, true)));
    assertEquals(
        List.of(), rulesViolatedByExit(new ProcessExit("n0", SECOND, SECOND, true, 0, false)));
  }

  @Test
  void readForwardedTooLateForItsStalenessBoundIsFound() {
    ClientOperation bounded =
        new ClientOperation(
            "a1",
            "c0",
            RequestType.BOUNDED_READ,
            0,
            "n0",
            millis(1_000).toNanos(),
            millis(1_700).toNanos(),
            Outcome.OK,
            "",
            "",
            "");
    assertEquals(List.of(), violatedRules(verdictForReadArrivingAt(bounded, millis(1_200))));
    assertEquals(
        List.of(Rule.FRESH), violatedRules(verdictForReadArrivingAt(bounded, millis(1_600))));
  }

  /** The server executes the read on data with position 500 ms. */
  private static SoakVerdict verdictForReadArrivingAt(
      ClientOperation operation, Duration arrivedAt) {
    Read read = new Read(millis(1_650).toNanos(), "a1", 0, "s1", "c0", millis(500).toNanos(), 0);
    History history =
        new History(List.of(operation), List.of(), List.of(), List.of(read), List.of());
    Arrival arrival = new Arrival(arrivedAt.toNanos(), "a1", "s1", 1);
    return SoakVerdict.of(
        new SoakObservations(history, List.of(arrival), List.of(), List.of(), List.of()));
  }

  @Test
  void requestToDrainingServerAfterNoticePeriodIsFound() {
    List<SoakObservations.Drain> drains =
        List.of(new SoakObservations.Drain("s1", SECOND, millis(11_000)));
    Arrival inTime = new Arrival(millis(8_900).toNanos(), "a1", "s1", 1);
    Arrival late = new Arrival(millis(9_600).toNanos(), "a2", "s1", 1);
    Arrival after = new Arrival(millis(11_100).toNanos(), "a3", "s1", 1);
    SoakVerdict verdict = verdict(List.of(), List.of(inTime, late, after), List.of(), drains);
    assertEquals(List.of(Rule.DRAINS_KEPT), violatedRules(verdict));
    assertEquals("a2", verdict.violations().get(0).rpc());
  }
}
