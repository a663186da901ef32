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
import weldcross.chaos.load.ClientOperation.ClientOutcome;
import weldcross.chaos.load.Method;
import weldcross.fakes.ReplicatedStoreModel;

/** The audit finds each breach that is planted, and nothing in what is right. */
class HistoryCheckerTest {

  private static final long MS = 1_000_000;

  private final List<ClientOperation> asked = new ArrayList<>();
  private final List<ReplicatedStoreModel.Effect> effects = new ArrayList<>();
  private final List<ReplicatedStoreModel.Read> reads = new ArrayList<>();
  private final List<History.Trouble> troubles = new ArrayList<>();
  private final List<String> unasked = new ArrayList<>();

  private void ask(
      String rpc, Method method, long sent, ClientOutcome outcome, String value, String after) {
    asked.add(
        new ClientOperation(
            rpc, "k", method, 0, "n1", sent * MS, (sent + 10) * MS, outcome, value, "", after));
  }

  private void effect(String rpc, long at) {
    effects.add(
        new ReplicatedStoreModel.Effect(at * MS, rpc, 0, "s0", "k", rpc, effects.size() + 1, 1));
  }

  private void read(String rpc, long at, long position, long seen) {
    reads.add(new ReplicatedStoreModel.Read(at * MS, rpc, 0, "s1", "k", position * MS, seen));
  }

  private void right() {
    ask("w1", Method.FILING, 100, ClientOutcome.OK, "w1", "");
    effect("w1", 105);
    ask("r1", Method.LOOKUP, 200, ClientOutcome.OK, "w1", "w1");
    read("r1", 205, 205, 1);
    ask("b1", Method.BROWSE, 300, ClientOutcome.OK, "", "");
    read("b1", 305, 50, 0);
    ask("p1", Method.FILING, 400, ClientOutcome.PUSHED_BACK, "", "w1");
    ask("a1", Method.FILING, 500, ClientOutcome.ABORTED, "", "w1");
    effect("a1", 505);
  }

  private List<Rule> broken() {
    return HistoryChecker.of(new History(asked, unasked, effects, reads, troubles)).stream()
        .map(HistoryChecker.Breach::rule)
        .toList();
  }

  @Test
  void whatIsRightIsClean() {
    right();
    assertEquals(List.of(), broken());
  }

  @Test
  void secondEffectIsFound() {
    right();
    effect("w1", 150);
    assertEquals(List.of(Rule.ONE_EFFECT), broken());
  }

  @Test
  void answerWithoutItsEffectAndARefusalWithOneAreFound() {
    right();
    ask("w2", Method.FILING, 600, ClientOutcome.OK, "w2", "");
    effect("p1", 410);
    assertEquals(List.of(Rule.REFUSED_HARMLESS, Rule.EFFECT_THERE), broken());
  }

  @Test
  void asecondAnswerAndAnothersValueAreFound() {
    right();
    unasked.add("Dsomething");
    ask("w3", Method.FILING, 600, ClientOutcome.OK, "w1", "");
    effect("w3", 605);
    assertEquals(List.of(Rule.ONE_ANSWER, Rule.ONE_ANSWER), broken());
  }

  @Test
  void staleReadsAreFoundByTheServersRecord() {
    right();
    ask("w4", Method.FILING, 600, ClientOutcome.OK, "w4", "w1");
    effect("w4", 605);
    ask("r2", Method.LOOKUP, 700, ClientOutcome.OK, "w1", "w4");
    read("r2", 705, 600, 1);
    ask("b2", Method.BROWSE, 2000, ClientOutcome.OK, "", "");
    // Its bound is 800 ms; the freshest read that gave this value was 860 ms behind the send.
    read("b2", 2005, 1140, 0);
    assertEquals(List.of(Rule.FRESH, Rule.FRESH), broken());
  }

  @Test
  void lostAnswerIsABreachUnlessATroubleOfItsGatewayExplainsIt() {
    right();
    ask("l1", Method.LOOKUP, 3000, ClientOutcome.ENDED, "", "");
    ask("l2", Method.LOOKUP, 9000, ClientOutcome.SILENT, "", "");
    troubles.add(new History.Trouble(2900 * MS, 4000 * MS, List.of("n1"), "kill n1"));
    troubles.add(new History.Trouble(8900 * MS, 9500 * MS, List.of("n2"), "kill n2"));
    assertEquals(List.of(Rule.ONE_ANSWER), broken());
    assertTrue(
        HistoryChecker.cause(new History(asked, unasked, effects, reads, troubles), asked.get(6))
            .contains("n2"));
  }

  private List<Rule> views(Long agreedAfter, History.Held... views) {
    return HistoryChecker.of(
            new History(asked, unasked, effects, reads, troubles, List.of(views), agreedAfter))
        .stream()
        .map(HistoryChecker.Breach::rule)
        .toList();
  }

  private static History.Held held(String gateway, int process, long number, String members) {
    return new History.Held(gateway, process, number, members);
  }

  @Test
  void twoViewsOfOneNumberAndOnesThatGoBackAreFound() {
    right();
    assertEquals(
        List.of(),
        views(
            800L,
            held("n0", 1, 4, "n0:1"),
            held("n0", 1, 5, "n0:1 n1:1"),
            held("n0", 2, 4, "n0:1"),
            held("n1", 1, 5, "n0:1 n1:1")));
    assertEquals(
        List.of(Rule.ONE_VIEW), views(0L, held("n0", 1, 5, "n0:1"), held("n1", 1, 5, "n0:2")));
    assertEquals(
        List.of(Rule.NO_VIEW_BACK), views(0L, held("n0", 1, 5, "n0:1"), held("n0", 1, 4, "n1:1")));
    assertEquals(List.of(Rule.AGREES), views(-1L));
  }
}
