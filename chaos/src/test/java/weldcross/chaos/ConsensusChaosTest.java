package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.chaos.GatewayLogAssertions.awaitAllAlive;
import static weldcross.chaos.GatewayLogAssertions.awaitLog;
import static weldcross.chaos.GatewayLogAssertions.log;
import static weldcross.chaos.TestScenarios.LAG;
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

/** Membership views of gateways as processes under faults. */
@Timeout(150)
class ConsensusChaosTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(40);

  @RegisterExtension final RunDirectory runDirectory = new RunDirectory();

  /** Starts gateways and waits until all see each other alive and hold one view of all. */
  private ChaosCluster start(int gateways, int voters) throws IOException {
    ChaosCluster cluster =
        new ChaosCluster(
            TestScenarios.scenario()
                .gateways(gateways)
                .servers(1, 2)
                .linked(true)
                .voters(voters)
                .build(),
            3,
            runDirectory.path());
    cluster.start();
    awaitConvergence(cluster);
    // A peer that was never seen alive cannot become unreachable.
    awaitAllAlive(cluster, TIMEOUT);
    return cluster;
  }

  private static void awaitConvergence(ChaosCluster cluster) throws IOException {
    Await.until("all hold one view of all", TIMEOUT, cluster::hasConverged);
  }

  /** Runs a command as an operator would, at the control endpoint of a gateway. */
  private static int runClusterCommand(GatewayNode gateway, String... args) {
    List<String> all = new ArrayList<>(List.of("cluster"));
    all.addAll(List.of(args));
    all.addAll(List.of("--at", gateway.controlAddress()));
    return WeldcrossCommand.run(all.toArray(new String[0]));
  }

  /** Waits until the view of a gateway names no incarnation of a member. */
  private static void awaitRemoved(GatewayNode gateway, String member) throws IOException {
    Await.until(
        gateway.name() + " removes " + member,
        TIMEOUT,
        () ->
            !gateway.lastView().isEmpty()
                && !(" " + gateway.lastView()).contains(" " + member + ":"));
  }

  @Test
  void killedMemberIsRemovedByProofAndPausedOneStays() throws IOException {
    try (ChaosCluster cluster = start(4, 3)) {
      FaultInjector injector = new FaultInjector(cluster);
      GatewayNode n0 = cluster.gateway("n0");
      Fault pause = fault(Fault.Kind.PAUSE, "n3", "", "");
      injector.begin(pause);
      awaitLog(n0, 0, "peer=n3 state=UNREACHABLE", TIMEOUT);
      Fault kill = fault(Fault.Kind.KILL, "n1", "", "old");
      injector.begin(kill);
      awaitRemoved(n0, "n1");
      assertTrue(n0.lastView().contains("n3:1"), n0.lastView());
      injector.end(pause, LAG);
      injector.end(kill, LAG);
      awaitConvergence(cluster);
      assertTrue(n0.lastView().contains("n1:2"), n0.lastView());
      // A member that is stopped leaves by its own proposal, before its process ends.
      injector.begin(fault(Fault.Kind.TERM, "n3", "", ""));
      awaitRemoved(n0, "n3");
      assertEquals(0, runClusterCommand(n0, "status"));
    }
  }

  @Test
  void minorityAgreesOnNothingAndServesUntilAnOperatorForgets() throws IOException {
    try (ChaosCluster cluster = start(5, 3)) {
      FaultInjector injector = new FaultInjector(cluster);
      GatewayNode n0 = cluster.gateway("n0");
      GatewayNode n2 = cluster.gateway("n2");
      Fault split = fault(Fault.Kind.SPLIT, "", "", "n0,n3|n1,n2,n4");
      injector.begin(split);
      awaitLog(n2, 0, "peer=n0 state=UNREACHABLE", TIMEOUT);
      awaitLog(n0, 0, "peer=n2 state=UNREACHABLE", TIMEOUT);
      final String before = n0.lastView();
      // A request to the minority has no effect, one to the majority has.
      assertEquals(1, runClusterCommand(n0, "forget", "n1", "--it-has-ended"));
      assertEquals(0, runClusterCommand(n2, "forget", "n0", "--it-has-ended"));
      awaitRemoved(n2, "n0");
      assertEquals(before, n0.lastView());
      assertTrue(n0.isReady() && n2.isReady(), "both sides serve");
      injector.end(split, LAG);
      // The forgotten member still runs, and joins again by itself as a later incarnation.
      awaitConvergence(cluster);
      assertTrue(n2.lastView().contains("n0:2"), n2.lastView());
      assertFalse(log(n2).contains("state=DEAD"), "no process ended");
    }
  }

  @Test
  void voterThatLostDurableRecordsIsReplacedByANewIdentity() throws Exception {
    try (ChaosCluster cluster = start(3, 3)) {
      // Neither of these leads: the leader remembers what they acknowledged.
      List<GatewayNode> followers = new ArrayList<>(cluster.gateways());
      followers.remove(cluster.gateway(leader(cluster.gateway("n0"))));
      GatewayNode lying = followers.get(0);
      GatewayNode other = followers.get(1);
      lying.setDiskFaults("lie");
      // Something is to be stored, which the disk then loses.
      other.process().kill();
      awaitRemoved(lying, other.name());
      other.start();
      awaitConvergence(cluster);
      lying.process().kill();
      lying.setDiskFaults("");
      int from = log(lying).length();
      lying.start();
      awaitLog(lying, from, "decision=NEW_IDENTITY reason=local log", TIMEOUT);
      awaitConvergence(cluster);
      awaitLog(lying, from, "voter caught up and votes", TIMEOUT);
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
