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

/** The mesh extensions of two gateways, on loopback sockets and temporary directories. */
@Timeout(60)
class MeshExtensionTest {

  private static final PeerName ONE = new PeerName("n1");
  private static final PeerName TWO = new PeerName("n2");
  private static final int SUBJECT = 7;
  private static final int SOCKET_TIMEOUT_MILLIS = 10_000;
  private static final Set<Integer> ALLOCATED_PORTS = new HashSet<>();

  @TempDir private Path directory;
  private final Map<PeerName, InetSocketAddress> addresses = new HashMap<>();
  private final Map<PeerName, MeshExtension> meshes = new HashMap<>();
  private final Map<PeerName, StandaloneEventLoop> loops = new HashMap<>();
  private final List<String> events = new CopyOnWriteArrayList<>();

  @BeforeEach
  void startGateways() throws IOException {
    for (PeerName gateway : List.of(ONE, TWO)) {
      addresses.put(gateway, freeAddress());
    }
    start(ONE);
    start(TWO);
    await(() -> events.contains("n1 up n2 1") && events.contains("n2 up n1 1"));
  }

  /**
   * Chosen below the ephemeral port range, so that no outgoing connection can use the port before
   * the gateway binds it.
   */
  private static InetSocketAddress freeAddress() throws IOException {
    for (int port = 12_000 + (int) (ProcessHandle.current().pid() % 8000); ; port++) {
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        if (ALLOCATED_PORTS.add(port)) {
          return (InetSocketAddress) socket.getLocalSocketAddress();
        }
      } catch (BindException e) {
        // The port is in use by another process.
      }
    }
  }

  private static MeshConfig config(PeerName self, PeerName peer) {
    Duration heartbeatInterval = Duration.ofMillis(50);
    Duration heartbeatTimeout = Duration.ofSeconds(1);
    Duration connectTimeout = Duration.ofMillis(500);
    Duration minBackoff = Duration.ofMillis(20);
    Duration maxBackoff = Duration.ofMillis(200);
    int maxQueuedMessages = 1000;
    int maxQueuedBytes = 8 << 20;
    return new MeshConfig(
        "c",
        self,
        List.of(peer),
        heartbeatInterval,
        heartbeatTimeout,
        connectTimeout,
        minBackoff,
        maxBackoff,
        maxQueuedMessages,
        maxQueuedBytes);
  }

  /** Records the events reported to one gateway. */
  private final class EventRecorder implements PeerListener {
    private final PeerName self;

    EventRecorder(PeerName self) {
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
            directory.resolve(self.name()),
            1);
    mesh.subscribe(SUBJECT, new EventRecorder(self));
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
  void stopGateways() {
    meshes.keySet().forEach(this::stop);
    await(() -> loops.values().stream().allMatch(StandaloneEventLoop::isStopped));
  }

  private static void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + Duration.ofSeconds(20).toNanos();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadline, "condition not met within 20 s");
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

  private Socket openRawConnection() throws IOException {
    Socket connection = new Socket(addresses.get(ONE).getAddress(), addresses.get(ONE).getPort());
    connection.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    return connection;
  }

  @Test
  void messagesArriveCompleteAndInOrderAndDatagramsArrive() {
    List<String> expected = new ArrayList<>();
    for (int number = 0; number < 100; number++) {
      int size = number % 10 == 9 ? 200_000 : 10 + number;
      send(ONE, TWO, number, size);
      expected.add("n2 received " + number + " of " + size);
    }
    await(() -> eventsStartingWith("n2 received").size() == 100);
    assertEquals(expected, eventsStartingWith("n2 received"));
    ByteBuffer content = ByteBuffer.allocate(8).putInt(0, 77);
    loops.get(TWO).post(() -> meshes.get(TWO).sendDatagram(ONE, SUBJECT, content));
    await(() -> events.contains("n1 received 77 of 8"));
  }

  private static weldcross.mesh.wire.HandshakeRequest requestOfUnsupportedVersion() {
    return weldcross.mesh.wire.HandshakeRequest.newBuilder()
        .setVersion(99)
        .setCluster("c")
        .setFrom("n2")
        .setTo("n1")
        .build();
  }

  /**
   * A heartbeat before the handshake is ignored and its connection closed by the handshake timeout;
   * all others are closed because of the frame itself.
   */
  @Test
  void invalidFramesCloseOnlyTheirOwnConnection() throws IOException {
    byte[] tooLargeLength = {0x7f, 0, 0, 0};
    byte[] negativeLength = {(byte) 0xff, 0, 0, 0, 1};
    byte[] undecodableBody = {0, 0, 0, 3, 9, 9, 9};
    byte[][] invalid = {
      "GET / HTTP/1.1\r\n\r\n".getBytes(UTF_8),
      tooLargeLength,
      negativeLength,
      undecodableBody,
      encodeFrame(Frame.newBuilder().setHeartbeat(1)),
      encodeFrame(Frame.newBuilder().setHandshakeResponse(HandshakeResponse.getDefaultInstance())),
      encodeFrame(Frame.newBuilder().setMessage(Message.newBuilder().setSubject(SUBJECT))),
      encodeFrame(Frame.newBuilder().setHandshakeRequest(requestOfUnsupportedVersion()))
    };
    for (byte[] bytes : invalid) {
      try (Socket connection = openRawConnection()) {
        connection.getOutputStream().write(bytes);
        while (connection.getInputStream().read() >= 0) {
          // Read until the gateway closes the connection.
        }
      } catch (SocketException e) {
        // A connection reset is a valid way to close it, too.
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
  void unsupportedVersionIsRejectedWithTheNewestSupportedOneAndUnknownFieldsAreIgnored()
      throws IOException {
    try (Socket connection = openRawConnection()) {
      byte[] request = requestOfUnsupportedVersion().toByteArray();
      // Field 1 is the request; field 90 does not exist in the schema.
      byte[] body =
          ByteBuffer.allocate(request.length + 5)
              .put((byte) 0x0a)
              .put((byte) request.length)
              .put(request)
              .put((byte) 0xd0)
              .put((byte) 0x05)
              .put((byte) 1)
              .array();
      connection.getOutputStream().write(encodeFrame(body));
      DataInputStream in = new DataInputStream(connection.getInputStream());
      Frame response = Frame.parseFrom(in.readNBytes(in.readInt()));
      assertEquals("VERSION", response.getHandshakeRejected().getReason());
      assertEquals(MeshConfig.PROTOCOL_VERSION, response.getHandshakeRejected().getNewestVersion());
    }
  }

  private static byte[] encodeFrame(Frame.Builder frame) {
    return encodeFrame(frame.build().toByteArray());
  }

  private static byte[] encodeFrame(byte[] body) {
    return ByteBuffer.allocate(Integer.BYTES + body.length).putInt(body.length).put(body).array();
  }

  @Test
  void stoppedGatewaySendsAGoodbyeAndRestartsWithAHigherIncarnation() {
    StandaloneEventLoop stoppedLoop = loops.get(TWO);
    stop(TWO);
    await(() -> events.contains("n1 down n2 GOODBYE"));
    // The goodbye is sent before the address is released, and the restarted gateway binds the same
    // address.
    await(stoppedLoop::isStopped);
    start(TWO);
    await(() -> events.contains("n1 up n2 2"));
  }
}
