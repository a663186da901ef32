package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import weldcross.gossip.GossipMessage;
import weldcross.routing.ServerId;

@Timeout(60)
class GossipSocketTest {

  private static final ServerId SERVER = new ServerId("s-7");

  private final LinkedBlockingQueue<ServerId> received = new LinkedBlockingQueue<>();

  private InetSocketAddress receiverAddress;
  private GossipSocket receiver;
  private GossipSocket sender;

  @BeforeEach
  void open() throws IOException {
    receiverAddress = freeAddress();
    receiver = new GossipSocket(receiverAddress, received::add);
    sender = new GossipSocket(freeAddress(), server -> {});
  }

  @AfterEach
  void close() {
    receiver.close();
    sender.close();
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(free.getLocalAddress(), free.getLocalPort());
    }
  }

  /** Datagrams may be lost, so this sends until one is received. */
  private ServerId sendUntilReceived() throws InterruptedException {
    ServerId server = null;
    for (int attempt = 0; server == null && attempt < 100; attempt++) {
      sender.send(receiverAddress, GossipMessage.encode(SERVER));
      server = received.poll(200, TimeUnit.MILLISECONDS);
    }
    return server;
  }

  @Test
  void messageIsReceivedByOtherSocket() throws Exception {
    assertEquals(SERVER, sendUntilReceived());
  }

  @Test
  void oversizedMessageIsIgnored() throws Exception {
    byte[] oversized = "s".repeat(GossipMessage.MAX_BYTES + 1).getBytes(StandardCharsets.US_ASCII);
    sender.send(receiverAddress, oversized);
    assertEquals(SERVER, sendUntilReceived());
    assertTrue(received.stream().allMatch(SERVER::equals), received.toString());
  }

  @Test
  void bindingAddressInUseFails() throws Exception {
    try (DatagramSocket taken = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(taken.getLocalAddress(), taken.getLocalPort());
      assertThrows(IOException.class, () -> new GossipSocket(address, received::add));
    }
  }
}
