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
import weldcross.chaos.history.HistoryChecker;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.LoadGenerator;
import weldcross.chaos.process.Await;
import weldcross.chaos.report.RunReport;
import weldcross.chaos.report.RunStatistics;
import weldcross.chaos.report.RunStore;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Scenario;

/** Short trials of real processes with fixed seeds; the same verdict each time. */
@Timeout(120)
class ChaosRunTest {

  @RegisterExtension final RunDirectory runDirectory = new RunDirectory();

  private static Scenario scenario(
      String name, int seconds, int gateways, boolean linked, Fault... faults) {
    return TestScenarios.scenario()
        .name(name)
        .lasting(Duration.ofSeconds(seconds))
        .gateways(gateways)
        .servers(2, 3)
        .service(Duration.ofMillis(3))
        .linked(linked)
        .log("FINE")
        .faults(faults)
        .build();
  }

  private static Fault fault(
      int at, int lasting, Fault.Kind kind, String on, String to, String how) {
    return new Fault(Duration.ofMillis(at), Duration.ofMillis(lasting), kind, on, to, how);
  }

  private ChaosRunResult run(Scenario scenario) throws Exception {
    return ChaosRun.run(scenario, 11, runDirectory.path().resolve(scenario.name()), second -> {});
  }

  private static String describe(ChaosRunResult result) {
    return new RunStatistics(result).describe() + "\n" + result.violations();
  }

  @Test
  void killPauseAndCutLoseRequestsAndBreakNoRule() throws Exception {
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
                a ->
                    a.outcome() != ClientOperation.Outcome.OK
                        && a.outcome() != ClientOperation.Outcome.REJECTED)
            .collect(Collectors.groupingBy(ClientOperation::gateway, Collectors.counting()));
    assertTrue(lost.getOrDefault("n1", 0L) > 0, "the kill acted: " + describe(result));
    assertTrue(
        result.history().operations().stream()
            .anyMatch(
                a -> a.gateway().equals("n2") && a.outcome() == ClientOperation.Outcome.TIMED_OUT),
        "the pause acted: " + describe(result));
    RunStatistics statistics = new RunStatistics(result);
    assertTrue(statistics.getTotal().getServed() > 1000, describe(result));
    assertEquals(
        1,
        result.restarts().stream().filter(r -> r.startsWith("n1")).count(),
        result.restarts().toString());

