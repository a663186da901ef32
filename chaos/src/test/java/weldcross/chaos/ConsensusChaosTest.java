package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import weldcross.chaos.process.ManagedProcess;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Scenario;
import weldcross.cli.WeldcrossCommand;

/** What gateways agree on, as processes under faults. */
@Timeout(150)
class ConsensusChaosTest {

  private static final Duration LAG = Duration.ofMillis(30), WITHIN = Duration.ofSeconds(40);

  @TempDir private Path folder;

  private ChaosCluster ground(int gateways, int voters) throws IOException {
    ChaosCluster ground =
        new ChaosCluster(
            new Scenario(
                "agreed",
                "",
                Duration.ofSeconds(1),
                100,
                gateways,
                1,
                2,
                LAG,
                Duration.ofMillis(2),
                true,
                voters,
                "INFO",
                List.of(),
                List.of(),
                0),
            3,
            folder);
    ground.start();
    agree(ground);
    return ground;
  }

  private static void agree(ChaosCluster ground) throws IOException {
    ManagedProcess.until("all hold one view of all", WITHIN, ground::agree);
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
        WITHIN,
        () -> log(gateway).substring(from).contains(words));
  }

  /** As an operator at its control address would. */
  private static int cluster(ChaosCluster.Gateway at, String... args) {
    List<String> all = new ArrayList<>(List.of("cluster"));
    all.addAll(List.of(args));
    all.addAll(List.of("--at", at.control()));
    return WeldcrossCommand.run(all.toArray(new String[0]));
  }

  /** The view of a gateway names no life of this one. */
  private static void drops(ChaosCluster.Gateway gateway, String name) throws IOException {
    ManagedProcess.until(
        gateway.name() + " drops " + name,
        WITHIN,
        () ->
            !gateway.lastView().isEmpty()
                && !(" " + gateway.lastView()).contains(" " + name + ":"));
  }

  /** Proof takes a killed one out; one that stands still stays, as nothing proves that it ended. */
  @Test
  void killedOneGoesByProofAndAPausedOneStays() throws IOException {
    try (ChaosCluster ground = ground(4, 3)) {
      FaultInjector havoc = new FaultInjector(ground);
      ChaosCluster.Gateway n0 = ground.gateway("n0");
      Fault pause = fault(Fault.Kind.PAUSE, "n3", "");
      havoc.begin(pause);
      tells(n0, 0, "peer=n3 state=UNREACHABLE");
      Fault kill = fault(Fault.Kind.KILL, "n1", "old");
      havoc.begin(kill);
      drops(n0, "n1");
      assertTrue(n0.lastView().contains("n3:1"), n0.lastView());
      havoc.end(pause, LAG);
      havoc.end(kill, LAG);
      agree(ground);
      assertTrue(n0.lastView().contains("n1:2"), n0.lastView());
      // It is out by its own word before its process ends.
      havoc.begin(fault(Fault.Kind.TERM, "n3", ""));
      drops(n0, "n3");
      assertEquals(0, cluster(n0, "status"));
    }
  }

  /** A minority agrees on nothing and serves on; only an operator takes out who is silent. */
  @Test
  void minorityStaysBehindAndAnOperatorForgets() throws IOException {
    try (ChaosCluster ground = ground(5, 3)) {
      FaultInjector havoc = new FaultInjector(ground);
      ChaosCluster.Gateway n0 = ground.gateway("n0");
      ChaosCluster.Gateway n2 = ground.gateway("n2");
      Fault split = fault(Fault.Kind.SPLIT, "", "n0,n3|n1,n2,n4");
      havoc.begin(split);
      tells(n2, 0, "peer=n0 state=UNREACHABLE");
      tells(n0, 0, "peer=n2 state=UNREACHABLE");
      String before = n0.lastView();
      // Asked of the minority nothing is done; of the majority it is.
      assertEquals(1, cluster(n0, "forget", "n1", "--it-has-ended"));
      assertEquals(0, cluster(n2, "forget", "n0", "--it-has-ended"));
      drops(n2, "n0");
      assertEquals(before, n0.lastView());
      assertTrue(n0.isReady() && n2.isReady(), "serving stops for nothing");
      havoc.end(split, LAG);
      // It lives, and comes back as a later life by itself.
      agree(ground);
      assertTrue(n2.lastView().contains("n0:2"), n2.lastView());
      assertFalse(log(n2).contains("state=DEAD"), "nobody ended");
    }
  }

  /**
   * A voter whose disk lost what it had said was kept votes no more; another one of its name takes
   * its place.
   */
  @Test
  void voterThatComesBackBehindIsAnotherOne() throws Exception {
    try (ChaosCluster ground = ground(3, 3)) {
      // Neither leads: the leader remembers what they acknowledged.
      List<ChaosCluster.Gateway> others = new ArrayList<>(ground.gateways());
      others.remove(ground.gateway(leader(ground.gateway("n0"))));
      ChaosCluster.Gateway liar = others.get(0);
      ChaosCluster.Gateway other = others.get(1);
      liar.disk("lie");
      // Something to be kept, which that disk then loses.
      other.child().kill();
      drops(liar, other.name());
      other.start();
      agree(ground);
      liar.child().kill();
      liar.disk("");
      int from = log(liar).length();
      liar.start();
      tells(liar, from, "decision=NEW_IDENTITY reason=local log");
      agree(ground);
      tells(liar, from, "voter caught up and votes");
    }
  }

  private static String leader(ChaosCluster.Gateway asked) throws Exception {
    String json =
        HttpClient.newHttpClient()
            .send(
                HttpRequest.newBuilder(URI.create("http://" + asked.control() + "/cluster"))
                    .build(),
                HttpResponse.BodyHandlers.ofString())
            .body();
    return new ObjectMapper().readTree(json).get("leader").asText();
  }
}
