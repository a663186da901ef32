package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import weldcross.config.ConfigValues;
import weldcross.config.GatewayConfig;
import weldcross.gateway.LoopbackFakes.Client;
import weldcross.gateway.LoopbackFakes.Discovery;
import weldcross.gateway.LoopbackFakes.Primary;
import weldcross.pgwire.MessageEncoder;

/** A gateway that serves over loopback sockets, with a fake server and a fake discovery. */
@Timeout(60)
class GatewayProcessTest {

  private final LoopbackFakes fakes = new LoopbackFakes();

  @AfterEach
  void closeFakes() throws Exception {
    fakes.close();
  }

  @Test
  void gatewayServesShutsDownAndStartsAgain() throws Exception {
    Discovery discovery = fakes.discovery(new Primary());
    for (int run = 0; run < 2; run++) {
      GatewayProcess gateway = new GatewayProcess(LoopbackFakes.readConfig(discovery));
      CompletableFuture<Integer> status = CompletableFuture.supplyAsync(gateway::serve);
      InetSocketAddress address = gateway.listening().get(20, TimeUnit.SECONDS);
      try (Client client = new Client(address)) {
        while (!client.query("").get(0).startsWith("I")) {
          Thread.onSpinWait();
        }
        String value = "0f".repeat(60_000) + "a" + run;
        assertEquals("D\0\1", fakes.write(client, value).get(1).substring(0, 3));
        List<String> read = fakes.read(client);
        assertEquals(List.of('T', 'D', 'C', 'Z'), read.stream().map(m -> m.charAt(0)).toList());
        assertEquals(value, read.get(1).substring(7));
        assertTrue(client.query("DROP TABLE kv").get(0).contains("C42601"));
        gateway.stop();
        assertEquals(value, fakes.read(client).get(1).substring(7), "still served while draining");
        assertEquals(0, status.get(20, TimeUnit.SECONDS));
        assertEquals(-1, client.in.read());
      }
      assertThrows(IOException.class, () -> new Client(address));
    }
  }

  /** A client that keeps sending must receive the error and the end of the stream, not a reset. */
  @Test
  void malformedMessageIsAnsweredBeforeTheCloseWhileMoreDataArrives() throws Exception {
    GatewayProcess gateway =
        new GatewayProcess(LoopbackFakes.readConfig(fakes.discovery(new Primary())));
    CompletableFuture<Integer> unused = CompletableFuture.supplyAsync(gateway::serve);
    InetSocketAddress address = gateway.listening().get(20, TimeUnit.SECONDS);
    try (Client client = new Client(address)) {
      client.send(ByteBuffer.allocate(5).put((byte) 'Q').putInt(60 << 20).flip());
      LoopbackFakes.startThread(
          () -> {
            while (true) {
              client.socket.getOutputStream().write(new byte[60_000]);
            }
          });
      assertTrue(LoopbackFakes.readMessage(client.in).contains("C08P01"));
      assertEquals(-1, client.in.read());
    }
    gateway.stop();
  }

  private GatewayProcess serveWith64Descriptors(Primary primary) throws IOException {
    String config = LoopbackFakes.configJson(fakes.discovery(primary)).replace("1024", "64");
    GatewayProcess gateway =
        new GatewayProcess(
            GatewayConfig.of(ConfigValues.ofJson(config.getBytes(StandardCharsets.UTF_8))));
    CompletableFuture<Integer> unused = CompletableFuture.supplyAsync(gateway::serve);
    return gateway;
  }

