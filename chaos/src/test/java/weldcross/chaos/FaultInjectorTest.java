package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.LoadGenerator;
import weldcross.chaos.load.Method;
import weldcross.chaos.process.ManagedProcess;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Scenario;
import weldcross.fakes.ReplicatedStoreModel;

/**
 * What is done to gateways and servers by order really happens to them: shown by them, not by who
 * did it.
 */
@Timeout(120)
class FaultInjectorTest {

  private static final Duration LAG = Duration.ofMillis(30);

  @TempDir private Path folder;

  private ChaosCluster ground(int gateways) throws IOException {
    return new ChaosCluster(
        new Scenario(
            "havoc",
            "",
            Duration.ofSeconds(1),
            100,
            gateways,
            1,
            3,
            LAG,
            Duration.ofMillis(2),
            true,
            0,
            "FINE",
            List.of(),
            List.of(),
            0),
        3,
        folder);
  }

  private static Fault fault(Fault.Kind kind, String on, String to, String how) {
    return new Fault(Duration.ZERO, Duration.ZERO, kind, on, to, how);
  }

  /** Lines of the log from this place on. */
  private static void logs(ChaosCluster.Gateway gateway, int from, String words)
      throws IOException {
    ManagedProcess.until(
        gateway.name() + " logs: " + words,
        Duration.ofSeconds(30),
        () -> {
          try {
            return Files.readString(gateway.log()).substring(from).contains(words);
          } catch (IOException e) {
            return false;
          }
        });
  }

  private static int length(ChaosCluster.Gateway gateway) throws IOException {
    return Files.readString(gateway.log()).length();
  }

  /** Sides that overlap: n1 hears both, n0 and n2 do not hear each other; then all do again. */
  @Test
  void splitWhoseSidesOverlapPartsOnlyThoseWithoutACommonSide() throws IOException {
    try (ChaosCluster ground = ground(3)) {
      ground.start();
      ChaosCluster.Gateway n0 = ground.gateway("n0");
      ChaosCluster.Gateway n2 = ground.gateway("n2");
      logs(n0, 0, "mesh: connection up: peer=n2");
      logs(n2, 0, "mesh: connection up: peer=n0");
      FaultInjector havoc = new FaultInjector(ground);
      Fault split = fault(Fault.Kind.SPLIT, "", "", "n0,n1|n1,n2");
      havoc.begin(split);
      logs(n0, 0, "mesh: connection down: peer=n2 reason=HEARTBEAT_TIMEOUT");
      logs(n2, 0, "mesh: connection down: peer=n0 reason=HEARTBEAT_TIMEOUT");
      assertFalse(Files.readString(ground.gateway("n1").log()).contains("connection down"));
      int from = length(n0);
      havoc.end(split, LAG);
      logs(n0, from, "mesh: connection up: peer=n2");
    }
  }

  /**
   * Its records as they were: a higher incarnation. Empty or of a moment before: others know
   * better, and say so.
   */
  @Test
  void gatewayComesBackWithItsRecordsOldEarlierOrEmpty() throws IOException {
    try (ChaosCluster ground = ground(2)) {
      ChaosCluster.Gateway n1 = ground.gateway("n1");
      ground.start();
      logs(ground.gateway("n0"), 0, "mesh: connection up: peer=n1 incarnation=1");
      n1.keepCopy();
      FaultInjector havoc = new FaultInjector(ground);
      String[][] lives = {{"old", "2"}, {"earlier", "3"}, {"empty", "4"}};
      for (String[] life : lives) {
        int from = length(n1);
        Fault kill = fault(Fault.Kind.KILL, "n1", "", life[0]);
        havoc.begin(kill);
        assertEquals('?', n1.child().state());
        havoc.end(kill, LAG);
        logs(ground.gateway("n0"), 0, "mesh: connection up: peer=n1 incarnation=" + life[1]);
        boolean told =
            Files.readString(n1.log())
                .substring(from)
                .contains("mesh: stored incarnation is outdated");
        assertEquals(!life[0].equals("old"), told, "records " + life[0]);
      }
    }
  }

  @Test
  void sigtermIsAStopInOrderAndSigstopIsNoticedByNobodyInside() throws IOException {
    try (ChaosCluster ground = ground(2)) {
      ground.start();
      ChaosCluster.Gateway n0 = ground.gateway("n0");
      ChaosCluster.Gateway n1 = ground.gateway("n1");
      logs(n0, 0, "mesh: connection up: peer=n1");
      logs(n1, 0, "mesh: connection up: peer=n0");
      FaultInjector havoc = new FaultInjector(ground);
      Fault pause = fault(Fault.Kind.PAUSE, "n1", "", "");
      havoc.begin(pause);
      assertEquals('T', n1.child().state());
      assertFalse(n1.isReady());
      logs(n0, 0, "mesh: connection down: peer=n1 reason=HEARTBEAT_TIMEOUT");
      havoc.end(pause, LAG);
      logs(n1, 0, "mesh: connection down: peer=n0");
      ManagedProcess.until("serves again", Duration.ofSeconds(20), n1::isReady);
      havoc.begin(fault(Fault.Kind.TERM, "n1", "", ""));
      assertTrue(n1.child().await(Duration.ofSeconds(20)));
      assertEquals(0, n1.child().status());
      logs(n1, 0, "DRAINING to STOPPED");
    }
  }

