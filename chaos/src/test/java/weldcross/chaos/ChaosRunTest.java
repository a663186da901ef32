package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import weldcross.chaos.history.ChaosRunResult;
import weldcross.chaos.history.GatewayLogs;
import weldcross.chaos.history.History;
import weldcross.chaos.history.HistoryChecker;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.LoadGenerator;
import weldcross.chaos.process.Await;
import weldcross.chaos.report.RunReport;
import weldcross.chaos.report.RunStatistics;
import weldcross.chaos.report.RunStore;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Scenario;

/** Short chaos runs of gateway processes with fixed seeds. */
@Timeout(120)
class ChaosRunTest {

  @RegisterExtension final RunDirectory runDirectory = new RunDirectory();

  private static Scenario scenario(
      String name, int seconds, int gateways, boolean meshEnabled, Fault... faults) {
    return TestScenarios.scenario()
        .name(name)
        .duration(Duration.ofSeconds(seconds))
        .gateways(gateways)
        .servers(2, 3)
        .serviceTime(Duration.ofMillis(3))
        .meshEnabled(meshEnabled)
        .logLevel("FINE")
        .faults(faults)
        .build();
  }

  private static Fault fault(
      int atMillis, int durationMillis, Fault.Kind kind, String host, String peer, String details) {
    return new Fault(
        Duration.ofMillis(atMillis), Duration.ofMillis(durationMillis), kind, host, peer, details);
  }

  private ChaosRunResult run(Scenario scenario) throws Exception {
    return ChaosRun.run(scenario, 11, runDirectory.path().resolve(scenario.name()), second -> {});
  }

  private static String describe(ChaosRunResult result) {
    return new RunStatistics(result).describe() + "\n" + result.violations();
  }

  @Test
  void killPauseAndCutLoseRequestsWithoutViolations() throws Exception {
    ChaosRunResult result =
        run(
            scenario(
                "faults",
                14,
                3,
                false,
                fault(2000, 1500, Fault.Kind.KILL, "n1", "", "old"),
                fault(6000, 1500, Fault.Kind.PAUSE, "n2", "", ""),
                fault(6000, 1500, Fault.Kind.CUT, "n0", "s1", "")));
    assertEquals(List.of(), result.violations(), describe(result));
    Map<String, Long> lost =
        result.history().operations().stream()
            .filter(
                operation ->
                    operation.outcome() != ClientOperation.Outcome.OK
                        && operation.outcome() != ClientOperation.Outcome.REJECTED)
            .collect(Collectors.groupingBy(ClientOperation::gateway, Collectors.counting()));
    assertTrue(lost.getOrDefault("n1", 0L) > 0, "the kill had an effect: " + describe(result));
    assertTrue(
        result.history().operations().stream()
            .anyMatch(
                operation ->
                    operation.gateway().equals("n2")
                        && operation.outcome() == ClientOperation.Outcome.TIMED_OUT),
        "the pause had an effect: " + describe(result));
    RunStatistics statistics = new RunStatistics(result);
    assertTrue(statistics.getTotal().getServed() > 1000, describe(result));
    assertEquals(
        1,
        result.restarts().stream().filter(restart -> restart.startsWith("n1")).count(),
        result.restarts().toString());

    // The history is stored without loss, and the report shows the faults.
    Path directory = runDirectory.path().resolve("faults");
    RunStore.write(result, directory);
    assertEquals(result.history(), RunStore.read(directory).history());
    String report = Files.readString(RunReport.write(result, directory));
    assertTrue(report.contains("kill n1 (old)") && report.contains("No rule broken"), report);
    assertEquals(0, Main.run("report", directory.toString()));
    // The log lines of a request are found.
    String requestId =
        result.history().operations().stream()
            .filter(operation -> operation.outcome() == ClientOperation.Outcome.OK)
            .findFirst()
            .get()
            .rpc();
    assertFalse(GatewayLogs.linesFor(directory, requestId).isEmpty());
  }

  /**
   * The checker finds a write applied twice and stale reads that faulty servers cause behind real
   * gateways.
   */
  @Test
  void checkerFindsViolationsByFaultyServers() throws Exception {
    Scenario scenario = scenario("faulty-servers", 1, 1, false);
    try (ChaosCluster cluster =
        new ChaosCluster(scenario, 1, runDirectory.path().resolve("faulty-servers"))) {
      cluster.start();
      long startNanos = cluster.clock().nanos();
      try (LoadGenerator load =
          new LoadGenerator(
              List.of(cluster.gateways().get(0).clientAddress()),
              2,
              () -> cluster.clock().nanos() - startNanos,
              5)) {
        load.start(200);
        Await.until(
            "requests are served", Duration.ofSeconds(20), () -> load.operationCount() > 200);
        cluster.server("s0").setDuplicatingWrites(true);
        // Replicas that lag far behind report a current position.
        for (String replica : List.of("s1", "s2", "s4", "s5")) {
          cluster.server(replica).setOverstatingPosition(true);
          cluster.server(replica).setLag(Duration.ofSeconds(5));
        }
        int before = load.operationCount();
        Await.until(
            "more requests are served",
            Duration.ofSeconds(20),
            () -> load.operationCount() > before + 600);
        load.stop();
        List<HistoryChecker.Rule> violated =
            HistoryChecker.check(
                    new History(
                        load.operations(),
                        load.unexpectedMessages(),
                        ChaosRun.commitsSinceStart(cluster.store(), startNanos),
                        ChaosRun.readsSinceStart(cluster.store(), startNanos),
                        List.of()))
                .stream()
                .map(HistoryChecker.Violation::rule)
                .toList();
        assertTrue(
            violated.contains(HistoryChecker.Rule.ONE_EFFECT)
                && violated.contains(HistoryChecker.Rule.FRESH),
            violated.toString());
      }
    }
  }

