package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.chaos.TestScenarios.REPLICA_LAG;
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

/** Tests that injected faults take effect, as observed from gateways and servers. */
@Timeout(120)
class FaultInjectorTest {

  @RegisterExtension final RunDirectory runDirectory = new RunDirectory();

  private ChaosCluster cluster(int gateways) throws IOException {
    return new ChaosCluster(
        TestScenarios.scenario().gateways(gateways).meshEnabled(true).logLevel("FINE").build(),
        3,
        runDirectory.path());
  }

  private static void awaitLog(GatewayNode gateway, int from, String text) throws IOException {
    GatewayLogAssertions.awaitLog(gateway, from, text, Duration.ofSeconds(30));
  }

  private static int logLength(GatewayNode gateway) throws IOException {
    return Files.readString(gateway.log()).length();
  }

  /** Overlapping sides: n1 reaches n0 and n2, which do not reach each other until healed. */
  @Test
  void partitionSeparatesOnlyGatewaysWithoutCommonSide() throws IOException {
    try (ChaosCluster cluster = cluster(3)) {
      cluster.start();
      GatewayNode n0 = cluster.gateway("n0");
      GatewayNode n2 = cluster.gateway("n2");
      awaitLog(n0, 0, "mesh: connection up: peer=n2");
      awaitLog(n2, 0, "mesh: connection up: peer=n0");
      FaultInjector injector = new FaultInjector(cluster);
      Fault split = fault(Fault.Kind.SPLIT, "", "", "n0,n1|n1,n2");
      injector.inject(split);
      awaitLog(n0, 0, "mesh: connection down: peer=n2 reason=HEARTBEAT_TIMEOUT");
      awaitLog(n2, 0, "mesh: connection down: peer=n0 reason=HEARTBEAT_TIMEOUT");
      assertFalse(Files.readString(cluster.gateway("n1").log()).contains("connection down"));
      final int from = logLength(n0);
      injector.heal(split, REPLICA_LAG);
      awaitLog(n0, from, "mesh: connection up: peer=n2");
    }
  }

  /**
   * With unchanged records, a restarted gateway takes the next incarnation. With empty or earlier
   * records, its peers tell it that the stored incarnation is outdated.
   */
  @Test
  void killedGatewayRestartsWithOldEarlierOrEmptyRecords() throws IOException {
    try (ChaosCluster cluster = cluster(2)) {
      GatewayNode n1 = cluster.gateway("n1");
      cluster.start();
      awaitLog(cluster.gateway("n0"), 0, "mesh: connection up: peer=n1 incarnation=1");
      n1.copyRecords();
      FaultInjector injector = new FaultInjector(cluster);
      String[][] restarts = {{"old", "2"}, {"earlier", "3"}, {"empty", "4"}};
      for (String[] restart : restarts) {
        final int from = logLength(n1);
        Fault kill = fault(Fault.Kind.KILL, "n1", "", restart[0]);
        injector.inject(kill);
        assertEquals('?', n1.process().state());
        injector.heal(kill, REPLICA_LAG);
        awaitLog(
            cluster.gateway("n0"), 0, "mesh: connection up: peer=n1 incarnation=" + restart[1]);
        boolean outdated =
            Files.readString(n1.log())
                .substring(from)
                .contains("mesh: stored incarnation is outdated");
        assertEquals(!restart[0].equals("old"), outdated, "records " + restart[0]);
      }
    }
  }

  @Test
  void pausedGatewayRecoversAndSigtermStopsGracefully() throws IOException {
    try (ChaosCluster cluster = cluster(2)) {
      cluster.start();
      GatewayNode n0 = cluster.gateway("n0");
      GatewayNode n1 = cluster.gateway("n1");
      awaitLog(n0, 0, "mesh: connection up: peer=n1");
      awaitLog(n1, 0, "mesh: connection up: peer=n0");
      FaultInjector injector = new FaultInjector(cluster);
      Fault pause = fault(Fault.Kind.PAUSE, "n1", "", "");
      injector.inject(pause);
      assertEquals('T', n1.process().state());
      assertFalse(n1.isReady());
      awaitLog(n0, 0, "mesh: connection down: peer=n1 reason=HEARTBEAT_TIMEOUT");
      // There is one connection per direction; the two time out independently.
      awaitLog(n0, 0, "mesh: inbound connection down: peer=n1 reason=HEARTBEAT_TIMEOUT");
      injector.heal(pause, REPLICA_LAG);
      awaitLog(n1, 0, "mesh: connection down: peer=n0");
      Await.until("n1 serves again", Duration.ofSeconds(20), n1::isReady);
      injector.inject(fault(Fault.Kind.TERM, "n1", "", ""));
      assertTrue(n1.process().awaitExit(Duration.ofSeconds(20)));
      assertEquals(0, n1.process().exitStatus().getAsInt());
      awaitLog(n1, 0, "DRAINING to STOPPED");
    }
  }

