package weldcross.benchmarks;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import weldcross.extension.StandaloneEventLoop;
import weldcross.mesh.DisconnectReason;
import weldcross.mesh.HandshakeRejection;
import weldcross.mesh.HandshakeRequest;
import weldcross.mesh.Incarnation;
import weldcross.mesh.MeshConfig;
import weldcross.mesh.PeerAddresses;
import weldcross.mesh.PeerConnectionListener;
import weldcross.mesh.PeerConnectionManager;
import weldcross.mesh.PeerName;
import weldcross.mesh.PeerTransport;
import weldcross.mesh.net.MeshExtension;
import weldcross.mesh.net.PeerListener;

/**
 * Measures the throughput and cost of the mesh: 5 gateways on sockets, idle and at full load; and 5
 * and 300 gateways in memory, idle, counting the frames and bytes that would cross the network. Run
 * by hand.
 */
public final class MeshMeasurements {

  private static final int SMALL_MESH = 5;
  private static final int LARGE_MESH = 300;
  private static final int MESSAGE_BYTES = 200;
  private static final int MEASUREMENT_SECONDS = 5;
  private static final int MAX_PENDING_TASKS = 200;

  private MeshMeasurements() {}

  /** Runs all measurements and prints the results; takes no arguments. */
  public static void main(String[] args) throws IOException, InterruptedException {
    measureOnSockets();
    measureInMemory(SMALL_MESH);
    measureInMemory(LARGE_MESH);
  }

  private static PeerName name(int number) {
    return new PeerName("n" + number);
  }

  private static MeshConfig config(int self, int count) {
    List<PeerName> peers = new ArrayList<>();
    for (int k = 0; k < count; k++) {
      if (k != self) {
        peers.add(name(k));
      }
    }
    return new MeshConfig(
        "c",
        name(self),
        peers,
        Duration.ofMillis(250),
        Duration.ofMillis(1500),
        Duration.ofSeconds(1),
        Duration.ofMillis(100),
        Duration.ofSeconds(5),
        4096,
        4 << 20);
  }

  private static long processCpuNanos() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  // ---- On sockets

  /** Counts the messages and connections of all gateways on sockets. */
  private static final class CountingListener implements PeerListener {
    final AtomicLong messages = new AtomicLong();
    final AtomicLong connections = new AtomicLong();

    @Override
    public void onMessage(PeerName from, Incarnation incarnation, ByteBuffer content) {
      messages.incrementAndGet();
    }

    @Override
    public void onConnectionUp(PeerName peer, Incarnation incarnation) {
      connections.incrementAndGet();
    }
  }

  /** A mesh and the event loop that it runs on. */
  private record Gateway(MeshExtension mesh, StandaloneEventLoop loop) {

    void sendToAll(Iterable<PeerName> receivers) {
      loop.post(
          () -> {
            for (PeerName to : receivers) {
              mesh.send(to, 1, ByteBuffer.allocate(MESSAGE_BYTES), true);
            }
          });
    }
  }