  /**
   * A disk acknowledges a stored incarnation and loses it: the restarted gateway learns from its
   * peers that its stored incarnation is outdated, and takes a higher one.
   */
  @Test
  void lostIncarnationIsReportedByPeers() throws Exception {
    Scenario scenario = scenario("lost-incarnation", 1, 3, true);
    Path directory = runDirectory.path().resolve("lost-incarnation");
    try (ChaosCluster cluster = new ChaosCluster(scenario, 1, directory)) {
      GatewayNode restarted = cluster.gateways().get(1);
      cluster.start();
      GatewayNode peer = cluster.gateways().get(0);
      awaitLog(peer, "mesh: connection up: peer=n1 incarnation=1");
      restarted.setDiskFaults("lie");
      restarted.process().kill();
      restarted.start();
      awaitLog(peer, "mesh: connection up: peer=n1 incarnation=2");
      restarted.process().kill();
      restarted.setDiskFaults("");
      restarted.start();
      awaitLog(restarted, "mesh: stored incarnation is outdated");
      awaitLog(peer, "mesh: connection up: peer=n1 incarnation=3");
      restarted.awaitReady();
    }
  }

  private static void awaitLog(GatewayNode gateway, String text) throws IOException {
    GatewayLogAssertions.awaitLog(gateway, 0, text, Duration.ofSeconds(30));
  }

  /** A gateway uses its wall clock to judge staleness; an offset must not cause stale reads. */
  @Test
  void clockOffsetCausesNoViolation() throws Exception {
    ChaosRunResult result =
        run(
            scenario(
                "clock",
                12,
                2,
                true,
                fault(1000, 300, Fault.Kind.CLOCK, "n0", "", "5000"),
                fault(1000, 300, Fault.Kind.CLOCK, "n1", "", "-5000")));
    assertEquals(List.of(), result.violations(), describe(result));
  }

  @Test
  void concurrentRunsDoNotInterfere() throws Exception {
    CompletableFuture<ChaosRunResult> firstRun =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return run(scenario("first", 4, 2, true));
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    ChaosRunResult second = run(scenario("second", 4, 2, true));
    ChaosRunResult first = firstRun.get();
    for (ChaosRunResult result : List.of(first, second)) {
      assertEquals(List.of(), result.violations(), describe(result));
      assertTrue(new RunStatistics(result).getTotal().getServed() > 300, describe(result));
    }
  }

  /** A killed chaos run leaves no gateway process behind, not even a paused one. */
  @Test
  void killedRunLeavesNoProcessBehind() throws Exception {
    Scenario scenario =
        scenario("killed", 60, 2, false, fault(0, 50_000, Fault.Kind.PAUSE, "n1", "", ""));
    Path file = runDirectory.path().resolve("killed.toml");
    Files.writeString(file, scenario.toml());
    Process run =
        new ProcessBuilder(
                ProcessHandle.current().info().command().orElse("java"),
                "-cp",
                System.getProperty("java.class.path"),
                "weldcross.chaos.Main",
                "run",
                file.toString(),
                "--out",
                runDirectory.path().toString())
            .redirectErrorStream(true)
            .redirectOutput(runDirectory.path().resolve("out").toFile())
            .start();
    Await.until(
        "two gateways run, one of them paused",
        Duration.ofSeconds(40),
        () -> gateways(run).size() == 2 && gateways(run).stream().anyMatch(ChaosRunTest::isPaused));
    List<ProcessHandle> gateways = gateways(run);
    run.destroyForcibly();
    for (ProcessHandle gateway : gateways) {
      Await.until(
          "process " + gateway.pid() + " has ended",
          Duration.ofSeconds(20),
          () -> !gateway.isAlive());
    }
  }

  private static List<ProcessHandle> gateways(Process run) {
    try (Stream<ProcessHandle> children = run.toHandle().children()) {
      return children
          .filter(child -> child.info().commandLine().orElse("").contains("weldcross.jar"))
          .toList();
    }
  }

  private static boolean isPaused(ProcessHandle process) {
    try {
      String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
      return stat.charAt(stat.lastIndexOf(')') + 2) == 'T';
    } catch (IOException e) {
      return false;
    }
  }
}
