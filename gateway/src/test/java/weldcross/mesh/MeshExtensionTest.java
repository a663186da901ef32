package weldcross.mesh;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.BindException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import weldcross.extension.StandaloneEventLoop;
import weldcross.mesh.net.MeshExtension;
import weldcross.mesh.net.PeerListener;
import weldcross.mesh.wire.Frame;
import weldcross.mesh.wire.HandshakeResponse;
import weldcross.mesh.wire.Message;

/** Two gateways' meshes on real sockets and a real directory. */
@Timeout(60)
class MeshExtensionTest {

  private static final PeerName ONE = new PeerName("n1");
  private static final PeerName TWO = new PeerName("n2");
  private static final int SUBJECT = 7;
  private static final int STRANGER_TIMEOUT_MILLIS = 10_000;
  private static final Set<Integer> PORTS_TAKEN = new HashSet<>();

  @TempDir private Path folder;
  private final Map<PeerName, InetSocketAddress> addresses = new HashMap<>();
  private final Map<PeerName, MeshExtension> meshes = new HashMap<>();
  private final Map<PeerName, StandaloneEventLoop> loops = new HashMap<>();
  private final List<String> events = new CopyOnWriteArrayList<>();

  @BeforeEach
  void startBoth() throws IOException {
    for (PeerName each : List.of(ONE, TWO)) {
      addresses.put(each, freeAddress());
    }
    start(ONE);
    start(TWO);
    await(() -> events.contains("n1 up n2 1") && events.contains("n2 up n1 1"));
  }