  /**
   * A disk that takes nothing, fails or stands still: no incarnation, no link, and service all the
   * same.
   */
  @Test
  void withoutADiskTheLinkWaitsAndServiceGoesOn() throws IOException {
    try (ChaosCluster ground = ground(2)) {
      ground.gateway("n0").start();
      ChaosCluster.Gateway n1 = ground.gateway("n1");
      for (String words : List.of("full", "fail", "stuck")) {
        int from = Files.exists(n1.log()) ? length(n1) : 0;
        n1.disk(words);
        n1.start();
        n1.awaitReady();
        if (!words.equals("stuck")) {
          logs(n1, from, "mesh: incarnation not stored, no peer is connected: retry=true");
        }
        assertFalse(
            Files.readString(n1.log()).substring(from).contains("mesh: started: incarnation="),
            words);
        n1.disk("");
        logs(n1, from, "mesh: started: incarnation=");
        logs(n1, from, "mesh: connection up: peer=n0");
        n1.child().kill();
      }
    }
  }

  /**
   * Five seconds ahead all data look old, and bounded reads go to the primary alone; else replicas
   * have them.
   */
  @Test
  void wallClockThatIsOffShowsInWhereBoundedReadsGo() throws Exception {
    try (ChaosCluster ground = ground(2)) {
      ground.gateway("n1").wallOff(5000);
      ground.start();
      long zero = ground.clock().nanos();
      try (LoadGenerator load =
          new LoadGenerator(
              ground.gateways().stream().map(ChaosCluster.Gateway::address).toList(),
              1,
              () -> ground.clock().nanos() - zero,
              9)) {
        load.begin(200);
        ManagedProcess.until("RPCs are served", Duration.ofSeconds(30), () -> load.count() > 1200);
        load.end();
        Set<String> atReplicas =
            ground.store().reads().stream()
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
    return load.asked().stream()
        .filter(
            a ->
                a.method() == Method.BROWSE
                    && a.gateway().equals(gateway)
                    && a.outcome() == ClientOperation.ClientOutcome.OK
                    && among.contains(a.rpc()))
        .count();
  }

  /** What a server says of its position, asked at its own address, in Unix seconds. */
  private static double position(ChaosCluster ground, String server) throws IOException {
    try (Socket socket =
        new Socket(
            ground.server(server).address().getAddress(),
            ground.server(server).address().getPort())) {
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
  void serversDoWrongAsOrdered() throws Exception {
    try (ChaosCluster ground = ground(1)) {
      ground.start();
      long zero = ground.clock().nanos();
      try (LoadGenerator load =
          new LoadGenerator(
              List.of(ground.gateway("n0").address()), 1, () -> ground.clock().nanos() - zero, 4)) {
        load.begin(200);
        ManagedProcess.until("RPCs are served", Duration.ofSeconds(30), () -> load.count() > 300);
        FaultInjector havoc = new FaultInjector(ground);
        Fault lost = fault(Fault.Kind.ANSWERS_LOST, "s0", "", "");
        havoc.begin(lost);
        ManagedProcess.until(
            "an answer got lost after its effect",
            Duration.ofSeconds(30),
            () ->
                load.asked().stream()
                    .anyMatch(
                        a ->
                            a.outcome() == ClientOperation.ClientOutcome.ABORTED
                                && ground.store().effects().stream()
                                    .anyMatch(e -> e.rpc().equals(a.rpc()))));
        havoc.end(lost, LAG);
        Fault lag = fault(Fault.Kind.LAG, "s1", "", "3000");
        havoc.begin(lag);
        double behind = System.currentTimeMillis() / 1000.0 - position(ground, "s1");
        assertTrue(behind > 2.9 && behind < 4, behind + " s behind");
        Fault stall = fault(Fault.Kind.SERVER_STALL, "s2", "", "");
        havoc.begin(stall);
        assertThrows(SocketTimeoutException.class, () -> position(ground, "s2"));
        havoc.end(stall, LAG);
        assertTrue(position(ground, "s2") > 0);
        Fault kill = fault(Fault.Kind.SERVER_KILL, "s1", "", "");
        havoc.begin(kill);
        logs(ground.gateway("n0"), 0, "connection failed: endpoint=s1");
        havoc.end(kill, LAG);
        havoc.end(lag, LAG);
      }
    }
  }
}