    // The evidence is kept whole, and the page has the faults drawn in.
    Path directory = runDirectory.path().resolve("faults");
    RunStore.write(result, directory);
    assertEquals(result.history(), RunStore.read(directory).history());
    String page = Files.readString(RunReport.write(result, directory));
    assertTrue(page.contains("kill n1 (old)") && page.contains("No rule broken"), page);
    assertEquals(0, Main.run("report", directory.toString()));
    // Log lines of one RPC, of all gateways that had it.
    String rpc =
        result.history().operations().stream()
            .filter(a -> a.outcome() == ClientOperation.Outcome.OK)
            .findFirst()
            .get()
            .rpc();
    assertFalse(GatewayLogs.linesOf(directory, rpc).isEmpty());
  }

  /** What servers do wrong by order is found by the audit, through real gateways. */
  @Test
  void serverFaultsThatBreakRulesAreFound() throws Exception {
    Scenario scenario = scenario("planted", 1, 1, false);
    try (ChaosCluster cluster =
        new ChaosCluster(scenario, 1, runDirectory.path().resolve("planted"))) {
      cluster.start();
      long zero = cluster.clock().nanos();
      try (LoadGenerator load =
          new LoadGenerator(
              List.of(cluster.gateways().get(0).clientAddress()),
              2,
              () -> cluster.clock().nanos() - zero,
              5)) {
        load.start(200);
        Await.until("RPCs are served", Duration.ofSeconds(20), () -> load.operationCount() > 200);
        cluster.server("s0").setDuplicatingWrites(true);
        // Replicas that are far behind say that they are not.
        for (String replica : List.of("s1", "s2", "s4", "s5")) {
          cluster.server(replica).setOverstatingPosition(true);
          cluster.server(replica).setLag(Duration.ofSeconds(5));
        }
        int before = load.operationCount();
        Await.until(
            "more are served", Duration.ofSeconds(20), () -> load.operationCount() > before + 600);
        load.stop();
        List<HistoryChecker.Rule> broken =
            HistoryChecker.check(
                    new weldcross.chaos.history.History(
                        load.operations(),
                        load.unexpectedMessages(),
                        ChaosRun.commitsSinceStart(cluster.store(), zero),
                        ChaosRun.readsSinceStart(cluster.store(), zero),
                        List.of()))
                .stream()
                .map(HistoryChecker.Violation::rule)
                .toList();
        assertTrue(
            broken.contains(HistoryChecker.Rule.ONE_EFFECT)
                && broken.contains(HistoryChecker.Rule.FRESH),
            broken.toString());
      }
    }
  }

  /**
   * A disk that lost an incarnation it had said was kept: the peers know it, and the gateway says
   * so.
   */
  @Test
  void lostIncarnationIsReportedByPeers() throws Exception {
    Scenario scenario = scenario("lying", 1, 3, true);
    Path directory = runDirectory.path().resolve("lying");
    try (ChaosCluster cluster = new ChaosCluster(scenario, 1, directory)) {
      GatewayNode one = cluster.gateways().get(1);
      cluster.start();
      GatewayNode zero = cluster.gateways().get(0);
      logs(zero, "mesh: connection up: peer=n1 incarnation=1");
      one.setDiskFaults("lie");
      one.process().kill();
      one.start();
      logs(zero, "mesh: connection up: peer=n1 incarnation=2");
      one.process().kill();
      one.setDiskFaults("");
      one.start();
      logs(one, "mesh: stored incarnation is outdated");
      logs(zero, "mesh: connection up: peer=n1 incarnation=3");
      one.awaitReady();
    }
  }

  private static void logs(GatewayNode gateway, String text) throws IOException {
    GatewayLogAssertions.awaitLog(gateway, 0, text, Duration.ofSeconds(30));
  }

  /** A wall clock that is off shows in what a gateway takes for the present, and breaks no rule. */
  @Test
  void clockThatIsOffBreaksNoRule() throws Exception {
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
  void twoRunsAtOnceShareNothing() throws Exception {
    CompletableFuture<ChaosRunResult> other =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return run(scenario("left", 4, 2, true));
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    ChaosRunResult right = run(scenario("right", 4, 2, true));
    ChaosRunResult left = other.get();
    for (ChaosRunResult each : List.of(left, right)) {
      assertEquals(List.of(), each.violations(), describe(each));
      assertTrue(new RunStatistics(each).getTotal().getServed() > 300, describe(each));
    }
  }

  /** Not even a trial that is killed leaves a process behind, paused ones among them. */
  @Test
  void runThatIsKilledLeavesNoProcess() throws Exception {
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
        "two gateways run, one stands still",
        Duration.ofSeconds(40),
        () -> gateways(run).size() == 2 && gateways(run).stream().anyMatch(ChaosRunTest::stands));
    List<ProcessHandle> gateways = gateways(run);
    run.destroyForcibly();
    for (ProcessHandle each : gateways) {
      Await.until(
          "process " + each.pid() + " is gone", Duration.ofSeconds(20), () -> !each.isAlive());
    }
  }

  private static List<ProcessHandle> gateways(Process run) {
    try (Stream<ProcessHandle> all = run.toHandle().children()) {
      return all.filter(p -> p.info().commandLine().orElse("").contains("weldcross.jar")).toList();
    }
  }

  private static boolean stands(ProcessHandle process) {
    try {
      String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
      return stat.charAt(stat.lastIndexOf(')') + 2) == 'T';
    } catch (IOException e) {
      return false;
    }
  }
}
