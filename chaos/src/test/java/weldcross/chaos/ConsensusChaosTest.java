package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.chaos.GatewayLogAssertions.awaitAllAlive;
import static weldcross.chaos.GatewayLogAssertions.awaitLog;
import static weldcross.chaos.GatewayLogAssertions.log;
import static weldcross.chaos.TestScenarios.REPLICA_LAG;
import static weldcross.chaos.TestScenarios.fault;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import weldcross.chaos.process.Await;
import weldcross.chaos.scenario.Fault;
import weldcross.cli.WeldcrossCommand;

/** Tests that membership views of gateway processes stay consistent under faults. */
@Timeout(150)
class ConsensusChaosTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(40);

  @RegisterExtension final RunDirectory runDirectory = new RunDirectory();

  /** Starts gateways and waits until they see each other alive and have the same view. */
  private ChaosCluster start(int gateways, int voters) throws IOException {
    ChaosCluster cluster =
        new ChaosCluster(
            TestScenarios.scenario()
                .gateways(gateways)
                .servers(1, 2)
                .meshEnabled(true)
                .voters(voters)
                .build(),
            3,
            runDirectory.path());
    cluster.start();
    awaitConvergence(cluster);
    // A peer that was never alive is not reported as unreachable.
    awaitAllAlive(cluster, TIMEOUT);
    return cluster;
  }

  private static void awaitConvergence(ChaosCluster cluster) throws IOException {
    Await.until("all gateways have the same membership view", TIMEOUT, cluster::hasConverged);
  }

  /** Runs an operator command against the control endpoint of a gateway. */
  private static int runClusterCommand(GatewayNode gateway, String... args) {
    List<String> commandLine = new ArrayList<>(List.of("cluster"));
    commandLine.addAll(List.of(args));
    commandLine.addAll(List.of("--at", gateway.controlAddress()));
    return WeldcrossCommand.run(commandLine.toArray(new String[0]));
  }

  /** Waits until the view of a gateway contains no incarnation of a member. */
  private static void awaitRemoved(GatewayNode gateway, String member) throws IOException {
    Await.until(
        gateway.name() + " removes " + member,
        TIMEOUT,
        () ->
            !gateway.lastView().isEmpty()
                && !(" " + gateway.lastView()).contains(" " + member + ":"));
  }

  @Test
  void killedMemberIsRemovedAndPausedMemberStays() throws IOException {
    try (ChaosCluster cluster = start(4, 3)) {
      FaultInjector injector = new FaultInjector(cluster);
      GatewayNode n0 = cluster.gateway("n0");
      Fault pause = fault(Fault.Kind.PAUSE, "n3", "", "");
      injector.inject(pause);
      awaitLog(n0, 0, "peer=n3 state=UNREACHABLE", TIMEOUT);
      Fault kill = fault(Fault.Kind.KILL, "n1", "", "old");
      injector.inject(kill);
      awaitRemoved(n0, "n1");
      assertTrue(n0.lastView().contains("n3:1"), n0.lastView());
      injector.heal(pause, REPLICA_LAG);
      injector.heal(kill, REPLICA_LAG);
      awaitConvergence(cluster);
      assertTrue(n0.lastView().contains("n1:2"), n0.lastView());
      // A stopping member proposes its own removal before its process ends.
      injector.inject(fault(Fault.Kind.TERM, "n3", "", ""));
      awaitRemoved(n0, "n3");
      assertEquals(0, runClusterCommand(n0, "status"));
    }
  }

  @Test
  void minorityCommitsNoViewAndKeepsServing() throws IOException {
    try (ChaosCluster cluster = start(5, 3)) {
      FaultInjector injector = new FaultInjector(cluster);
      GatewayNode n0 = cluster.gateway("n0");
      GatewayNode n2 = cluster.gateway("n2");
      Fault split = fault(Fault.Kind.SPLIT, "", "", "n0,n3|n1,n2,n4");
      injector.inject(split);
      awaitLog(n2, 0, "peer=n0 state=UNREACHABLE", TIMEOUT);
      awaitLog(n0, 0, "peer=n2 state=UNREACHABLE", TIMEOUT);
      final String before = n0.lastView();
      // The command fails on the minority side and succeeds on the majority side.
      assertEquals(1, runClusterCommand(n0, "forget", "n1", "--it-has-ended"));
      assertEquals(0, runClusterCommand(n2, "forget", "n0", "--it-has-ended"));
      awaitRemoved(n2, "n0");
      assertEquals(before, n0.lastView());
      assertTrue(n0.isReady() && n2.isReady(), "both sides serve requests");
      injector.heal(split, REPLICA_LAG);
      // The removed member still runs and rejoins by itself with a higher incarnation.
      awaitConvergence(cluster);
      assertTrue(n2.lastView().contains("n0:2"), n2.lastView());
      assertFalse(log(n2).contains("state=DEAD"), "no process has ended");
    }
  }

  @Test
  void voterThatLostStoredRecordsRejoinsWithNewIdentity() throws Exception {
    try (ChaosCluster cluster = start(3, 3)) {
      // Only followers: the leader knows which entries they have acknowledged.
      List<GatewayNode> followers = new ArrayList<>(cluster.gateways());
      followers.remove(cluster.gateway(leader(cluster.gateway("n0"))));
      GatewayNode faulty = followers.get(0);
      GatewayNode other = followers.get(1);
      faulty.setDiskFaults("lie");
      // The removal and return of the other follower produce log entries, which the disk then
      // loses.
      other.process().kill();
      awaitRemoved(faulty, other.name());
      other.start();
      awaitConvergence(cluster);
      faulty.process().kill();
      faulty.setDiskFaults("");
      int from = log(faulty).length();
      faulty.start();
      awaitLog(faulty, from, "decision=NEW_IDENTITY reason=local log", TIMEOUT);
      awaitConvergence(cluster);
      awaitLog(faulty, from, "voter caught up and votes", TIMEOUT);
    }
  }

  private static String leader(GatewayNode gateway) throws Exception {
    URI status = URI.create("http://" + gateway.controlAddress() + "/cluster");
    String json =
        HttpClient.newHttpClient()
            .send(HttpRequest.newBuilder(status).build(), HttpResponse.BodyHandlers.ofString())
            .body();
    return new ObjectMapper().readTree(json).get("leader").asText();
  }
}