  /** Below the ephemeral ports, one of which a client could take before it is listened on. */
  private static InetSocketAddress freeAddress() throws IOException {
    for (int port = 12_000 + (int) (ProcessHandle.current().pid() % 8000); ; port++) {
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        if (PORTS_TAKEN.add(port)) {
          return (InetSocketAddress) socket.getLocalSocketAddress();
        }
      } catch (BindException e) {
        // Another process has this port.
      }
    }
  }

  private static MeshConfig config(PeerName self, PeerName peer) {
    return new MeshConfig(
        "c",
        self,
        List.of(peer),
        Duration.ofMillis(50),
        Duration.ofMillis(1000),
        Duration.ofMillis(500),
        Duration.ofMillis(20),
        Duration.ofMillis(200),
        1000,
        8 << 20);
  }

  /** Notes all that one gateway is told. */
  private final class RecordingListener implements PeerListener {
    private final PeerName self;

    RecordingListener(PeerName self) {
      this.self = self;
    }

    @Override
    public void onMessage(PeerName from, Incarnation incarnation, ByteBuffer content) {
      events.add(self + " received " + content.getInt(0) + " of " + content.remaining());
    }

    @Override
    public void onConnectionUp(PeerName peer, Incarnation incarnation) {
      events.add(self + " up " + peer + " " + incarnation.number());
    }

    @Override
    public void onConnectionDown(PeerName peer, DisconnectReason reason) {
      events.add(self + " down " + peer + " " + reason);
    }
  }

  private void start(PeerName self) {
    InetSocketAddress address = addresses.get(self);
    MeshExtension mesh =
        new MeshExtension(
            config(self, self.equals(ONE) ? TWO : ONE),
            new PeerAddresses(address, Optional.of(address), addresses, addresses),
            folder.resolve(self.name()),
            1);
    mesh.subscribe(SUBJECT, new RecordingListener(self));
    StandaloneEventLoop loop = StandaloneEventLoop.start(self.name());
    loop.post(() -> mesh.start(loop));
    meshes.put(self, mesh);
    loops.put(self, loop);
  }

  private void stop(PeerName name) {
    MeshExtension mesh = meshes.get(name);
    StandaloneEventLoop loop = loops.get(name);
    loop.post(
        () -> {
          mesh.stop();
          loop.stop();
        });
  }

  @AfterEach
  void stopBoth() {
    meshes.keySet().forEach(this::stop);
    await(() -> loops.values().stream().allMatch(StandaloneEventLoop::isStopped));
  }

  private static void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + Duration.ofSeconds(20).toNanos();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadline, "in time");
      Thread.onSpinWait();
    }
  }

  private void send(PeerName from, PeerName to, int number, int size) {
    ByteBuffer content = ByteBuffer.allocate(size).putInt(0, number);
    loops.get(from).post(() -> meshes.get(from).send(to, SUBJECT, content, false));
  }

  private List<String> eventsStartingWith(String prefix) {
    return events.stream().filter(event -> event.startsWith(prefix)).toList();
  }

  private Socket openStranger() throws IOException {
    Socket stranger = new Socket(addresses.get(ONE).getAddress(), addresses.get(ONE).getPort());
    stranger.setSoTimeout(STRANGER_TIMEOUT_MILLIS);
    return stranger;
  }

  @Test
  void messagesArriveWholeAndInOrderAndDatagramsArrive() {
    List<String> expected = new ArrayList<>();
    for (int k = 0; k < 100; k++) {
      int size = k % 10 == 9 ? 200_000 : 10 + k;
      send(ONE, TWO, k, size);
      expected.add("n2 received " + k + " of " + size);
    }
    await(() -> eventsStartingWith("n2 received").size() == 100);
    assertEquals(expected, eventsStartingWith("n2 received"));
    ByteBuffer content = ByteBuffer.allocate(8).putInt(0, 77);
    loops.get(TWO).post(() -> meshes.get(TWO).sendDatagram(ONE, SUBJECT, content));
    await(() -> events.contains("n1 received 77 of 8"));
  }

  private static weldcross.mesh.wire.HandshakeRequest requestOfALaterVersion() {
    return weldcross.mesh.wire.HandshakeRequest.newBuilder()
        .setVersion(99)
        .setCluster("c")
        .setFrom("n2")
        .setTo("n1")
        .build();
  }

  @Test
  void invalidFramesEndTheirConnectionAndNoOther() throws IOException {
    byte[][] invalid = {
      "GET / HTTP/1.1\r\n\r\n".getBytes(UTF_8),
      {0x7f, 0, 0, 0},
      {(byte) 0xff, 0, 0, 0, 1},
      {0, 0, 0, 3, 9, 9, 9},
      framed(Frame.newBuilder().setHeartbeat(1)),
      framed(Frame.newBuilder().setHandshakeResponse(HandshakeResponse.getDefaultInstance())),
      framed(Frame.newBuilder().setMessage(Message.newBuilder().setSubject(SUBJECT))),
      framed(Frame.newBuilder().setHandshakeRequest(requestOfALaterVersion()))
    };
    for (byte[] each : invalid) {
      try (Socket stranger = openStranger()) {
        stranger.getOutputStream().write(each);
        while (stranger.getInputStream().read() >= 0) {
          // Until the gateway closes the connection.
        }
      } catch (SocketException e) {
        // A reset closes it as well.
      }
    }
    try (DatagramSocket socket = new DatagramSocket()) {
      socket.send(new DatagramPacket(new byte[] {9, 9, 9}, 3, addresses.get(ONE)));
    }
    send(TWO, ONE, 5, 10);
    await(() -> events.contains("n1 received 5 of 10"));
    assertEquals(List.of(), events.stream().filter(event -> event.contains("down")).toList());
  }

  @Test
  void laterVersionIsRejectedWithTheNewestSupportedAndUnknownFieldsAreIgnored() throws IOException {
    try (Socket stranger = openStranger()) {
      byte[] request = requestOfALaterVersion().toByteArray();
      // Field 1 is the request; field 90 is in no schema.
      byte[] body =
          ByteBuffer.allocate(request.length + 5)
              .put((byte) 0x0a)
              .put((byte) request.length)
              .put(request)
              .put((byte) 0xd0)
              .put((byte) 0x05)
              .put((byte) 1)
              .array();
      stranger.getOutputStream().write(framed(body));
      DataInputStream in = new DataInputStream(stranger.getInputStream());
      Frame answer = Frame.parseFrom(in.readNBytes(in.readInt()));
      assertEquals("VERSION", answer.getHandshakeRejected().getReason());
      assertEquals(MeshConfig.PROTOCOL_VERSION, answer.getHandshakeRejected().getNewestVersion());
    }
  }

  private static byte[] framed(Frame.Builder frame) {
    return framed(frame.build().toByteArray());
  }

  private static byte[] framed(byte[] body) {
    return ByteBuffer.allocate(Integer.BYTES + body.length).putInt(body.length).put(body).array();
  }

  @Test
  void restartedGatewayHasAHigherIncarnationAndItsStopWasAnnounced() {
    StandaloneEventLoop before = loops.get(TWO);
    stop(TWO);
    await(() -> events.contains("n1 down n2 GOODBYE"));
    // The goodbye goes out before the address is free, and the next process has to bind it.
    await(before::isStopped);
    start(TWO);
    await(() -> events.contains("n1 up n2 2"));
  }
}
