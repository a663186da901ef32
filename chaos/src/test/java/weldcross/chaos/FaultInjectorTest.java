package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.chaos.TestScenarios.LAG;
import static weldcross.chaos.TestScenarios.fault;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.LoadGenerator;
import weldcross.chaos.load.RequestType;
import weldcross.chaos.process.Await;
import weldcross.chaos.scenario.Fault;
import weldcross.fakes.ReplicatedStoreModel;

/**
 * What is done to gateways and servers by order really happens to them: shown by them, not by who
 * did it.
 */
@Timeout(120)
class FaultInjectorTest {

  @RegisterExtension final RunDirectory runDirectory = new RunDirectory();

  private ChaosCluster cluster(int gateways) throws IOException {
    return new ChaosCluster(
        TestScenarios.scenario().gateways(gateways).linked(true).log("FINE").build(),
        3,
        runDirectory.path());
  }

  private static void logs(GatewayNode gateway, int from, String text) throws IOException {
    GatewayLogAssertions.awaitLog(gateway, from, text, Duration.ofSeconds(30));
  }

  private static int length(GatewayNode gateway) throws IOException {
    return Files.readString(gateway.log()).length();
  }

  /** Sides that overlap: n1 hears both, n0 and n2 do not hear each other; then all do again. */
  @Test
  void splitCutsOffOnlyGatewaysWithoutACommonSide() throws IOException {
    try (ChaosCluster cluster = cluster(3)) {
      cluster.start();
      GatewayNode n0 = cluster.gateway("n0");
      GatewayNode n2 = cluster.gateway("n2");
      logs(n0, 0, "mesh: connection up: peer=n2");
      logs(n2, 0, "mesh: connection up: peer=n0");
      FaultInjector injector = new FaultInjector(cluster);
      Fault split = fault(Fault.Kind.SPLIT, "", "", "n0,n1|n1,n2");
      injector.begin(split);
      logs(n0, 0, "mesh: connection down: peer=n2 reason=HEARTBEAT_TIMEOUT");
      logs(n2, 0, "mesh: connection down: peer=n0 reason=HEARTBEAT_TIMEOUT");
      assertFalse(Files.readString(cluster.gateway("n1").log()).contains("connection down"));
      final int from = length(n0);
      injector.end(split, LAG);
      logs(n0, from, "mesh: connection up: peer=n2");
    }
  }

  /**
   * Its records as they were: a higher incarnation. Empty or of a moment before: others know
   * better, and say so.
   */
  @Test
  void killedGatewayStartsWithOldEarlierOrNoRecords() throws IOException {
    try (ChaosCluster cluster = cluster(2)) {
      GatewayNode n1 = cluster.gateway("n1");
      cluster.start();
      logs(cluster.gateway("n0"), 0, "mesh: connection up: peer=n1 incarnation=1");
      n1.copyRecords();
      FaultInjector injector = new FaultInjector(cluster);
      String[][] lives = {{"old", "2"}, {"earlier", "3"}, {"empty", "4"}};
      for (String[] life : lives) {
        final int from = length(n1);
        Fault kill = fault(Fault.Kind.KILL, "n1", "", life[0]);
        injector.begin(kill);
        assertEquals('?', n1.process().state());
        injector.end(kill, LAG);
        logs(cluster.gateway("n0"), 0, "mesh: connection up: peer=n1 incarnation=" + life[1]);
        boolean told =
            Files.readString(n1.log())
                .substring(from)
                .contains("mesh: stored incarnation is outdated");
        assertEquals(!life[0].equals("old"), told, "records " + life[0]);
      }
    }
  }

  @Test
  void sigstopIsNotNoticedWithinAndSigtermStopsGracefully() throws IOException {
    try (ChaosCluster cluster = cluster(2)) {
      cluster.start();
      GatewayNode n0 = cluster.gateway("n0");
      GatewayNode n1 = cluster.gateway("n1");
      logs(n0, 0, "mesh: connection up: peer=n1");
      logs(n1, 0, "mesh: connection up: peer=n0");
      FaultInjector injector = new FaultInjector(cluster);
      Fault pause = fault(Fault.Kind.PAUSE, "n1", "", "");
      injector.begin(pause);
      assertEquals('T', n1.process().state());
      assertFalse(n1.isReady());
      logs(n0, 0, "mesh: connection down: peer=n1 reason=HEARTBEAT_TIMEOUT");
      // Each direction has a connection: n1's own is given up a heartbeat earlier or later.
      logs(n0, 0, "mesh: inbound connection down: peer=n1 reason=HEARTBEAT_TIMEOUT");
      injector.end(pause, LAG);
      logs(n1, 0, "mesh: connection down: peer=n0");
      Await.until("serves again", Duration.ofSeconds(20), n1::isReady);
      injector.begin(fault(Fault.Kind.TERM, "n1", "", ""));
      assertTrue(n1.process().awaitExit(Duration.ofSeconds(20)));
      assertEquals(0, n1.process().exitStatus().getAsInt());
      logs(n1, 0, "DRAINING to STOPPED");
    }
  }

  /**
   * A disk that takes nothing, fails or stands still: no incarnation, no link, and service all the
   * same.
   */
  @Test
  void meshWaitsForAWorkingDiskWhileServiceGoesOn() throws IOException {
    try (ChaosCluster cluster = cluster(2)) {
      cluster.gateway("n0").start();
      GatewayNode n1 = cluster.gateway("n1");
      for (String words : List.of("full", "fail", "stuck")) {
        final int from = Files.exists(n1.log()) ? length(n1) : 0;
        n1.setDiskFaults(words);
        n1.start();
        n1.awaitReady();
        if (!words.equals("stuck")) {
          logs(n1, from, "mesh: incarnation not stored, no peer is connected: retry=true");
        }
        assertFalse(
            Files.readString(n1.log()).substring(from).contains("mesh: started: incarnation="),
            words);
        n1.setDiskFaults("");
        logs(n1, from, "mesh: started: incarnation=");
        logs(n1, from, "mesh: connection up: peer=n0");
        n1.process().kill();
      }
    }
  }

