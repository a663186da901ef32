package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.Effect;
import weldcross.routing.RequestClass.Scope;

class RouterTest {

  /** Random lives under drawn terms; the rig checks rules 1, 2, 3 and 5 at every call. */
  @ParameterizedTest
  @ValueSource(
      longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
  void keepsTheRulesThroughRandomLives(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Effect effect = Effect.values()[random.nextInt(3)];
    Scope scope = Scope.values()[random.nextInt(3)];
    RouterHarness rig =
        new RouterHarness(
            RouterHarness.terms(
                effect, scope, random.nextBoolean(), random.nextBoolean(), random.nextBoolean()),
            seed);
    for (int k = 0; k < 6; k++) {
      RouterHarness.Server server = new RouterHarness.Server(k, k / 3);
      server.told = EndpointStatus.ACTIVE;
      server.primary = k % 3 == 0;
      rig.servers.put(server.id.name(), server);
    }
    rig.list();
    for (int k = 0; k < 6000; k++) {
      rig.step(random);
    }
    rig.wait(RouterHarness.DEADLINE.plus(ms(50)));
    assertTrue(
        rig.rpcs.values().stream().allMatch(e -> e.answers > 0), "rule 1: one had no answer");
    assertTrue(rig.rpcs.values().stream().filter(e -> "ok".equals(e.answer)).count() > 50);
  }

  @Test
  void sameEventsGiveTheSameCalls() {
    List<List<String>> lives = new ArrayList<>();
    for (int k = 0; k < 2; k++) {
      RouterHarness rig = RouterHarness.settled();
      SplittableRandom random = new SplittableRandom(3);
      List<String> sent = new ArrayList<>();
      for (int n = 0; n < 1500; n++) {
        rig.arrive(Consistency.values()[random.nextInt(5)], 0, Duration.ZERO);
        rig.out.forEach(s -> sent.add(s.rpc() + s.server().id.name()));
        rig.wait(ms(random.nextInt(9)));
        new ArrayList<>(rig.out).stream().skip(2).forEach(s -> rig.end(s, AttemptOutcome.OK));
      }
      lives.add(sent);
    }
    assertEquals(lives.get(0), lives.get(1));
  }

  @Test
  void sessionReadGoesToAReplicaThatHoldsItsToken() {
    RouterHarness rig = RouterHarness.settled();
    rig.wait(ms(200));
    rig.report(rig.server(2), rig.now.minus(ms(40)));
    assertEquals("s2", rig.only(rig.arrive(Consistency.SESSION, 0, ms(50))).server().id.name());
  }

  @Test
  void sessionReadGoesToThePrimaryWhenNoReplicaHoldsItsToken() {
    RouterHarness rig = RouterHarness.settled();
    rig.wait(ms(200));
    String read = rig.arrive(Consistency.SESSION, 0, ms(50));
    rig.wait(ms(55));
    assertEquals("s0", rig.only(read).server().id.name());
  }

  @Test
  void tokenIsKeptFromTheWriteAnswer() {
    RouterHarness rig =
        RouterHarness.settled(
            RouterHarness.terms(Effect.NON_IDEMPOTENT, Scope.GROUP, true, false, false));
    assertFalse(rig.only(rig.arrive(Consistency.SESSION, 0, Duration.ZERO)).server().primary);
    rig.wait(ms(10));
    rig.end(rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)), AttemptOutcome.OK);
    assertTrue(rig.only(rig.arrive(Consistency.SESSION, 0, Duration.ZERO)).server().primary);
    rig.report(rig.server(1), rig.now);
    assertEquals(
        "s1", rig.only(rig.arrive(Consistency.SESSION, 0, Duration.ZERO)).server().id.name());
  }

  @Test
  void boundedReadSpillsToThePrimaryWhenEveryReplicaLags() {
    RouterHarness rig = RouterHarness.settled();
    rig.wait(RouterHarness.BOUND.minus(ms(1)));
    assertFalse(rig.only(rig.arrive(Consistency.BOUNDED, 0, Duration.ZERO)).server().primary);
    rig.wait(ms(1));
    String read = rig.arrive(Consistency.BOUNDED, 0, Duration.ZERO);
    assertTrue(rig.rpcs.get(read).out.isEmpty(), "it waits briefly for the probe under way");
    rig.wait(ms(55));
    assertTrue(rig.only(read).server().primary);
  }

  /**
   * Rule 5: a dial lies between a decision and its send; whatever it was decided by may be over by
   * then.
   */
  @Test
  void whatWasDecidedHoldsNoLongerThanItsReasons() {
    RouterHarness rig = RouterHarness.settled();
    rig.wait(RouterHarness.BOUND.minus(ms(1)));
    RouterHarness.Sent read = rig.only(rig.arrive(Consistency.BOUNDED, 0, Duration.ZERO));
    assertTrue(rig.isStillEligible(read));
    rig.wait(ms(1));
    assertFalse(rig.isStillEligible(read), "its bound has passed");
    rig.report(read.server(), rig.now);
    assertTrue(rig.isStillEligible(read), "a newer position is known");
    rig.setEndpointListValid(false);
    assertFalse(rig.isStillEligible(read), "its drain may be owed");
    rig.setEndpointListValid(true);
    RouterHarness.Sent write = rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO));
    assertTrue(rig.isStillEligible(write));
    write.server().told = EndpointStatus.DRAINING;
    rig.list();
    assertFalse(rig.isStillEligible(write), "it drains");
  }

  /**
   * Rule 2: a repeat whose connection comes up late would reach a group that drops its repeats no
   * longer.
   */
  @Test
  void repeatThatWaitedForItsConnectionGoesOnlyWhileRepeatsAreDropped() {
    RouterHarness rig =
        RouterHarness.settled(
            RouterHarness.terms(Effect.IDEMPOTENT_BY_KEY, Scope.GROUP, true, true, false));
    String write = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
    assertTrue(
        rig.isStillEligible(rig.only(write)), "the first send needs nobody to know a repeat");
    rig.wait(ms(850));
    rig.end(rig.only(write), AttemptOutcome.CONNECTION_LOST);
    rig.wait(ms(30));
    RouterHarness.Sent repeat = rig.only(write);
    assertTrue(rig.isStillEligible(repeat));
    rig.wait(ms(19));
    assertTrue(rig.isStillEligible(repeat));
    rig.wait(ms(1));
    assertFalse(rig.isStillEligible(repeat), "900 ms after the first send");
  }

  /**
   * Rule 4: what was decided for a warm server and waits is in nobody's count once it starts anew.
   */
  @Test
  void whatWaitsForItsConnectionDoesNotReachAServerThatTurnedCold() {
    RouterHarness rig = RouterHarness.settled();
    RouterHarness.Sent read = rig.only(rig.arrive(Consistency.ANY, 0, Duration.ZERO));
    assertTrue(rig.isStillEligible(read));
    read.server().start = rig.now;
    rig.list();
    assertFalse(rig.isStillEligible(read));
  }

  /**
   * Rule 5: a report is some 0.2 s old when it comes; behind an answer it may tell of what is over.
   */
  @Test
  void claimFromBeforeAnAnswerDoesNotMakeAReplicaThePrimaryAgain() {
    RouterHarness rig = RouterHarness.settled();
    RouterHarness.Server once = rig.server(0);
    RouterHarness.Sent write = rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO));
    rig.wait(ms(100));
    Duration claimed = rig.now;
    rig.wait(ms(100));
    once.primary = false;
    rig.end(write, AttemptOutcome.INELIGIBLE);
    rig.wait(ms(20));
    rig.router.reported(rig.now, once.id, claimed, true);
    rig.wait(RouterHarness.BOUND);
    String read = rig.arrive(Consistency.BOUNDED, 0, Duration.ZERO);
    rig.wait(ms(60));
    assertEquals(0, rig.rpcs.get(read).sent, "the rig knows that nobody holds its bound");
    once.primary = true;
    rig.report(once, rig.now);
    assertEquals("s0", rig.only(read).server().id.name(), "a claim from after it counts");
  }

  /**
   * Rule 5, seen on zone+brink: its client left as a write's answer was on its way, the call-out
   * was cancelled and the answer not read, and a read of the same session went to a replica without
   * that write.
   */
  @ParameterizedTest
  @ValueSource(strings = {"CANCELLED", "TIMED_OUT", "CONNECTION_LOST"})
  void sessionSeesAWriteThatWasGivenUpAndMayHaveRun(String outcome) {
    RouterHarness rig =
        RouterHarness.settled(
            RouterHarness.terms(Effect.NON_IDEMPOTENT, Scope.GROUP, true, false, false));
    assertFalse(rig.only(rig.arrive(Consistency.SESSION, 0, Duration.ZERO)).server().primary);
    String write = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
    rig.wait(ms(60));
    rig.end(rig.only(write), AttemptOutcome.valueOf(outcome));
    rig.report(rig.server(1), rig.now);
    assertTrue(
        rig.only(rig.arrive(Consistency.SESSION, 0, Duration.ZERO)).server().primary,
        "no replica is sure to hold it");
    rig.wait(ms(40));
    rig.report(rig.server(1), rig.now);
    assertEquals(
        "s1", rig.only(rig.arrive(Consistency.SESSION, 0, Duration.ZERO)).server().id.name());
  }

  /** Rule 5: what a session has written counts at each send, not as it stood when the read came. */
  @Test
  void readThatWaitsSeesWhatItsSessionHasWrittenMeanwhile() {
    RouterHarness rig =
        RouterHarness.settled(
            RouterHarness.terms(Effect.NON_IDEMPOTENT, Scope.GROUP, true, false, false));
    String write = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
    String read = rig.arrive(Consistency.SESSION, 0, Duration.ZERO);
    assertFalse(rig.only(read).server().primary, "nothing is known to be written yet");
    rig.wait(ms(60));
    rig.end(rig.only(write), AttemptOutcome.OK);
    assertFalse(rig.isStillEligible(rig.only(read)), "its connection has just come up");
    rig.end(rig.only(read), AttemptOutcome.ERROR);
    assertTrue(rig.only(read).server().primary, "no replica is known to hold it");
  }

  /** Answers in no time at all made an overdue look ask for itself in the same moment, for ever. */
  @Test
  void answersInNoTimeLeaveNoDueTimeInTheSameMoment() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 0; k < 2000; k++) {
      rig.end(rig.only(rig.arrive(Consistency.ANY, 0, Duration.ZERO)), AttemptOutcome.OK);
    }
    rig.arrive(Consistency.ANY, 0, Duration.ZERO);
    assertTimeoutPreemptively(Duration.ofSeconds(20), () -> rig.wait(ms(100)));
  }

  /** Probes that no read needs: where none come, a known position is left to grow old. */
  @Test
  void onlyTheReplicaThatAReadWouldGoToIsProbed() {
    RouterHarness rig = RouterHarness.settled();
    rig.probes.clear();
    rig.wait(ms(300));
    assertEquals(List.of(), rig.probes);
    rig.arrive(Consistency.BOUNDED, 0, Duration.ZERO);
    assertEquals(1, rig.probes.size());
    rig.arrive(Consistency.ANY, 0, Duration.ZERO);
    rig.wait(ms(50));
    assertEquals(1, rig.probes.size());
  }

  /**
   * Jams: in overload the newest goes first, and what the usual time no longer allows is given up.
   */
  @Test
  void inOverloadTheNewestGoesFirst() {
    RouterHarness rig = RouterHarness.settled();
    List<String> reads = new ArrayList<>();
    for (int k = 0; k < 20; k++) {
      reads.add(rig.arrive(Consistency.FRESH, 0, Duration.ZERO));
      rig.wait(ms(10));
    }
    rig.end(rig.only(reads.get(0)), AttemptOutcome.OK);
    rig.end(rig.only(reads.get(1)), AttemptOutcome.OK);
    assertEquals(1, rig.rpcs.get(reads.get(19)).sent);
    assertEquals(0, rig.rpcs.get(reads.get(18)).sent);
  }

  @Test
  void leastBusyReplicaIsPicked() {
    RouterHarness rig = RouterHarness.settled();
    String first = rig.only(rig.arrive(Consistency.ANY, 0, Duration.ZERO)).server().id.name();
    String second = rig.only(rig.arrive(Consistency.ANY, 0, Duration.ZERO)).server().id.name();
    assertEquals(List.of("s1", "s2"), List.of(first, second).stream().sorted().toList());
  }

  @Test
  void freshRouterProbesEveryMemberAndHoldsReadsUntilOneAnswers() {
    RouterHarness rig =
        new RouterHarness(
            RouterHarness.terms(Effect.NON_IDEMPOTENT, Scope.GROUP, true, true, false), 1);
    RouterHarness.settled().servers.values().forEach(s -> rig.servers.put(s.id.name(), s));
    rig.list();
    assertEquals(3, rig.probes.size());
    String read = rig.arrive(Consistency.BOUNDED, 0, Duration.ZERO);
    assertTrue(rig.rpcs.get(read).out.isEmpty());
    rig.report(rig.server(1), rig.now);
    assertEquals("s1", rig.only(read).server().id.name());
  }

  @Test
  void replicaClaimFromBehindAPrimaryClaimIsOld() {
    RouterHarness rig = RouterHarness.settled();
    rig.router.reported(rig.now, rig.server(0).id, rig.now.minus(ms(20)), false);
    assertEquals(
        "s0", rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)).server().id.name());
    rig.router.reported(rig.now, rig.server(0).id, rig.now, false);
    rig.server(0).toldPrimary = false;
    rig.router.reported(rig.now, rig.server(1).id, rig.now, true);
    assertEquals(
        "s1", rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)).server().id.name());
  }

  @Test
  void writeThatMayHaveRunIsAbortedAtOnce() {
    RouterHarness rig = RouterHarness.settled();
    String write = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
    rig.end(rig.only(write), AttemptOutcome.CONNECTION_LOST);
    assertEquals("aborted", rig.rpcs.get(write).answer);
  }

  @Test
  void writeThatNeverRanWaitsForThePrimary() {
    RouterHarness rig = RouterHarness.settled();
    String write = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
    rig.server(0).primary = false;
    rig.end(rig.only(write), AttemptOutcome.INELIGIBLE);
    for (RouterHarness.Sent sent = rig.only(write); sent != null; sent = first(rig, write)) {
      rig.end(sent, AttemptOutcome.INELIGIBLE);
    }
    assertNull(rig.rpcs.get(write).answer);
    rig.server(2).primary = true;
    rig.report(rig.server(2), rig.now);
    assertEquals("s2", rig.only(write).server().id.name());
  }

  /**
   * Jams: a window per server keeps the rest in the gateway, where what cannot make it is given up.
   */
  @Test
  void serverThatSlowsDownGetsFewerAndTheRestIsPushedBack() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 0; k < 1500; k++) {
      rig.arrive(Consistency.FRESH, 0, Duration.ZERO);
      rig.wait(ms(10));
      rig.serve(ms(390));
    }
    long sent =
        rig.rpcs.values().stream()
            .filter(e -> e.firstSent != null && e.firstSent.compareTo(rig.now.minus(ms(5000))) > 0)
            .count();
    assertTrue(sent <= 9, "sent to a slow server in 5 s, fewer than one at a time: " + sent);
    assertTrue(rig.rpcs.values().stream().anyMatch(e -> "pushed back".equals(e.answer)));
  }

  /** Against servers that take work and answer nothing. */
  @Test
  void silentServerIsSetAsideAndItsReadsGoOutAgain() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 0; k < 40; k++) {
      RouterHarness.Sent quick = rig.only(rig.arrive(Consistency.ANY, 0, Duration.ZERO));
      rig.wait(ms(10));
      rig.end(quick, AttemptOutcome.OK);
    }
    String read = rig.arrive(Consistency.ANY, 0, Duration.ZERO);
    RouterHarness.Server hung = rig.only(read).server();
    rig.probes.clear();
    rig.wait(ms(200));
    assertEquals(
        List.of(hung.id), rig.probes.stream().distinct().toList(), "asked whether it lives");
    rig.router.healthCheckEnded(rig.now, hung.id, AttemptOutcome.TIMED_OUT, null);
    rig.wait(ms(50));
    assertEquals(2, rig.rpcs.get(read).sent);
    for (int k = 0; k < 6; k++) {
      assertFalse(hung == rig.only(rig.arrive(Consistency.ANY, 0, Duration.ZERO)).server());
    }
  }

  /** Against one method paying for all others in overload. */
  @Test
  void lessOfAMethodIsServedTheMoreItCounts() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 0; k < 400; k++) {
      rig.arrive(k % 2 == 0 ? Consistency.FRESH : Consistency.WRITE, 0, Duration.ZERO);
      rig.wait(ms(10));
      rig.serve(ms(150));
    }
    long writes =
        rig.rpcs.values().stream()
            .filter(e -> e.row.consistency() == Consistency.WRITE && e.sent > 0)
            .count();
    long reads =
        rig.rpcs.values().stream()
            .filter(e -> e.row.consistency() == Consistency.FRESH && e.sent > 0)
            .count();
    assertTrue(
        writes > 5 && reads > writes,
        "reads, worth twice a write: " + reads + ", writes: " + writes);
  }

  /** Against answers that get lost: they fill no window. */
  @Test
  void lostAnswerDoesNotFillTheWindow() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 0; k < 300; k++) {
      String write = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
      rig.wait(ms(10));
      if (k % 3 < 2) {
        rig.end(rig.only(write), AttemptOutcome.OK);
      }
    }
    assertTrue(rig.out.size() > 30, "lost and still out: " + rig.out.size());
  }

  /** Work in vain: what the usual time no longer allows is given up before its soft deadline. */
  @Test
  void whatCannotMakeItIsGivenUpAtOnce() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 0; k < 100; k++) {
      rig.arrive(Consistency.FRESH, 0, Duration.ZERO);
      rig.wait(ms(10));
      rig.serve(ms(200));
    }
    assertTrue(
        rig.rpcs.values().stream()
            .anyMatch(
                e ->
                    "pushed back".equals(e.answer)
                        && e.sent == 0
                        && e.answeredAt.compareTo(e.arrived.plus(RouterHarness.SOFT).minus(ms(100)))
                            < 0));
  }

  /** Against resets on live servers: one does not set a server aside, two in a row do. */
  @Test
  void oneResetConnectionIsForgiven() {
    RouterHarness rig = RouterHarness.settled();
    rig.wait(ms(1));
    rig.end(
        rig.only(rig.arrive(Consistency.FRESH, 0, Duration.ZERO)), AttemptOutcome.CONNECTION_LOST);
    String second = rig.arrive(Consistency.FRESH, 0, Duration.ZERO);
    assertEquals("s0", rig.only(second).server().id.name());
    rig.end(rig.only(second), AttemptOutcome.CONNECTION_LOST);
    assertTrue(rig.rpcs.get(rig.arrive(Consistency.FRESH, 0, Duration.ZERO)).out.isEmpty());
  }

  /** Errors from all servers alike: nobody is the cause, so nobody is set aside for them. */
  @Test
  void errorsOnEveryServerSetNoMoreThanHalfOfAGroupAside() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 0; k < 40; k++) {
      String read = rig.arrive(k % 2 == 0 ? Consistency.ANY : Consistency.FRESH, 0, Duration.ZERO);
      assertTrue(rig.rpcs.get(read).sent > 0);
      rig.end(rig.only(read), AttemptOutcome.ERROR);
      List.copyOf(rig.out).forEach(s -> rig.end(s, AttemptOutcome.OK));
      rig.wait(ms(30));
    }
  }

  /** Rule 4: a gateway's share, from its own share of what warm servers do. */
  @Test
  void coldServerGetsNoMoreThanItsBudget() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 0; k < 3000; k++) {
      if (k == 1500) {
        rig.server(2).start = rig.now;
        rig.list();
        rig.server(2).coldSends.clear();
      }
      if (k % 20 == 0) {
        rig.servers.values().forEach(s -> rig.report(s, rig.now));
      }
      rig.arrive(Consistency.ANY, 0, Duration.ZERO);
      rig.wait(ms(2));
      rig.serve(ms(8));
      Duration start = rig.server(2).start == null ? rig.now : rig.server(2).start;
      double age = rig.now.minus(start).toMillis() / 6000.0;
      assertTrue(rig.server(2).coldSends.size() <= 2 * (0.25 + 0.75 * age) * 250 * 1.05);
    }
    assertFalse(rig.server(2).coldSends.isEmpty());
  }

  /**
   * Rule 4 at size: many gateways learn of one start at once, each with RPCs waiting for that
   * server.
   */
  @Test
  void manyGatewaysTogetherKeepAColdServersBudget() {
    int gateways = 80;
    List<RouterHarness> fleet = new ArrayList<>();
    for (int g = 0; g < gateways; g++) {
      fleet.add(RouterHarness.settled(RouterHarness.fleet(gateways, true), g));
    }
    SplittableRandom random = new SplittableRandom(5);
    List<Duration> sends = new ArrayList<>();
    Duration start = fleet.get(0).now.plus(ms(20_000));
    for (int k = 0; k < 2400; k++) {
      for (RouterHarness rig : fleet) {
        boolean falls = rig.now.equals(start.minus(ms(200)));
        if (falls || rig.now.equals(start)) {
          rig.server(0).told = falls ? EndpointStatus.REMOVED : EndpointStatus.ACTIVE;
          rig.server(0).start = falls ? null : start;
          rig.list();
        }
        // Two writes a second at each gateway; three more wait there when the primary returns.
        int burst = falls ? 3 : 0;
        for (int n = random.nextInt(50) == 0 ? burst + 1 : burst; n > 0; n--) {
          rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
          rig.arrive(Consistency.ANY, 0, Duration.ZERO);
          rig.arrive(Consistency.ANY, 0, Duration.ZERO);
        }
        rig.serve(ms(30));
        rig.wait(ms(10));
        rig.server(0).coldSends.stream()
            .filter(at -> at.compareTo(rig.now.minus(ms(10))) >= 0)
            .forEach(sends::add);
      }
    }
    for (Duration from : sends) {
      long within =
          sends.stream()
              .filter(at -> at.compareTo(from) >= 0 && at.compareTo(from.plus(ms(1000))) < 0)
              .count();
      double age = from.minus(start).plus(ms(500)).toMillis() / 6000.0;
      // 160 a second before, at two thirds of what a warm server can do.
      assertTrue(within <= 2 * Math.min(1, 0.25 + 0.75 * age) * 240, within + " at " + age);
    }
    assertTrue(sends.size() > 100, "it does get work: " + sends.size());
  }

  /**
   * Rule 4 where the settings are wrong: they know of ten gateways, the agreed view of eighty of
   * unequal parts, all just started, with a server that is cold. Each is told its share.
   */
  @Test
  void sharesThatAreToldKeepAColdServersBudgetWhereTheSettingsAreWrong() {
    int right = coldSends(80, 80, false);
    int wrong = coldSends(80, 10, false);
    int told = coldSends(80, 10, true);
    assertTrue(wrong > 2 * right, "what is told matters: " + wrong + " beside " + right);
    assertTrue(told <= right * 1.5, told + " beside " + right);
  }

  /**
   * Call-outs of gateways that know nothing yet to one cold server, in its first three fall
   * windows.
   */
  private static int coldSends(int gateways, int settings, boolean told) {
    int sends = 0;
    for (int g = 0; g < gateways; g++) {
      RouterHarness rig = RouterHarness.settled(RouterHarness.fleet(settings, true), g);
      if (told) {
        // A third of them have twice the part of the others.
        rig.router.setQuota((g % 3 == 0 ? 2.0 : 1.0) / (gateways + (gateways + 2) / 3));
      }
      rig.server(0).start = rig.now;
      rig.list();
      Duration end = rig.now.plus(rig.terms.overloadWindow().multipliedBy(3));
      while (rig.now.compareTo(end) < 0) {
        rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
        rig.wait(ms(20));
        sends +=
            rig.server(0).coldSends.stream()
                .filter(at -> at.compareTo(rig.now.minus(ms(20))) >= 0)
                .count();
      }
    }
    return sends;
  }

  /** Who is said to be gone may be there; who was said to drain stays barred until a new start. */
  @Test
  void whereOnlyDrainingBindsGoneServersServeOnAndDrainedOnesDoNot() {
    RouterHarness rig = RouterHarness.settled(RouterHarness.fleet(2, false), 7);
    rig.router.beginEndpointList(rig.now, false);
    rig.router.endpointListed(
        rig.now,
        rig.server(0).id,
        new ZoneId(0),
        new GroupId(0),
        EndpointStatus.REMOVED,
        null,
        false);
    rig.router.endEndpointList(rig.now);
    assertEquals(
        "s0", rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)).server().id.name());
    rig.server(0).told = EndpointStatus.DRAINING;
    rig.list();
    rig.server(0).told = EndpointStatus.ACTIVE;
    rig.list();
    assertTrue(rig.rpcs.get(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)).out.isEmpty());
    rig.server(0).start = rig.now.minus(RouterHarness.ms(9000));
    rig.list();
    assertEquals(
        "s0", rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)).server().id.name());
  }

  /**
   * Successors under new ids all day: kept for good, they filled memory and thinned what cold ones
   * got.
   */
  @Test
  void whoLeftTheListIsKnownNoMore() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 3; k < 1000; k++) {
      RouterHarness.Server server = new RouterHarness.Server(k, 0);
      server.told = EndpointStatus.ACTIVE;
      server.primary = k % 3 == 0;
      rig.servers.put(server.id.name(), server);
      RouterHarness.Server old = rig.server(k - 3);
      old.told = EndpointStatus.REMOVED;
      rig.list();
      rig.wait(ms(1));
      rig.report(server, rig.now);
      rig.wait(ms(300));
      String write = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
      assertEquals("s" + k / 3 * 3, rig.only(write).server().id.name());
      rig.wait(ms(2));
      rig.serve(Duration.ZERO);
    }
    assertEquals(997, rig.forgotten);
    rig.wait(rig.terms.slowStartDuration().plus(ms(300)));
    assertEquals(
        3, rig.router.describe(rig.now).split("s\\d+ ").length - 1, rig.router.describe(rig.now));
  }

  /**
   * Found in the simulator: one that died, left the list and came back was called out to without a
   * question.
   */
  @Test
  void whoLeftInDoubtComesBackInDoubt() {
    RouterHarness rig = RouterHarness.settled();
    rig.end(rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)), AttemptOutcome.UNREACHABLE);
    rig.wait(ms(100));
    rig.server(0).told = EndpointStatus.REMOVED;
    rig.list();
    List.copyOf(rig.probes).stream()
        .distinct()
        .forEach(
            id ->
                rig.router.healthCheckEnded(
                    rig.now,
                    id,
                    id.equals(rig.server(0).id) ? AttemptOutcome.TIMED_OUT : AttemptOutcome.OK,
                    null));
    rig.wait(ms(1000));
    assertEquals(1, rig.forgotten, "the host has nothing to keep");
    rig.server(0).told = EndpointStatus.ACTIVE;
    rig.probes.clear();
    rig.list();
    assertTrue(
        isCold(rig, 0) && rig.router.describe(rig.now).contains("ejected"),
        rig.router.describe(rig.now));
    String write = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
    assertEquals(0, rig.rpcs.get(write).sent);
    assertTrue(rig.probes.contains(rig.server(0).id), "asked before an RPC is risked");
  }

  /** Rings multiplied once: each left over from an earlier due time asked for another. */
  @Test
  void ringLeftOverAsksForNoOther() {
    RouterHarness rig = RouterHarness.settled();
    rig.arrive(Consistency.ANY, 0, Duration.ZERO);
    int asks = rig.dueAsks;
    for (int k = 0; k < 50; k++) {
      rig.router.timersDue(rig.now);
    }
    assertEquals(asks, rig.dueAsks);
  }

  /** Among equals, whoever answered slowly is not the first any more. */
  @Test
  void slowAnswerMovesItsServerBehindItsEquals() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 0; k < 30; k++) {
      RouterHarness.Sent sent = rig.only(rig.arrive(Consistency.ANY, 0, Duration.ZERO));
      rig.wait(ms(10));
      rig.end(sent, AttemptOutcome.OK);
    }
    RouterHarness.Sent slow = rig.only(rig.arrive(Consistency.ANY, 0, Duration.ZERO));
    rig.wait(ms(60));
    rig.end(slow, AttemptOutcome.OK);
    RouterHarness.Sent next = rig.only(rig.arrive(Consistency.ANY, 0, Duration.ZERO));
    assertFalse(next.server() == slow.server());
  }

  /** One failed probe proves nothing, as probes are capped; a second one in a row does. */
  @Test
  void oneFailedProbeSetsNoServerAside() {
    RouterHarness rig = RouterHarness.settled();
    rig.wait(ms(1));
    rig.router.healthCheckEnded(rig.now, rig.server(0).id, AttemptOutcome.TIMED_OUT, null);
    assertEquals(1, rig.rpcs.get(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)).sent);
    rig.router.healthCheckEnded(rig.now, rig.server(0).id, AttemptOutcome.TIMED_OUT, null);
    assertEquals(0, rig.rpcs.get(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)).sent);
  }

  /**
   * A dial refused by a full table, a lost connection: what answers on what was open is the same
   * process.
   */
  @Test
  void whoAnswersOnWhatWasOpenBeforeIsNoColder() {
    RouterHarness rig = RouterHarness.settled();
    RouterHarness.Sent before = rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO));
    rig.wait(ms(1));
    rig.end(rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)), AttemptOutcome.UNREACHABLE);
    assertTrue(isCold(rig, 0));
    rig.wait(ms(31));
    rig.end(before, AttemptOutcome.OK);
    assertFalse(isCold(rig, 0));
    assertFalse(rig.router.describe(rig.now).contains("ejected"));
  }

  /**
   * Found in the simulator: its last answer came in behind the news of its end, and it was pushed
   * over.
   */
  @Test
  void whatAServerSaidBeforeItsEndDoesNotProveThatItLives() {
    RouterHarness rig = RouterHarness.settled();
    RouterHarness.Sent before = rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO));
    rig.wait(ms(1));
    rig.end(rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)), AttemptOutcome.UNREACHABLE);
    rig.wait(ms(5));
    rig.end(before, AttemptOutcome.OK);
    assertTrue(isCold(rig, 0));
  }

  /** The other way: a process that nobody saw start again is spared, though it answers. */
  @Test
  void whoAnswersOnNewConnectionsAloneMayHaveStartedAgain() {
    RouterHarness rig = RouterHarness.settled();
    Duration before = rig.now;
    rig.wait(ms(1));
    rig.end(rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)), AttemptOutcome.UNREACHABLE);
    rig.wait(ms(400));
    rig.router.healthCheckEnded(rig.now, rig.server(0).id, AttemptOutcome.OK, rig.now);
    assertTrue(isCold(rig, 0));
    rig.router.healthCheckEnded(rig.now, rig.server(0).id, AttemptOutcome.OK, before);
    assertFalse(isCold(rig, 0));
    rig.server(0).start = rig.now;
    rig.list();
    rig.router.healthCheckEnded(rig.now, rig.server(0).id, AttemptOutcome.OK, before);
    assertTrue(isCold(rig, 0), "a start that is listed is one");
  }

  @Test
  void keptConnectionThatEndsSaysNothingOfItsServer() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 0; k < 6; k++) {
      String write = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
      rig.end(rig.only(write), AttemptOutcome.IDLE_CONNECTION_LOST);
      assertEquals("aborted", rig.rpcs.get(write).answer, "it may have run");
    }
    rig.probes.clear();
    rig.router.healthCheckEnded(
        rig.now, rig.server(0).id, AttemptOutcome.IDLE_CONNECTION_LOST, null);
    assertEquals(List.of(rig.server(0).id), rig.probes, "asked again on another connection");
    assertFalse(rig.router.describe(rig.now).contains("ejected") || isCold(rig, 0));
  }

  /**
   * Two ended at once by somebody who lives: set aside, as they may go on, but not taken for a cold
   * one.
   */
  @Test
  void whoTakesNothingIsSetAsideButNoColder() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 0; k < 2; k++) {
      assertFalse(rig.router.describe(rig.now).contains("ejected"));
      rig.end(
          rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)),
          AttemptOutcome.CLOSED_BEFORE_SEND);
    }
    assertTrue(rig.router.describe(rig.now).contains("ejected"));
    assertFalse(isCold(rig, 0));
  }

  /**
   * Processes that die and start again unlisted, among connections lost on processes that live:
   * whoever was found gone and started again is cold in the router's picture while it is, and the
   * others are mostly not.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void tellsALostProcessFromALostConnection(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RouterHarness rig =
        RouterHarness.settled(
            RouterHarness.terms(Effect.NON_IDEMPOTENT, Scope.GROUP, true, true, false), seed);
    Duration[] down = new Duration[3];
    Duration[] started = {Duration.ZERO, Duration.ZERO, Duration.ZERO};
    boolean[] noticed = new boolean[3];
    int live = 0;
    int wronged = 0;
    for (int step = 0; step < 4000; step++) {
      int victim = 1 + random.nextInt(2);
      if (random.nextInt(600) == 0 && down[victim] == null) {
        down[victim] = rig.now;
        noticed[victim] = false;
        for (RouterHarness.Sent sent : List.copyOf(rig.out)) {
          if (sent.server() == rig.server(victim)) {
            rig.end(sent, AttemptOutcome.CONNECTION_LOST);
          }
        }
      }
      for (int k = 1; k < 3; k++) {
        if (down[k] != null && rig.now.minus(down[k]).compareTo(ms(700)) > 0) {
          started[k] = rig.now;
          down[k] = null;
        }
      }
      rig.arrive(random.nextInt(3) == 0 ? Consistency.FRESH : Consistency.ANY, 0, Duration.ZERO);
      for (RouterHarness.Sent sent : List.copyOf(rig.out)) {
        int k = rig.server(0) == sent.server() ? 0 : rig.server(1) == sent.server() ? 1 : 2;
        if (down[k] != null) {
          noticed[k] = true;
          rig.end(sent, AttemptOutcome.UNREACHABLE);
        } else if (sent.at().equals(rig.now) && random.nextInt(50) == 0) {
          rig.end(
              sent,
              random.nextBoolean()
                  ? AttemptOutcome.UNREACHABLE
                  : AttemptOutcome.IDLE_CONNECTION_LOST);
        } else if (sent.at().plus(ms(5 + random.nextInt(40))).compareTo(rig.now) <= 0) {
          // Over a connection that may have been open for long, but for no longer than its process.
          Duration open = rig.now.minus(ms(random.nextInt(1500)));
          rig.end(sent, AttemptOutcome.OK, open.compareTo(started[k]) < 0 ? started[k] : open);
        }
      }
      for (ServerId id : List.copyOf(rig.probes)) {
        int k = Integer.parseInt(id.name().substring(1));
        noticed[k] |= down[k] != null;
        rig.router.healthCheckEnded(
            rig.now,
            id,
            down[k] == null ? AttemptOutcome.OK : AttemptOutcome.TIMED_OUT,
            down[k] == null ? rig.now : null);
      }
      rig.probes.clear();
      rig.wait(ms(random.nextInt(12)));
      for (int k = 0; k < 3; k++) {
        boolean restarted =
            rig.now.minus(started[k]).compareTo(rig.terms.slowStartDuration()) < 0
                && k > 0
                && !started[k].isZero();
        assertTrue(!restarted || !noticed[k] || isCold(rig, k), "cold, and not known to be: s" + k);
        live += down[k] == null && !restarted ? 1 : 0;
        wronged += down[k] == null && !restarted && isCold(rig, k) ? 1 : 0;
      }
    }
    assertTrue(wronged < live / 3, "taken for cold " + wronged + " of " + live);
  }

  private static boolean isCold(RouterHarness rig, int server) {
    return rig.router.describe(rig.now).matches("(?s).*\\bs" + server + " [^,]* warming-up.*");
  }

  /**
   * Cold returns that this gateway cannot see: a peer that finds no process says so, once for all.
   */
  @Test
  void whatAPeerFoundGoneIsThinnedHere() {
    RouterHarness rig = RouterHarness.settled(RouterHarness.fleet(200, true));
    rig.end(rig.only(rig.arrive(Consistency.WRITE, 0, Duration.ZERO)), AttemptOutcome.UNREACHABLE);
    assertEquals(List.of(rig.server(0).id), rig.tells);
    rig.router.gossipReceived(rig.now, new ServerId("nobody"));
    RouterHarness peer = RouterHarness.settled(RouterHarness.fleet(200, true));
    peer.router.gossipReceived(peer.now, peer.server(0).id);
    for (int k = 0; k < 100; k++) {
      peer.arrive(Consistency.WRITE, 0, Duration.ZERO);
      peer.wait(ms(1));
      List.copyOf(peer.out).forEach(s -> peer.end(s, AttemptOutcome.OK));
    }
    assertTrue(peer.rpcs.values().stream().filter(e -> e.sent > 0).count() < 20);
  }

  /** Against many gateways that all look for a primary together. */
  @Test
  void primaryIsSoughtEverMoreRarely() {
    RouterHarness rig = RouterHarness.settled();
    rig.router.reported(rig.now, rig.server(0).id, rig.now, false);
    rig.probes.clear();
    for (int k = 0; k < 100; k++) {
      rig.arrive(Consistency.FRESH, 0, Duration.ZERO);
      rig.wait(ms(50));
      rig.servers
          .values()
          .forEach(s -> rig.router.healthCheckEnded(rig.now, s.id, AttemptOutcome.OK, null));
    }
    assertTrue(rig.probes.size() <= 21 && rig.probes.size() >= 6, "in 5 s: " + rig.probes.size());
  }

  /**
   * Many gateways with an overdue answer each asked one loaded primary 77 times a second whether it
   * lives.
   */
  @Test
  void whoIsOverdueIsAskedEverMoreRarely() {
    RouterHarness rig = RouterHarness.settled();
    for (int k = 0; k < 30; k++) {
      String write = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
      rig.wait(ms(10));
      rig.end(rig.only(write), AttemptOutcome.OK);
    }
    rig.probes.clear();
    rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
    int asked = 0;
    for (int k = 0; k < 70; k++) {
      rig.wait(ms(20));
      asked += rig.probes.size();
      rig.probes.forEach(s -> rig.router.healthCheckEnded(rig.now, s, AttemptOutcome.OK, null));
      rig.probes.clear();
    }
    assertTrue(asked >= 2 && asked <= 5, "asked in 1.4 s: " + asked);
  }

  /**
   * A hundred gateways that know nothing yet gave each server one call-out each, all the time: a
   * jam.
   */
  @Test
  void firstWindowIsSharedByTheFleet() {
    int gateways = 80;
    int sent = 0;
    for (int g = 0; g < gateways; g++) {
      RouterHarness rig = RouterHarness.settled(RouterHarness.fleet(gateways, true), g);
      for (int k = 0; k < 60; k++) {
        rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
        rig.wait(ms(50));
        rig.serve(ms(300));
      }
      sent += rig.rpcs.values().stream().mapToInt(e -> e.sent).sum();
    }
    // Twelve in work at 300 ms each make 120 in 3 s, besides the one that each may try at once.
    assertTrue(sent > gateways && sent <= 120 + 2 * gateways, "in 3 s: " + sent);
  }

  /**
   * A gateway whose very first answer took long gave up all that it held, for as long as it saw
   * little.
   */
  @Test
  void oneSlowAnswerDoesNotMakeAllHopeless() {
    RouterHarness rig = RouterHarness.settled();
    String slow = rig.arrive(Consistency.FRESH, 0, Duration.ZERO);
    rig.wait(ms(350));
    rig.end(rig.only(slow), AttemptOutcome.OK);
    assertNull(heldFor(rig, ms(60)), "given up by one answer");
    for (int k = 0; k < 8; k++) {
      String quick = rig.arrive(Consistency.FRESH, 0, Duration.ZERO);
      rig.wait(ms(60));
      rig.end(rig.only(quick), AttemptOutcome.OK);
    }
    assertNull(
        heldFor(rig, ms(60)), "the first answer counts for more than the eight that followed");
  }

  /**
   * What a read had for an answer that only the primary may serve, while that drains; then it is
   * back.
   */
  private static String heldFor(RouterHarness rig, Duration span) {
    rig.server(0).told = EndpointStatus.DRAINING;
    rig.list();
    RouterHarness.Entry entry = rig.rpcs.get(rig.arrive(Consistency.FRESH, 0, Duration.ZERO));
    rig.wait(span);
    String answer = entry.answer;
    rig.server(0).told = EndpointStatus.ACTIVE;
    rig.server(0).start = rig.now.minus(ms(20_000));
    rig.list();
    rig.serve(ms(0));
    return answer;
  }

  /**
   * Reads that only the primary may serve waited out its rest for half their time, though it had
   * time to spare.
   */
  @Test
  void answerAtEaseEarnsAShortRest() {
    RouterHarness rig = RouterHarness.settled(RouterHarness.fleet(80, true));
    String first = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
    rig.wait(ms(40));
    rig.end(rig.only(first), AttemptOutcome.OK);
    String second = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
    rig.wait(ms(150));
    assertEquals(1, rig.rpcs.get(second).sent, "a tenth of its soft deadline was taken");
    rig.wait(ms(230));
    rig.end(rig.only(second), AttemptOutcome.OK);
    String third = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
    rig.wait(ms(500));
    assertEquals(0, rig.rpcs.get(third).sent, "nine tenths were taken");
  }

  /** Clients that leave before their time: what took longer than they stayed narrows the window. */
  @Test
  void clientsThatLeaveNarrowTheWindow() {
    RouterHarness rig = RouterHarness.settled();
    List<String> reads = new ArrayList<>();
    for (int k = 0; k < 400; k++) {
      reads.add(rig.arrive(Consistency.FRESH, 0, Duration.ZERO));
      rig.wait(ms(20));
      rig.leave(reads.get(Math.max(0, k - 5)));
    }
    assertTrue(reads.subList(200, 400).stream().filter(r -> rig.rpcs.get(r).sent > 0).count() < 60);
  }

  /** Held on to past half their time, few went out and the rest had no time left to come back. */
  @Test
  void whatWasNeverSentIsPushedBackBeforeHalfItsTime() {
    RouterHarness rig = RouterHarness.settled();
    rig.server(0).told = EndpointStatus.DRAINING;
    rig.list();
    String write = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
    rig.wait(RouterHarness.DEADLINE.dividedBy(2));
    RouterHarness.Entry entry = rig.rpcs.get(write);
    assertEquals("pushed back", entry.answer);
    assertTrue(
        entry.answeredAt.minus(entry.arrived).compareTo(RouterHarness.DEADLINE.dividedBy(3)) > 0,
        "too soon");
    // What has been out has had its chance taken, and is not cut short.
    rig.server(0).told = EndpointStatus.ACTIVE;
    rig.server(0).start = rig.now.minus(ms(20_000));
    rig.list();
    String sent = rig.arrive(Consistency.WRITE, 0, Duration.ZERO);
    rig.wait(RouterHarness.DEADLINE.dividedBy(2).plus(ms(1)));
    assertNull(rig.rpcs.get(sent).answer);
  }

  @Test
  void failedListCallIsAskedAgainWithoutFlooding() {
    RouterHarness rig =
        new RouterHarness(
            RouterHarness.terms(Effect.NON_IDEMPOTENT, Scope.GROUP, true, true, true), 1);
    assertEquals(1, rig.watches);
    for (int k = 0; k < 8; k++) {
      rig.router.endpointListFailed(rig.now);
      rig.wait(rig.terms.maxPollInterval());
    }
    assertEquals(9, rig.watches);
  }

  private static RouterHarness.Sent first(RouterHarness rig, String rpc) {
    List<RouterHarness.Sent> sent = rig.rpcs.get(rpc).out;
    return sent.isEmpty() ? null : sent.get(0);
  }
}
