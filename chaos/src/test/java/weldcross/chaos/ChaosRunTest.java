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
import org.junit.jupiter.api.io.TempDir;
import weldcross.chaos.history.HistoryChecker;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.LoadGenerator;
import weldcross.chaos.process.ManagedProcess;
import weldcross.chaos.report.LatencyStatistics;
import weldcross.chaos.report.Report;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Scenario;

/** Short trials of real processes with fixed seeds; the same verdict each time. */
@Timeout(120)
class ChaosRunTest {

  @TempDir private Path folder;

  private static Scenario scenario(
      String name, int seconds, int gateways, boolean linked, Fault... faults) {
    return new Scenario(
        name,
        "",
        Duration.ofSeconds(seconds),
        100,
        gateways,
        2,
        3,
        Duration.ofMillis(30),
        Duration.ofMillis(3),
        linked,
        0,
        "FINE",
        List.of(faults),
        List.of(),
        0);
  }

  private static Fault fault(
      int at, int lasting, Fault.Kind kind, String on, String to, String how) {
    return new Fault(Duration.ofMillis(at), Duration.ofMillis(lasting), kind, on, to, how);
  }

  private ChaosRun.Result play(Scenario scenario) throws Exception {
    return ChaosRun.play(scenario, 11, folder.resolve(scenario.name()), second -> {});
  }

  private static String told(ChaosRun.Result trial) {
    return new LatencyStatistics(trial).describe() + "\n" + trial.breaches();
  }

  @Test
  void killAPauseAndACutLoseRpcsAndBreakNoRule() throws Exception {
    ChaosRun.Result trial =
        play(
            scenario(
                "faults",
                14,
                3,
                false,
                fault(2000, 1500, Fault.Kind.KILL, "n1", "", "old"),
                fault(6000, 1500, Fault.Kind.PAUSE, "n2", "", ""),
                fault(6000, 1500, Fault.Kind.CUT, "n0", "s1", "")));
    assertEquals(List.of(), trial.breaches(), told(trial));
    Map<String, Long> lost =
        trial.evidence().asked().stream()
            .filter(
                a ->
                    a.outcome() != ClientOperation.ClientOutcome.OK
                        && a.outcome() != ClientOperation.ClientOutcome.PUSHED_BACK)
            .collect(Collectors.groupingBy(ClientOperation::gateway, Collectors.counting()));
    assertTrue(lost.getOrDefault("n1", 0L) > 0, "the kill acted: " + told(trial));
    assertTrue(
        trial.evidence().asked().stream()
            .anyMatch(
                a ->
                    a.gateway().equals("n2")
                        && a.outcome() == ClientOperation.ClientOutcome.SILENT),
        "the pause acted: " + told(trial));
    LatencyStatistics figures = new LatencyStatistics(trial);
    assertTrue(figures.getTotal().getServed() > 1000, told(trial));
    assertEquals(
        1,
        trial.ready().stream().filter(r -> r.startsWith("n1")).count(),
        trial.ready().toString());

    // The evidence is kept whole, and the page has the faults drawn in.
    Path directory = folder.resolve("faults");
    Report.keep(trial, directory);
    assertEquals(trial.evidence(), Report.kept(directory).evidence());
    String page = Files.readString(Report.write(trial, directory));
    assertTrue(page.contains("kill n1 (old)") && page.contains("No rule broken"), page);
    assertEquals(0, Main.run("report", directory.toString()));
    // Log lines of one RPC, of all gateways that had it.
    String rpc =
        trial.evidence().asked().stream()
            .filter(a -> a.outcome() == ClientOperation.ClientOutcome.OK)
            .findFirst()
            .get()
            .rpc();
    assertFalse(ChaosRun.lines(directory, rpc).isEmpty());
  }