  private static Map<PeerName, InetSocketAddress> freeAddresses() throws IOException {
    Map<PeerName, InetSocketAddress> addresses = new HashMap<>();
    for (int k = 0; k < SMALL_MESH; k++) {
      try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        addresses.put(name(k), (InetSocketAddress) free.getLocalSocketAddress());
      }
    }
    return addresses;
  }

  private static Gateway startGateway(
      int number,
      Map<PeerName, InetSocketAddress> addresses,
      Path directory,
      PeerListener listener) {
    MeshExtension mesh =
        new MeshExtension(
            config(number, SMALL_MESH),
            new PeerAddresses(addresses.get(name(number)), Optional.empty(), addresses, Map.of()),
            directory.resolve(name(number).name()),
            number);
    mesh.subscribe(1, listener);
    StandaloneEventLoop loop = StandaloneEventLoop.start("event loop " + number);
    loop.post(() -> mesh.start(loop));
    return new Gateway(mesh, loop);
  }

  private static void measureOnSockets() throws IOException, InterruptedException {
    Map<PeerName, InetSocketAddress> addresses = freeAddresses();
    Path directory = Files.createTempDirectory("mesh-measurements");
    CountingListener counts = new CountingListener();
    List<Gateway> gateways = new ArrayList<>();
    for (int k = 0; k < SMALL_MESH; k++) {
      gateways.add(startGateway(k, addresses, directory, counts));
    }
    while (counts.connections.get() < SMALL_MESH * (SMALL_MESH - 1)) {
      Thread.onSpinWait();
    }
    measureIdle();
    measureThroughput(gateways, addresses, counts);
    gateways.forEach(gateway -> gateway.loop().stop());
    System.out.println("(" + directory + " can be deleted)");
  }

  private static void measureIdle() throws InterruptedException {
    long cpuNanos = processCpuNanos();
    TimeUnit.SECONDS.sleep(MEASUREMENT_SECONDS);
    System.out.printf(
        "5 gateways on sockets, idle: %.2f ms CPU time per gateway and second%n",
        (processCpuNanos() - cpuNanos) / 1e6 / SMALL_MESH / MEASUREMENT_SECONDS);
  }

  private static void measureThroughput(
      List<Gateway> gateways, Map<PeerName, InetSocketAddress> addresses, CountingListener counts) {
    long cpuNanos = processCpuNanos();
    long messagesBefore = counts.messages.get();
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MEASUREMENT_SECONDS);
    while (System.nanoTime() < deadline) {
      for (Gateway gateway : gateways) {
        if (gateway.loop().pendingTasks() < MAX_PENDING_TASKS) {
          gateway.sendToAll(addresses.keySet());
        }
      }
    }
    long messages = counts.messages.get() - messagesBefore;
    System.out.printf(
        "5 gateways on sockets, full load: %d messages of %d bytes per second, "
            + "%.1f us CPU time per message (both ends)%n",
        messages / MEASUREMENT_SECONDS,
        MESSAGE_BYTES,
        (processCpuNanos() - cpuNanos) / 1e3 / messages);
  }

  // ---- In memory

  /** One end of an in-memory connection. */
  private record Endpoint(InMemoryGateway gateway, long connection) {}

  /** Delivers a frame to its receiver. */
  private interface FrameDelivery {
    void deliver(PeerConnectionManager receiver, long connection);
  }

  /** An in-memory gateway. Frames are counted with their encoded size and arrive without delay. */
  private static final class InMemoryGateway implements PeerTransport, PeerConnectionListener {
    private static final int IP_AND_TCP_HEADER_BYTES = 40;
    private static final int HANDSHAKE_REQUEST_BYTES = 40;
    private static final int HANDSHAKE_RESPONSE_BYTES = 20;
    private static final int HEARTBEAT_BYTES = 8;
    private static final int MESSAGE_HEADER_BYTES = 12;

    final PeerConnectionManager manager;
    final int number;
    final InMemoryNetwork network;
    final Map<Long, Endpoint> otherEnds = new HashMap<>();
    Optional<Duration> wakeAt = Optional.empty();

    InMemoryGateway(int number, InMemoryNetwork network, int count) {
      this.number = number;
      this.network = network;
      this.manager = new PeerConnectionManager(config(number, count), this, this, number);
    }

    private void send(long connection, int bytes, FrameDelivery frame) {
      Endpoint receiver = otherEnds.get(connection);
      network.frames++;
      network.bytes += bytes + IP_AND_TCP_HEADER_BYTES;
      if (receiver != null) {
        network.inFlight.add(
            () -> frame.deliver(receiver.gateway().manager, receiver.connection()));
      }
    }

    @Override
    public void connect(long connection, PeerName to) {
      InMemoryGateway receiver = network.gateways.get(Integer.parseInt(to.name().substring(1)));
      network.inFlight.add(
          () -> {
            long accepted = ++network.acceptedConnections;
            otherEnds.put(connection, new Endpoint(receiver, accepted));
            receiver.otherEnds.put(accepted, new Endpoint(this, connection));
            receiver.manager.onAccepted(network.now, accepted, true);
            manager.onConnected(network.now, connection);
          });
    }

    @Override
    public void sendHandshakeRequest(long connection, PeerName to, Incarnation self) {
      HandshakeRequest request =
          new HandshakeRequest("c", name(number), to, self, MeshConfig.PROTOCOL_VERSION);
      send(
          connection,
          HANDSHAKE_REQUEST_BYTES,
          (receiver, receiverConnection) ->
              receiver.onHandshakeRequest(network.now, receiverConnection, request));
    }

    @Override
    public void sendHandshakeResponse(long connection, Incarnation self) {
      send(
          connection,
          HANDSHAKE_RESPONSE_BYTES,
          (receiver, receiverConnection) ->
              receiver.onHandshakeResponse(network.now, receiverConnection, self));
    }

    @Override
    public void sendHandshakeRejection(long connection, HandshakeRejection reason, long known) {
      send(
          connection,
          HANDSHAKE_RESPONSE_BYTES,
          (receiver, receiverConnection) ->
              receiver.onHandshakeRejection(network.now, receiverConnection, reason, known));
    }

    @Override
    public void sendHeartbeat(long connection, long sequence) {
      send(
          connection,
          HEARTBEAT_BYTES,
          (receiver, receiverConnection) ->
              receiver.onHeartbeat(network.now, receiverConnection, sequence));
    }

    @Override
    public void sendHeartbeatAck(long connection, long sequence) {
      send(
          connection,
          HEARTBEAT_BYTES,
          (receiver, receiverConnection) ->
              receiver.onHeartbeatAck(network.now, receiverConnection, sequence));
    }

    @Override
    public void sendMessage(long connection, int subject, ByteBuffer content) {
      send(
          connection,
          MESSAGE_HEADER_BYTES + content.remaining(),
          (receiver, receiverConnection) ->
              receiver.onMessage(network.now, receiverConnection, subject, content));
    }

    @Override
    public void sendGoodbye(long connection) {}

    @Override
    public void close(long connection) {}

    @Override
    public void closeAfterFlush(long connection) {}

    @Override
    public void sendDatagram(PeerName to, Incarnation self, int subject, ByteBuffer content) {}

    @Override
    public void wakeAt(Duration when) {
      wakeAt = Optional.of(when);
    }

    @Override
    public void messageReceived(
        PeerName from, Incarnation incarnation, int subject, ByteBuffer content) {}

    @Override
    public void connectionUp(PeerName peer, Incarnation incarnation) {
      network.connectionsUp++;
    }

    @Override
    public void connectionDown(PeerName peer, DisconnectReason reason) {}

    @Override
    public void connectionRefused(PeerName peer, Optional<Incarnation> lastKnown) {}

    @Override
    public void localIncarnationOutdated(long knownIncarnation) {}

    void runTimer() {
      if (wakeAt.isPresent() && wakeAt.get().compareTo(network.now) <= 0) {
        wakeAt = Optional.empty();
        manager.onTimer(network.now);
      }
    }
  }

  /** The in-memory gateways, the frames in flight between them, and counts of the frames sent. */
  private static final class InMemoryNetwork {
    private static final Duration STEP = Duration.ofMillis(10);

    final List<InMemoryGateway> gateways = new ArrayList<>();
    final ArrayDeque<Runnable> inFlight = new ArrayDeque<>();
    Duration now = Duration.ZERO;
    long acceptedConnections;
    long frames;
    long bytes;
    long connectionsUp;

    void run(Duration duration) {
      Duration end = now.plus(duration);
      while (now.compareTo(end) < 0) {
        gateways.forEach(InMemoryGateway::runTimer);
        for (Runnable next = inFlight.poll(); next != null; next = inFlight.poll()) {
          next.run();
        }
        now = now.plus(STEP);
      }
    }
  }

  private static void measureInMemory(int count) {
    InMemoryNetwork network = new InMemoryNetwork();
    for (int k = 0; k < count; k++) {
      network.gateways.add(new InMemoryGateway(k, network, count));
    }
    network.gateways.forEach(
        gateway -> gateway.manager.start(network.now, new Incarnation(1, gateway.number)));
    network.run(Duration.ofSeconds(2));
    long framesBefore = network.frames;
    long bytesBefore = network.bytes;
    long cpuNanos = processCpuNanos();
    network.run(Duration.ofSeconds(MEASUREMENT_SECONDS));
    System.out.printf(
        "%d gateways in memory, idle, %d connections up: %.0f frames and %.0f bytes "
            + "(with IP and TCP headers) and %.2f ms CPU time per gateway and second%n",
        count,
        network.connectionsUp,
        (network.frames - framesBefore) / (double) MEASUREMENT_SECONDS / count,
        (network.bytes - bytesBefore) / (double) MEASUREMENT_SECONDS / count,
        (processCpuNanos() - cpuNanos) / 1e6 / MEASUREMENT_SECONDS / count);
  }
}
