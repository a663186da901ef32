package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import weldcross.chaos.process.ManagedProcess;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Scenario;

/** What gateways see of each other, as processes under faults. */
@Timeout(150)
class MembershipChaosTest {

  private static final Duration LAG = Duration.ofMillis(30);

  @TempDir private Path folder;

  private ChaosCluster ground(int gateways) throws IOException {
    ChaosCluster ground =
        new ChaosCluster(
            new Scenario(
                "seen",
                "",
                Duration.ofSeconds(1),
                100,
                gateways,
                1,
                2,
                LAG,
                Duration.ofMillis(2),
                true,
                0,
                "INFO",
                List.of(),
                List.of(),
                0),
            3,
            folder);
    ground.start();
    for (ChaosCluster.Gateway a : ground.gateways()) {
      for (ChaosCluster.Gateway b : ground.gateways()) {
        if (a != b) {
          tells(a, 0, "peer=" + b.name() + " state=ALIVE");
        }
      }
    }
    return ground;
  }

  private static Fault fault(Fault.Kind kind, String on, String how) {
    return new Fault(Duration.ZERO, Duration.ZERO, kind, on, "", how);
  }

  private static String log(ChaosCluster.Gateway gateway) {
    try {
      return Files.readString(gateway.log());
    } catch (IOException e) {
      return "";
    }
  }

  private static void tells(ChaosCluster.Gateway gateway, int from, String words)
      throws IOException {
    ManagedProcess.until(
        gateway.name() + " tells: " + words,
        Duration.ofSeconds(40),
        () -> log(gateway).substring(from).contains("membership: member state changed: " + words));
  }

  /**
   * A process that stands still is silent and never gone; one that is killed is gone by proof; both
   * come back.
   */
  @Test
  void pausedIsSilentAndKilledIsGone() throws IOException {
    try (ChaosCluster ground = ground(4)) {
      FaultInjector havoc = new FaultInjector(ground);
      ChaosCluster.Gateway n0 = ground.gateway("n0");
      Fault pause = fault(Fault.Kind.PAUSE, "n1", "");
      havoc.begin(pause);
      tells(n0, 0, "peer=n1 state=UNREACHABLE");
      int from = log(n0).length();
      havoc.end(pause, LAG);
      tells(n0, from, "peer=n1 state=ALIVE");
      for (ChaosCluster.Gateway each : ground.gateways()) {
        assertFalse(log(each).contains("peer=n1 state=DEAD"), each.name());
      }
      int before = log(n0).length();
      Fault kill = fault(Fault.Kind.KILL, "n2", "old");
      havoc.begin(kill);
      tells(n0, before, "peer=n2 state=DEAD incarnation=1");
      havoc.end(kill, LAG);
      tells(n0, before, "peer=n2 state=ALIVE incarnation=2");
      havoc.begin(fault(Fault.Kind.TERM, "n3", ""));
      tells(n0, before, "peer=n3 state=DEAD incarnation=1");
    }
  }

  /**
   * Each side holds the other silent, nobody gone; healed, all are here again without an operator.
   */
  @Test
  void splitIsSilenceAndHealsByItself() throws IOException {
    try (ChaosCluster ground = ground(4)) {
      FaultInjector havoc = new FaultInjector(ground);
      Fault split = fault(Fault.Kind.SPLIT, "", "n0,n1|n2,n3");
      havoc.begin(split);
      tells(ground.gateway("n0"), 0, "peer=n2 state=UNREACHABLE");
      tells(ground.gateway("n3"), 0, "peer=n1 state=UNREACHABLE");
      int[] from = ground.gateways().stream().mapToInt(g -> log(g).length()).toArray();
      havoc.end(split, LAG);
      tells(ground.gateway("n0"), from[0], "peer=n2 state=ALIVE");
      tells(ground.gateway("n3"), from[3], "peer=n1 state=ALIVE");
      for (ChaosCluster.Gateway each : ground.gateways()) {
        assertFalse(log(each).contains("state=DEAD"), each.name());
      }
    }
  }
}