  /** What servers do wrong by order is found by the audit, through real gateways. */
  @Test
  void plantedBreachesAreFound() throws Exception {
    Scenario scenario = scenario("planted", 1, 1, false);
    try (ChaosCluster ground = new ChaosCluster(scenario, 1, folder.resolve("planted"))) {
      ground.start();
      long zero = ground.clock().nanos();
      try (LoadGenerator load =
          new LoadGenerator(
              List.of(ground.gateways().get(0).address()),
              2,
              () -> ground.clock().nanos() - zero,
              5)) {
        load.begin(200);
        ManagedProcess.until("RPCs are served", Duration.ofSeconds(20), () -> load.count() > 200);
        ground.server("s0").doubling(true);
        // Replicas that are far behind say that they are not.
        for (String replica : List.of("s1", "s2", "s4", "s5")) {
          ground.server(replica).boasting(true);
          ground.server(replica).lag(Duration.ofSeconds(5));
        }
        int before = load.count();
        ManagedProcess.until(
            "more are served", Duration.ofSeconds(20), () -> load.count() > before + 600);
        load.end();
        List<HistoryChecker.Rule> broken =
            HistoryChecker.of(
                    new weldcross.chaos.history.History(
                        load.asked(),
                        load.unasked(),
                        ground.store().effects().stream()
                            .map(
                                e ->
                                    new weldcross.fakes.ReplicatedStoreModel.Effect(
                                        e.at() - zero,
                                        e.rpc(),
                                        e.group(),
                                        e.server(),
                                        e.key(),
                                        e.value(),
                                        e.sequence(),
                                        e.connection()))
                            .toList(),
                        ground.store().reads().stream()
                            .map(
                                r ->
                                    new weldcross.fakes.ReplicatedStoreModel.Read(
                                        r.at() - zero,
                                        r.rpc(),
                                        r.group(),
                                        r.server(),
                                        r.key(),
                                        r.position() - zero,
                                        r.seen()))
                            .toList(),
                        List.of()))
                .stream()
                .map(HistoryChecker.Breach::rule)
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
  void diskThatLiesIsToldByThePeers() throws Exception {
    Scenario scenario = scenario("lying", 1, 3, true);
    Path directory = folder.resolve("lying");
    try (ChaosCluster ground = new ChaosCluster(scenario, 1, directory)) {
      ChaosCluster.Gateway one = ground.gateways().get(1);
      ground.start();
      ChaosCluster.Gateway zero = ground.gateways().get(0);
      logs(zero, "mesh: connection up: peer=n1 incarnation=1");
      one.disk("lie");
      one.child().kill();
      one.start();
      logs(zero, "mesh: connection up: peer=n1 incarnation=2");
      one.child().kill();
      one.disk("");
      one.start();
      logs(one, "mesh: stored incarnation is outdated");
      logs(zero, "mesh: connection up: peer=n1 incarnation=3");
      one.awaitReady();
    }
  }

  private static void logs(ChaosCluster.Gateway gateway, String words) throws IOException {
    ManagedProcess.until(
        gateway.name() + " logs: " + words,
        Duration.ofSeconds(30),
        () -> {
          try {
            return Files.readString(gateway.log()).contains(words);
          } catch (IOException e) {
            return false;
          }
        });
  }

  /** A wall clock that is off shows in what a gateway takes for the present, and breaks no rule. */
  @Test
  void wallClockThatIsOffBreaksNoRule() throws Exception {
    ChaosRun.Result trial =
        play(
            scenario(
                "clock",
                12,
                2,
                true,
                fault(1000, 300, Fault.Kind.CLOCK, "n0", "", "5000"),
                fault(1000, 300, Fault.Kind.CLOCK, "n1", "", "-5000")));
    assertEquals(List.of(), trial.breaches(), told(trial));
  }

  @Test
  void twoTrialsAtOnceShareNothing() throws Exception {
    CompletableFuture<ChaosRun.Result> other =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return play(scenario("left", 4, 2, true));
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    ChaosRun.Result right = play(scenario("right", 4, 2, true));
    ChaosRun.Result left = other.get();
    for (ChaosRun.Result each : List.of(left, right)) {
      assertEquals(List.of(), each.breaches(), told(each));
      assertTrue(new LatencyStatistics(each).getTotal().getServed() > 300, told(each));
    }
  }

  /** Not even a trial that is killed leaves a process behind, paused ones among them. */
  @Test
  void trialThatIsKilledLeavesNoProcess() throws Exception {
    Scenario scenario =
        scenario("killed", 60, 2, false, fault(0, 50_000, Fault.Kind.PAUSE, "n1", "", ""));
    Path file = folder.resolve("killed.toml");
    Files.writeString(file, scenario.toml());
    Process trial =
        new ProcessBuilder(
                ProcessHandle.current().info().command().orElse("java"),
                "-cp",
                System.getProperty("java.class.path"),
                "weldcross.chaos.Main",
                "run",
                file.toString(),
                "--out",
                folder.toString())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("out").toFile())
            .start();
    ManagedProcess.until(
        "two gateways run, one stands still",
        Duration.ofSeconds(40),
        () ->
            gateways(trial).size() == 2 && gateways(trial).stream().anyMatch(ChaosRunTest::stands));
    List<ProcessHandle> gateways = gateways(trial);
    trial.destroyForcibly();
    for (ProcessHandle each : gateways) {
      ManagedProcess.until(
          "process " + each.pid() + " is gone", Duration.ofSeconds(20), () -> !each.isAlive());
    }
  }

  private static List<ProcessHandle> gateways(Process trial) {
    try (Stream<ProcessHandle> all = trial.toHandle().children()) {
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