  /**
   * Five seconds ahead all data look old, and bounded reads go to the primary alone; else replicas
   * have them.
   */
  @Test
  void clockThatIsFastSendsBoundedReadsToThePrimary() throws Exception {
    try (ChaosCluster cluster = cluster(2)) {
      cluster.gateway("n1").setClockOffsetMillis(5000);
      cluster.start();
      long zero = cluster.clock().nanos();
      try (LoadGenerator load =
          new LoadGenerator(
              cluster.gateways().stream().map(GatewayNode::clientAddress).toList(),
              1,
              () -> cluster.clock().nanos() - zero,
              9)) {
        load.start(200);
        Await.until("RPCs are served", Duration.ofSeconds(30), () -> load.operationCount() > 1200);
        load.stop();
        Set<String> atReplicas =
            cluster.store().reads().stream()
                .filter(r -> !r.server().equals("s0"))
                .map(ReplicatedStoreModel.Read::rpc)
                .collect(Collectors.toSet());
        assertEquals(0, browsed(load, "n1", atReplicas));
        assertTrue(
            browsed(load, "n0", atReplicas) > 30, "n0's: " + browsed(load, "n0", atReplicas));
      }
    }
  }

  private static long browsed(LoadGenerator load, String gateway, Set<String> among) {
    return load.operations().stream()
        .filter(
            a ->
                a.type() == RequestType.BOUNDED_READ
                    && a.gateway().equals(gateway)
                    && a.outcome() == ClientOperation.Outcome.OK
                    && among.contains(a.rpc()))
        .count();
  }

  /** What a server says of its position, asked at its own address, in Unix seconds. */
  private static double position(ChaosCluster cluster, String server) throws IOException {
    try (Socket socket =
        new Socket(
            cluster.server(server).address().getAddress(),
            cluster.server(server).address().getPort())) {
      socket.setSoTimeout(500);
      byte[] start = "user\0trial\0\0".getBytes(StandardCharsets.US_ASCII);
      byte[] query = "SHOW stats\0".getBytes(StandardCharsets.US_ASCII);
      socket
          .getOutputStream()
          .write(
              ByteBuffer.allocate(13 + start.length + query.length)
                  .putInt(8 + start.length)
                  .putInt(3 << 16)
                  .put(start)
                  .put((byte) 'Q')
                  .putInt(4 + query.length)
                  .put(query)
                  .array());
      DataInputStream in = new DataInputStream(socket.getInputStream());
      while (true) {
        int type = in.readUnsignedByte();
        String body = new String(in.readNBytes(in.readInt() - 4), StandardCharsets.ISO_8859_1);
        if (type == 'D') {
          return Double.parseDouble(body.replaceAll("(?s)^.*x0=([0-9.E]+),.*$", "$1"));
        }
      }
    }
  }

  /**
   * A server that dies is refused, one that is behind gives old data, answers get lost after their
   * effect.
   */
  @Test
  void serverFaultsActAsInjected() throws Exception {
    try (ChaosCluster cluster = cluster(1)) {
      cluster.start();
      long zero = cluster.clock().nanos();
      try (LoadGenerator load =
          new LoadGenerator(
              List.of(cluster.gateway("n0").clientAddress()),
              1,
              () -> cluster.clock().nanos() - zero,
              4)) {
        load.start(200);
        Await.until("RPCs are served", Duration.ofSeconds(30), () -> load.operationCount() > 300);
        FaultInjector injector = new FaultInjector(cluster);
        Fault lost = fault(Fault.Kind.ANSWERS_LOST, "s0", "", "");
        injector.begin(lost);
        Await.until(
            "an answer got lost after its effect",
            Duration.ofSeconds(30),
            () ->
                load.operations().stream()
                    .anyMatch(
                        a ->
                            a.outcome() == ClientOperation.Outcome.FAILED
                                && cluster.store().commits().stream()
                                    .anyMatch(e -> e.rpc().equals(a.rpc()))));
        injector.end(lost, LAG);
        Fault lag = fault(Fault.Kind.LAG, "s1", "", "3000");
        final double positionBefore = position(cluster, "s1");
        injector.begin(lag);
        double behind = 0;
        for (long deadline = System.nanoTime() + 10_000_000_000L;
            behind <= 2.9 && System.nanoTime() < deadline; ) {
          double position = position(cluster, "s1");
          assertTrue(position >= positionBefore, "a replica keeps what it has applied");
          behind = System.currentTimeMillis() / 1000.0 - position;
        }
        assertTrue(behind > 2.9 && behind < 4, behind + " s behind");
        Fault stall = fault(Fault.Kind.SERVER_STALL, "s2", "", "");
        injector.begin(stall);
        assertThrows(SocketTimeoutException.class, () -> position(cluster, "s2"));
        injector.end(stall, LAG);
        assertTrue(position(cluster, "s2") > 0);
        Fault kill = fault(Fault.Kind.SERVER_KILL, "s1", "", "");
        injector.begin(kill);
        logs(cluster.gateway("n0"), 0, "connection failed: endpoint=s1");
        injector.end(kill, LAG);
        injector.end(lag, LAG);
      }
    }
  }
}