  /** Hundreds of silent clients must not displace an active one. */
  @Test
  void connectionsBeyondTheLimitAreClosedByTheAcceptor() throws Exception {
    Primary primary = new Primary();
    GatewayProcess gateway = serveWith64Descriptors(primary);
    InetSocketAddress address = gateway.listening().get(20, TimeUnit.SECONDS);
    List<Socket> silent = new ArrayList<>();
    try (Client active = new Client(address)) {
      while (!active.query("").get(0).startsWith("I")) {
        Thread.onSpinWait();
      }
      for (int k = 0; k < 300; k++) {
        silent.add(new Socket(address.getAddress(), address.getPort()));
      }
      assertEquals("D\0\1", fakes.write(active, "0f").get(1).substring(0, 3));
      int open = 0;
      for (Socket socket : silent) {
        socket.setSoTimeout(1);
        try {
          // Returns at once if the connection was closed, with or without an error message.
          socket.getInputStream().read();
        } catch (SocketTimeoutException e) {
          open++;
        } catch (IOException e) {
          // The connection was reset.
        }
      }
      assertTrue(open <= 48, open + " connections open with 64 descriptors");
    } finally {
      for (Socket socket : silent) {
        socket.close();
      }
    }
    assertTrue(isServedWithin(Duration.ofSeconds(20), address), "new clients are accepted again");
    gateway.stop();
  }

  /** Retries, as the gateway may not have processed the closes of earlier connections yet. */
  private static boolean isServedWithin(Duration timeout, InetSocketAddress address) {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (System.nanoTime() < deadline) {
      try (Client client = new Client(address)) {
        if (client.query("").get(0).startsWith("I")) {
          return true;
        }
      } catch (IOException e) {
        Thread.onSpinWait();
      }
    }
    return false;
  }

  /** An error could be lost, as the client's first statement would reset the connection. */
  @Test
  void connectionClosedByTheAcceptorReceivesNoError() throws Exception {
    Primary primary = new Primary();
    GatewayProcess gateway = serveWith64Descriptors(primary);
    InetSocketAddress address = gateway.listening().get(20, TimeUnit.SECONDS);
    List<Client> busy = new ArrayList<>();
    List<Socket> overLimit = new ArrayList<>();
    primary.writeLatch = new CountDownLatch(1);
    try {
      busy.add(new Client(address));
      while (!busy.get(0).query("").get(0).startsWith("I")) {
        Thread.onSpinWait();
      }
      for (int k = 0; k < 24; k++) {
        Client client = k == 0 ? busy.get(0) : new Client(address);
        // A client with a request in progress is not evicted.
        client.query("");
        sendWrite(client, "b" + k);
        if (k > 0) {
          busy.add(client);
        }
      }
      // All are opened first: if each were checked before the next one is opened, on a slow
      // machine the gateway could have closed the earlier ones and would never reach its limit.
      for (int k = 0; k < 200; k++) {
        overLimit.add(new Socket(address.getAddress(), address.getPort()));
      }
      assertTrue(countWithoutResponse(overLimit) > 0, "all received a response");
      primary.writeLatch.countDown();
      for (Client client : busy) {
        client.readResponse();
      }
    } finally {
      primary.writeLatch.countDown();
      for (Socket socket : overLimit) {
        socket.close();
      }
      for (Client client : busy) {
        client.close();
      }
    }
    gateway.stop();
  }

  private static void sendWrite(Client client, String id) throws IOException {
    client.send(
        MessageEncoder.query(
            "INSERT INTO kv (name, content) VALUES ('k', '\\x0f') RETURNING content /* id="
                + id
                + ",c=entry-write,d=20000,cluster=0 */"));
  }

  private static int countWithoutResponse(List<Socket> clients) throws IOException {
    int count = 0;
    for (Socket client : clients) {
      client.setSoTimeout(5000);
      try {
        client.getOutputStream().write(MessageEncoder.startup().array());
        count += client.getInputStream().read() < 0 ? 1 : 0;
      } catch (IOException e) {
        count++;
      }
    }
    return count;
  }

  @Test
  void startFailsIfTheAddressIsInUse() throws Exception {
    Primary primary = new Primary();
    Discovery discovery = fakes.discovery(primary);
    GatewayConfig config =
        GatewayConfig.of(
            ConfigValues.ofJson(
                LoopbackFakes.configJson(discovery)
                    .replace("127.0.0.1:0", "127.0.0.1:" + primary.socket.getLocalPort())
                    .getBytes(StandardCharsets.UTF_8)));
    GatewayProcess gateway = new GatewayProcess(config);
    assertFalse(gateway.serve() == 0);
    assertTrue(
        gateway.listening().isCompletedExceptionally(), "callers do not wait for it forever");
  }
}
