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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import weldcross.gossip.GossipMessage;
import weldcross.routing.ServerId;

@Timeout(60)
class GossipSocketTest {

  private static final ServerId SERVER = new ServerId("s-7");

  private final LinkedBlockingQueue<ServerId> received = new LinkedBlockingQueue<>();

  private static InetSocketAddress freeAddress() throws IOException {
    try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(free.getLocalAddress(), free.getLocalPort());
    }
  }

  /** A datagram may be lost, so it is sent until one arrives. */
  private ServerId sendUntilReceived(
      GossipSocket sender, InetSocketAddress receiver, byte[] message) throws Exception {
    ServerId server = null;
    for (int attempt = 0; server == null && attempt < 100; attempt++) {
      sender.send(receiver, message);
      server = received.poll(200, TimeUnit.MILLISECONDS);
    }
    return server;
  }

  @Test
  void messageReachesTheOtherSocket() throws Exception {
    InetSocketAddress receiverAddress = freeAddress();
    try (GossipSocket receiver = new GossipSocket(receiverAddress, received::add);
        GossipSocket sender = new GossipSocket(freeAddress(), server -> {})) {
      assertEquals(
          SERVER, sendUntilReceived(sender, receiverAddress, GossipMessage.encode(SERVER)));
    }
  }

  @Test
  void messageThatIsTooLongIsIgnored() throws Exception {
    InetSocketAddress receiverAddress = freeAddress();
    try (GossipSocket receiver = new GossipSocket(receiverAddress, received::add);
        GossipSocket sender = new GossipSocket(freeAddress(), server -> {})) {
      sender.send(receiverAddress, "s".repeat(257).getBytes(StandardCharsets.US_ASCII));
      assertEquals(
          SERVER, sendUntilReceived(sender, receiverAddress, GossipMessage.encode(SERVER)));
      assertTrue(received.stream().allMatch(SERVER::equals), received.toString());
    }
  }

  @Test
  void addressInUseIsReported() throws Exception {
    try (DatagramSocket taken = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(taken.getLocalAddress(), taken.getLocalPort());
      assertThrows(IOException.class, () -> new GossipSocket(address, received::add));
    }
  }
}
