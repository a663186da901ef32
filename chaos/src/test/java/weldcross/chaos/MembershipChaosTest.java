package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static weldcross.chaos.GatewayLogAssertions.awaitAllAlive;
import static weldcross.chaos.GatewayLogAssertions.awaitLog;
import static weldcross.chaos.GatewayLogAssertions.log;
import static weldcross.chaos.TestScenarios.REPLICA_LAG;
import static weldcross.chaos.TestScenarios.fault;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import weldcross.chaos.scenario.Fault;

/** Tests the failure detection between gateway processes under faults. */
@Timeout(150)
class MembershipChaosTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(40);

  @RegisterExtension final RunDirectory runDirectory = new RunDirectory();

  /** Starts four gateways and waits until they see each other alive. */
  private ChaosCluster start() throws IOException {
    ChaosCluster cluster =
        new ChaosCluster(
            TestScenarios.scenario()
                .gateways(4)
                .servers(1, 2)
                .meshEnabled(true)
                .logLevel("FINE")
                .build(),
            3,
            runDirectory.path());
    cluster.start();
    awaitAllAlive(cluster, TIMEOUT);
    return cluster;
  }

  private static void awaitState(GatewayNode gateway, int from, String state) throws IOException {
    awaitLog(gateway, from, GatewayLogAssertions.STATE_CHANGED + state, TIMEOUT);
  }

  @Test
  void pausedMemberIsUnreachableAndKilledMemberIsDead() throws IOException {
    try (ChaosCluster cluster = start()) {
      FaultInjector injector = new FaultInjector(cluster);
      GatewayNode n0 = cluster.gateway("n0");
      Fault pause = fault(Fault.Kind.PAUSE, "n1", "", "");
      injector.inject(pause);
      awaitState(n0, 0, "peer=n1 state=UNREACHABLE");
      int from = log(n0).length();
      injector.heal(pause, REPLICA_LAG);
      awaitState(n0, from, "peer=n1 state=ALIVE");
      for (GatewayNode gateway : cluster.gateways()) {
        assertFalse(log(gateway).contains("peer=n1 state=DEAD"), gateway.name());
      }
      int before = log(n0).length();
      Fault kill = fault(Fault.Kind.KILL, "n2", "", "old");
      injector.inject(kill);
      awaitState(n0, before, "peer=n2 state=DEAD incarnation=1");
      injector.heal(kill, REPLICA_LAG);
      awaitState(n0, before, "peer=n2 state=ALIVE incarnation=2");
      injector.inject(fault(Fault.Kind.TERM, "n3", "", ""));
      awaitState(n0, before, "peer=n3 state=DEAD incarnation=1");
    }
  }

  @Test
  void partitionMakesMembersUnreachableUntilHealed() throws IOException {
    try (ChaosCluster cluster = start()) {
      FaultInjector injector = new FaultInjector(cluster);
      GatewayNode n0 = cluster.gateway("n0");
      GatewayNode n3 = cluster.gateway("n3");
      Fault split = fault(Fault.Kind.SPLIT, "", "", "n0,n1|n2,n3");
      injector.inject(split);
      awaitState(n0, 0, "peer=n2 state=UNREACHABLE");
      awaitState(n3, 0, "peer=n1 state=UNREACHABLE");
      int fromN0 = log(n0).length();
      int fromN3 = log(n3).length();
      injector.heal(split, REPLICA_LAG);
      awaitState(n0, fromN0, "peer=n2 state=ALIVE");
      awaitState(n3, fromN3, "peer=n1 state=ALIVE");
      for (GatewayNode gateway : cluster.gateways()) {
        assertFalse(log(gateway).contains("state=DEAD"), gateway.name());
      }
    }
  }
}