  /**
   * With a full, failing or blocked disk, a gateway cannot store its incarnation: it does not join
   * the mesh, but still serves requests.
   */
  @Test
  void gatewayServesWithoutMeshUntilDiskWorks() throws IOException {
    try (ChaosCluster cluster = cluster(2)) {
      cluster.gateway("n0").start();
      GatewayNode n1 = cluster.gateway("n1");
      for (String diskFaults : List.of("full", "fail", "stuck")) {
        final int from = Files.exists(n1.log()) ? logLength(n1) : 0;
        n1.setDiskFaults(diskFaults);
        n1.start();
        n1.awaitReady();
        if (!diskFaults.equals("stuck")) {
          awaitLog(n1, from, "mesh: incarnation not stored, no peer is connected: retry=true");
        }
        assertFalse(
            Files.readString(n1.log()).substring(from).contains("mesh: started: incarnation="),
            diskFaults);
        n1.setDiskFaults("");
        awaitLog(n1, from, "mesh: started: incarnation=");
        awaitLog(n1, from, "mesh: connection up: peer=n0");
        n1.process().kill();
      }
    }
  }

  /**
   * To a gateway whose clock is 5 s ahead, the data of all replicas seem too stale, so it sends
   * bounded reads only to the primary; the other gateway uses replicas.
   */
  @Test
  void fastClockSendsBoundedReadsToPrimary() throws Exception {
    try (ChaosCluster cluster = cluster(2)) {
      cluster.gateway("n1").setClockOffsetMillis(5000);
      cluster.start();
      long startNanos = cluster.clock().nanos();
      try (LoadGenerator load =
          new LoadGenerator(
              cluster.gateways().stream().map(GatewayNode::clientAddress).toList(),
              1,
              () -> cluster.clock().nanos() - startNanos,
              9)) {
        load.start(200);
        Await.until(
            "requests are served", Duration.ofSeconds(30), () -> load.operationCount() > 1200);
        load.stop();
        Set<String> servedByReplicas =
            cluster.store().reads().stream()
                .filter(read -> !read.server().equals("s0"))
                .map(ReplicatedStoreModel.Read::rpc)
                .collect(Collectors.toSet());
        assertEquals(0, countBoundedReads(load, "n1", servedByReplicas));
        assertTrue(
            countBoundedReads(load, "n0", servedByReplicas) > 30,
            "bounded reads of n0 served by replicas: "
                + countBoundedReads(load, "n0", servedByReplicas));
      }
    }
  }

  private static long countBoundedReads(
      LoadGenerator load, String gateway, Set<String> requestIds) {
    return load.operations().stream()
        .filter(
            operation ->
                operation.type() == RequestType.BOUNDED_READ
                    && operation.gateway().equals(gateway)
                    && operation.outcome() == ClientOperation.Outcome.OK
                    && requestIds.contains(operation.rpc()))
        .count();
  }

  /** Queries a server directly for its replication position, in Unix seconds. */
  private static double queryPosition(ChaosCluster cluster, String server) throws IOException {
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

  /** Covers the server faults: lost answers, replication lag, a stall and a kill. */
  @Test
  void serverFaultsTakeEffect() throws Exception {
    try (ChaosCluster cluster = cluster(1)) {
      cluster.start();
      long startNanos = cluster.clock().nanos();
      try (LoadGenerator load =
          new LoadGenerator(
              List.of(cluster.gateway("n0").clientAddress()),
              1,
              () -> cluster.clock().nanos() - startNanos,
              4)) {
        load.start(200);
        Await.until(
            "requests are served", Duration.ofSeconds(30), () -> load.operationCount() > 300);
        FaultInjector injector = new FaultInjector(cluster);
        Fault lost = fault(Fault.Kind.ANSWERS_LOST, "s0", "", "");
        injector.inject(lost);
        Await.until(
            "the answer to an applied write is lost",
            Duration.ofSeconds(30),
            () ->
                load.operations().stream()
                    .anyMatch(
                        operation ->
                            operation.outcome() == ClientOperation.Outcome.FAILED
                                && cluster.store().commits().stream()
                                    .anyMatch(commit -> commit.rpc().equals(operation.rpc()))));
        injector.heal(lost, REPLICA_LAG);
        Fault lag = fault(Fault.Kind.LAG, "s1", "", "3000");
        final double positionBefore = queryPosition(cluster, "s1");
        injector.inject(lag);
        double lagSeconds = 0;
        for (long deadline = System.nanoTime() + 10_000_000_000L;
            lagSeconds <= 2.9 && System.nanoTime() < deadline; ) {
          double position = queryPosition(cluster, "s1");
          assertTrue(position >= positionBefore, "the position of a replica never decreases");
          lagSeconds = System.currentTimeMillis() / 1000.0 - position;
        }
        assertTrue(lagSeconds > 2.9 && lagSeconds < 4, "lag " + lagSeconds + " s");
        Fault stall = fault(Fault.Kind.SERVER_STALL, "s2", "", "");
        injector.inject(stall);
        assertThrows(SocketTimeoutException.class, () -> queryPosition(cluster, "s2"));
        injector.heal(stall, REPLICA_LAG);
        assertTrue(queryPosition(cluster, "s2") > 0);
        Fault kill = fault(Fault.Kind.SERVER_KILL, "s1", "", "");
        injector.inject(kill);
        awaitLog(cluster.gateway("n0"), 0, "connection failed: endpoint=s1");
        injector.heal(kill, REPLICA_LAG);
        injector.heal(lag, REPLICA_LAG);
      }
    }
  }
}
