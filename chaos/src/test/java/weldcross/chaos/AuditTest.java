package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.chaos.history.Audit;
import weldcross.chaos.history.Audit.Rule;
import weldcross.chaos.history.Evidence;
import weldcross.chaos.load.Asked;
import weldcross.chaos.load.Asked.Outcome;
import weldcross.chaos.load.Method;
import weldcross.fakes.Store;

/** The audit finds each breach that is planted, and nothing in what is right. */
class AuditTest {

  private static final long MS = 1_000_000;

  private final List<Asked> asked = new ArrayList<>();
  private final List<Store.Effect> effects = new ArrayList<>();
  private final List<Store.Read> reads = new ArrayList<>();
  private final List<Evidence.Trouble> troubles = new ArrayList<>();
  private final List<String> unasked = new ArrayList<>();

  private void ask(
      String rpc, Method method, long sent, Outcome outcome, String value, String after) {
    asked.add(
        new Asked(
            rpc, "k", method, 0, "n1", sent * MS, (sent + 10) * MS, outcome, value, "", after));
  }

  private void effect(String rpc, long at) {
    effects.add(new Store.Effect(at * MS, rpc, 0, "s0", "k", rpc, effects.size() + 1, 1));
  }

  private void read(String rpc, long at, long position, long seen) {
    reads.add(new Store.Read(at * MS, rpc, 0, "s1", "k", position * MS, seen));
  }

  private void right() {
    ask("w1", Method.FILING, 100, Outcome.OK, "w1", "");
    effect("w1", 105);
    ask("r1", Method.LOOKUP, 200, Outcome.OK, "w1", "w1");
    read("r1", 205, 205, 1);
    ask("b1", Method.BROWSE, 300, Outcome.OK, "", "");
    read("b1", 305, 50, 0);
    ask("p1", Method.FILING, 400, Outcome.PUSHED_BACK, "", "w1");
    ask("a1", Method.FILING, 500, Outcome.ABORTED, "", "w1");
    effect("a1", 505);
  }

  private List<Rule> broken() {
    return Audit.of(new Evidence(asked, unasked, effects, reads, troubles)).stream()
        .map(Audit.Breach::rule)
        .toList();
  }

  @Test
  void whatIsRightIsClean() {
    right();
    assertEquals(List.of(), broken());
  }

  @Test
  void aSecondEffectIsFound() {
    right();
    effect("w1", 150);
    assertEquals(List.of(Rule.ONE_EFFECT), broken());
  }

  @Test
  void anAnswerWithoutItsEffectAndARefusalWithOneAreFound() {
    right();
    ask("w2", Method.FILING, 600, Outcome.OK, "w2", "");
    effect("p1", 410);
    assertEquals(List.of(Rule.REFUSED_HARMLESS, Rule.EFFECT_THERE), broken());
  }

  @Test
  void asecondAnswerAndAnothersValueAreFound() {
    right();
    unasked.add("Dsomething");
    ask("w3", Method.FILING, 600, Outcome.OK, "w1", "");
    effect("w3", 605);
    assertEquals(List.of(Rule.ONE_ANSWER, Rule.ONE_ANSWER), broken());
  }

  @Test
  void staleReadsAreFoundByTheServersRecord() {
    right();
    ask("w4", Method.FILING, 600, Outcome.OK, "w4", "w1");
    effect("w4", 605);
    ask("r2", Method.LOOKUP, 700, Outcome.OK, "w1", "w4");
    read("r2", 705, 600, 1);
    ask("b2", Method.BROWSE, 2000, Outcome.OK, "", "");
    // Its bound is 800 ms; the freshest read that gave this value was 860 ms behind the send.
    read("b2", 2005, 1140, 0);
    assertEquals(List.of(Rule.FRESH, Rule.FRESH), broken());
  }

  @Test
  void aLostAnswerIsABreachUnlessATroubleOfItsGatewayExplainsIt() {
    right();
    ask("l1", Method.LOOKUP, 3000, Outcome.ENDED, "", "");
    ask("l2", Method.LOOKUP, 9000, Outcome.SILENT, "", "");
    troubles.add(new Evidence.Trouble(2900 * MS, 4000 * MS, List.of("n1"), "kill n1"));
    troubles.add(new Evidence.Trouble(8900 * MS, 9500 * MS, List.of("n2"), "kill n2"));
    assertEquals(List.of(Rule.ONE_ANSWER), broken());
    assertTrue(
        Audit.cause(new Evidence(asked, unasked, effects, reads, troubles), asked.get(6))
            .contains("n2"));
  }

  private List<Rule> views(Long agreedAfter, Evidence.Held... views) {
    return Audit.of(
            new Evidence(asked, unasked, effects, reads, troubles, List.of(views), agreedAfter))
        .stream()
        .map(Audit.Breach::rule)
        .toList();
  }

  private static Evidence.Held held(String gateway, int process, long number, String members) {
    return new Evidence.Held(gateway, process, number, members);
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
