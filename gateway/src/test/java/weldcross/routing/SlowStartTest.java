package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;

class SlowStartTest {

  /** An attempt scheduled for a warm server was not charged to a slow-start budget. */
  @Test
  void attemptForAWarmServerIsNotSentOnceTheServerHasRestarted() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    RouterHarness.SentAttempt read = harness.send(Consistency.ANY);
    assertTrue(harness.isStillEligible(read));
    read.server().startedAt = harness.now;
    harness.publishEndpointList();
    assertFalse(harness.isStillEligible(read));
  }

  @Test
  void warmingServerIsNotSentMoreThanItsBudget() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 0; i < 3000; i++) {
      if (i == 1500) {
        harness.server(2).startedAt = harness.now;
        harness.publishEndpointList();
        harness.server(2).slowStartSends.clear();
      }
      if (i % 20 == 0) {
        harness.servers.values().forEach(server -> harness.report(server, harness.now));
      }
      harness.arrive(Consistency.ANY);
      harness.advance(ms(2));
      harness.answerOlderThan(ms(8));
      Duration startedAt =
          harness.server(2).startedAt == null ? harness.now : harness.server(2).startedAt;
      double age = harness.now.minus(startedAt).toMillis() / 6000.0;
      assertTrue(harness.server(2).slowStartSends.size() <= 2 * (0.25 + 0.75 * age) * 250 * 1.05);
    }
    assertFalse(harness.server(2).slowStartSends.isEmpty());
  }

  /** Many gateways learn of a start at the same time, each with requests queued for that server. */
  @Test
  void manyGatewaysTogetherStayWithinTheBudgetOfAWarmingServer() {
    int gateways = 80;
    List<RouterHarness> fleet = new ArrayList<>();
    for (int gateway = 0; gateway < gateways; gateway++) {
      fleet.add(RouterHarness.withKnownPrimary(RoutingConfigs.fleet(gateways, true), gateway));
    }
    Duration restartAt = fleet.get(0).now.plus(ms(20_000));
    List<Duration> sends = sendsAroundARestart(fleet, restartAt);
    for (Duration from : sends) {
      long within =
          sends.stream()
              .filter(at -> at.compareTo(from) >= 0 && at.compareTo(from.plus(ms(1000))) < 0)
              .count();
      double age = from.minus(restartAt).plus(ms(500)).toMillis() / 6000.0;
      // A warm server can handle 240 writes per second; before the restart it received 160.
      assertTrue(
          within <= 2 * Math.min(1, 0.25 + 0.75 * age) * 240,
          within + " attempts in the second at warm-up progress " + age);
    }
    assertTrue(sends.size() > 100, "attempts sent: " + sends.size());
  }

  private static List<Duration> sendsAroundARestart(List<RouterHarness> fleet, Duration restartAt) {
    SplittableRandom random = new SplittableRandom(5);
    List<Duration> sends = new ArrayList<>();
    for (int step = 0; step < 2400; step++) {
      for (RouterHarness harness : fleet) {
        boolean isStopping = harness.now.equals(restartAt.minus(ms(200)));
        if (isStopping || harness.now.equals(restartAt)) {
          harness.server(0).listedStatus =
              isStopping ? EndpointStatus.REMOVED : EndpointStatus.ACTIVE;
          harness.server(0).startedAt = isStopping ? null : restartAt;
          harness.publishEndpointList();
        }
        // Two writes per second at each gateway; three more are queued there while the primary
        // restarts.
        int burst = isStopping ? 3 : 0;
        for (int remaining = random.nextInt(50) == 0 ? burst + 1 : burst;
            remaining > 0;
            remaining--) {
          harness.arrive(Consistency.WRITE);
          harness.arrive(Consistency.ANY);
          harness.arrive(Consistency.ANY);
        }
        harness.answerOlderThan(ms(30));
        harness.advance(ms(10));
        harness.server(0).slowStartSends.stream()
            .filter(at -> at.compareTo(harness.now.minus(ms(10))) >= 0)
            .forEach(sends::add);
      }
    }
    return sends;
  }

  /**
   * The configuration specifies ten gateways, but there are eighty with unequal quotas, all newly
   * started.
   */
  @Test
  void quotasEnforceTheBudgetOfAWarmingServerIfTheConfiguredFleetSizeIsWrong() {
    int correctSize = slowStartSends(80, 80, false);
    int wrongSize = slowStartSends(80, 10, false);
    int withQuotas = slowStartSends(80, 10, true);
    assertTrue(
        wrongSize > 2 * correctSize,
        "attempts with the wrong fleet size: "
            + wrongSize
            + ", with the right one: "
            + correctSize);
    assertTrue(
        withQuotas <= correctSize * 1.5,
        "attempts with quotas: " + withQuotas + ", with the right fleet size: " + correctSize);
  }

  /**
   * Returns the number of attempts that new gateways send to one warming server in three overload
   * windows.
   *
   * @param configuredGateways the number of gateways in the configuration
   */
  private static int slowStartSends(int gateways, int configuredGateways, boolean withQuotas) {
    int sends = 0;
    for (int gateway = 0; gateway < gateways; gateway++) {
      RouterHarness harness =
          RouterHarness.withKnownPrimary(RoutingConfigs.fleet(configuredGateways, true), gateway);
      if (withQuotas) {
        // A third of the gateways have twice the quota of the others.
        harness.router.setQuota((gateway % 3 == 0 ? 2.0 : 1.0) / (gateways + (gateways + 2) / 3));
      }
      harness.server(0).startedAt = harness.now;
      harness.publishEndpointList();
      Duration end = harness.now.plus(harness.config.overloadWindow().multipliedBy(3));
      while (harness.now.compareTo(end) < 0) {
        harness.arrive(Consistency.WRITE);
        harness.advance(ms(20));
        sends +=
            Math.toIntExact(
                harness.server(0).slowStartSends.stream()
                    .filter(at -> at.compareTo(harness.now.minus(ms(20))) >= 0)
                    .count());
      }
    }
    return sends;
  }

  /**
   * An answer on a connection opened before the presumed restart shows that the process is the
   * same.
   */
  @Test
  void answerOnAnOlderConnectionRevertsAPresumedRestart() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    final RouterHarness.SentAttempt before = harness.send(Consistency.WRITE);
    harness.advance(ms(1));
    harness.end(harness.send(Consistency.WRITE), AttemptOutcome.UNREACHABLE);
    assertTrue(harness.isWarmingUp(0));
    harness.advance(ms(31));
    harness.end(before, AttemptOutcome.OK);
    assertFalse(harness.isWarmingUp(0));
    assertFalse(harness.hasEjected());
  }

  /** The last answer of a process may arrive just after its failure was detected. */
  @Test
  void answerSentBeforeAProcessFailedDoesNotRevertAPresumedRestart() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    final RouterHarness.SentAttempt before = harness.send(Consistency.WRITE);
    harness.advance(ms(1));
    harness.end(harness.send(Consistency.WRITE), AttemptOutcome.UNREACHABLE);
    harness.advance(ms(5));
    harness.end(before, AttemptOutcome.OK);
    assertTrue(harness.isWarmingUp(0));
  }

  /** A server may have restarted unnoticed, so it stays in slow start even though it answers. */
  @Test
  void answerOnANewConnectionDoesNotRevertAPresumedRestart() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    final Duration before = harness.now;
    harness.advance(ms(1));
    harness.end(harness.send(Consistency.WRITE), AttemptOutcome.UNREACHABLE);
    harness.advance(ms(400));
    harness.router.healthCheckEnded(
        harness.now, harness.server(0).id, AttemptOutcome.OK, harness.now);
    assertTrue(harness.isWarmingUp(0));
    harness.router.healthCheckEnded(harness.now, harness.server(0).id, AttemptOutcome.OK, before);
    assertFalse(harness.isWarmingUp(0));
    harness.server(0).startedAt = harness.now;
    harness.publishEndpointList();
    harness.router.healthCheckEnded(harness.now, harness.server(0).id, AttemptOutcome.OK, before);
    assertTrue(harness.isWarmingUp(0), "a listed start is not reverted");
  }

  /**
   * Unlisted restarts, mixed with lost connections to live processes. A server whose crash was
   * noticed must be considered warming up for as long as it is; other servers mostly must not.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void restartsAreDistinguishedFromLostConnections(long seed) {
    RestartSimulation simulation = new RestartSimulation(seed);
    for (int step = 0; step < 4000; step++) {
      simulation.step();
    }
    assertTrue(simulation.misjudgedWarmChecks < simulation.warmChecks / 3, simulation.toString());
  }

  /**
   * Simulates servers that crash and restart without being listed, and lost connections to live
   * ones.
   */
  private static final class RestartSimulation {
    private static final int SERVERS = 3;

    private final SplittableRandom random;
    private final RouterHarness harness;

    /** When the server went down; null while it is up. */
    private final Duration[] downSince = new Duration[SERVERS];

    private final Duration[] startedAt = {Duration.ZERO, Duration.ZERO, Duration.ZERO};

    /** Whether the router could have noticed the last crash. */
    private final boolean[] noticed = new boolean[SERVERS];

    /** Number of checks of servers that were live and warm. */
    private int warmChecks;

    /** Number of {@link #warmChecks} in which the router considered the server to be warming up. */
    private int misjudgedWarmChecks;

    RestartSimulation(long seed) {
      this.random = new SplittableRandom(seed);
      this.harness =
          RouterHarness.withKnownPrimary(
              RoutingConfigs.withWrites(
                  Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, true, false),
              seed);
    }

    void step() {
      crash(1 + random.nextInt(2));
      restart();
      harness.arrive(random.nextInt(3) == 0 ? Consistency.FRESH : Consistency.ANY);
      List.copyOf(harness.inFlight).forEach(this::endAttempt);
      List.copyOf(harness.healthChecks).forEach(this::endHealthCheck);
      harness.healthChecks.clear();
      harness.advance(ms(random.nextInt(12)));
      for (int server = 0; server < SERVERS; server++) {
        check(server);
      }
    }

    private void crash(int server) {
      if (random.nextInt(600) != 0 || downSince[server] != null) {
        return;
      }
      downSince[server] = harness.now;
      noticed[server] = false;
      for (RouterHarness.SentAttempt sent : List.copyOf(harness.inFlight)) {
        if (sent.server() == harness.server(server)) {
          harness.end(sent, AttemptOutcome.CONNECTION_LOST);
        }
      }
    }

    private void restart() {
      for (int server = 1; server < SERVERS; server++) {
        if (downSince[server] != null
            && harness.now.minus(downSince[server]).compareTo(ms(700)) > 0) {
          startedAt[server] = harness.now;
          downSince[server] = null;
        }
      }
    }

    private void endAttempt(RouterHarness.SentAttempt sent) {
      int server = number(sent.server().id);
      if (downSince[server] != null) {
        noticed[server] = true;
        harness.end(sent, AttemptOutcome.UNREACHABLE);
      } else if (sent.sentAt().equals(harness.now) && random.nextInt(50) == 0) {
        harness.end(
            sent,
            random.nextBoolean()
                ? AttemptOutcome.UNREACHABLE
                : AttemptOutcome.IDLE_CONNECTION_LOST);
      } else if (sent.sentAt().plus(ms(5 + random.nextInt(40))).compareTo(harness.now) <= 0) {
        // The connection may be old, but not older than the server process.
        Duration openSince = harness.now.minus(ms(random.nextInt(1500)));
        harness.end(sent, AttemptOutcome.OK, Durations.later(openSince, startedAt[server]));
      }
    }

    private void endHealthCheck(ServerId id) {
      boolean down = downSince[number(id)] != null;
      noticed[number(id)] |= down;
      harness.router.healthCheckEnded(
          harness.now,
          id,
          down ? AttemptOutcome.TIMED_OUT : AttemptOutcome.OK,
          down ? null : harness.now);
    }

    private void check(int server) {
      boolean restarted =
          harness.now.minus(startedAt[server]).compareTo(harness.config.slowStartDuration()) < 0
              && server > 0
              && !startedAt[server].isZero();
      assertTrue(
          !restarted || !noticed[server] || harness.isWarmingUp(server),
          "the router does not consider the warming server to be warming up: s" + server);
      boolean warm = downSince[server] == null && !restarted;
      warmChecks += warm ? 1 : 0;
      misjudgedWarmChecks += warm && harness.isWarmingUp(server) ? 1 : 0;
    }

    private static int number(ServerId id) {
      return Integer.parseInt(id.name().substring(1));
    }

    @Override
    public String toString() {
      return "considered to be warming up: " + misjudgedWarmChecks + " of " + warmChecks;
    }
  }

  /** Gossip tells a gateway about a restart that it cannot notice itself. */
  @Test
  void serverThatAPeerCouldNotReachIsPutIntoSlowStart() {
    RouterHarness harness = RouterHarness.withKnownPrimary(RoutingConfigs.fleet(200, true));
    harness.end(harness.send(Consistency.WRITE), AttemptOutcome.UNREACHABLE);
    assertEquals(List.of(harness.server(0).id), harness.gossiped);
    harness.router.gossipReceived(harness.now, new ServerId("unknown"));
    RouterHarness peer = RouterHarness.withKnownPrimary(RoutingConfigs.fleet(200, true));
    peer.router.gossipReceived(peer.now, peer.server(0).id);
    for (int i = 0; i < 100; i++) {
      peer.arrive(Consistency.WRITE);
      peer.advance(ms(1));
      List.copyOf(peer.inFlight).forEach(sent -> peer.end(sent, AttemptOutcome.OK));
    }
    assertTrue(
        peer.requests.values().stream().filter(tracked -> tracked.attemptCount > 0).count() < 20);
  }

  @Test
  void startedServerWarmsUpForTheConfiguredTime() {
    RouterComponents components = new RouterComponents(2);
    EndpointState endpoint = components.endpoint(0);
    components.slowStart.begin(ms(1000), endpoint, ms(1000));
    assertTrue(components.slowStart.isWarmingUp(ms(6999), endpoint));
    assertFalse(components.slowStart.isWarmingUp(ms(7000), endpoint));
    assertFalse(components.slowStart.isWarmingUp(ms(1000), components.endpoint(1)));
  }

  @Test
  void presumedRestartIsRevertedWhenAnOlderProcessAnswersAfterTheMargin() {
    RouterComponents components = new RouterComponents(2);
    EndpointState endpoint = components.endpoint(0);
    components.slowStart.presumeRestart(ms(1000), endpoint);
    components.slowStart.confirmAlive(ms(1030), endpoint, ms(900));
    assertTrue(components.slowStart.isWarmingUp(ms(1030), endpoint));
    components.slowStart.confirmAlive(ms(1031), endpoint, ms(900));
    assertFalse(components.slowStart.isWarmingUp(ms(1031), endpoint));
  }

  @Test
  void processAliveSinceBetweenTwoPresumedRestartsWarmsUpFromThatTime() {
    RouterComponents components = new RouterComponents(2);
    EndpointState endpoint = components.endpoint(0);
    components.slowStart.presumeRestart(ms(1000), endpoint);
    components.slowStart.presumeRestart(ms(2000), endpoint);
    components.slowStart.confirmAlive(ms(2100), endpoint, ms(1500));
    assertEquals(ms(1500), endpoint.warmUpStartedAt);
  }

  @Test
  void queuedRequestIsAdmittedToAWarmingServerOnlyAtItsNextSendTime() {
    RouterComponents components = new RouterComponents(2);
    EndpointState endpoint = components.endpoint(0);
    RequestState queued = components.request(Consistency.ANY, ms(0));
    components.slowStart.begin(ms(0), endpoint, ms(0));
    components.slowStart.recordSend(ms(100), queued, endpoint);
    Duration next = endpoint.nextSlowStartSendAt;
    assertTrue(next.compareTo(ms(100)) > 0);
    assertFalse(components.slowStart.admits(next.minusNanos(1), queued, endpoint));
    assertTrue(components.slowStart.admits(next, queued, endpoint));
  }

  @Test
  void warmServerIsNotLimitedByASlowStartBudget() {
    RouterComponents components = new RouterComponents(2);
    components.endpoint(0).nextSlowStartSendAt = ms(9000);
    RequestState queued = components.request(Consistency.ANY, ms(0));
    assertTrue(components.slowStart.admits(ms(100), queued, components.endpoint(0)));
  }
}
