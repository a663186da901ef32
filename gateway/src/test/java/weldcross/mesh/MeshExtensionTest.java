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
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import weldcross.extension.ExtensionContext;
import weldcross.mesh.net.MeshExtension;
import weldcross.mesh.wire.Frame;
import weldcross.mesh.wire.Greeting;

/**
 * Links on real sockets and a real directory: what is bad costs its sender its connection, and
 * nobody else.
 */
@Timeout(60)
class MeshExtensionTest {

  /** The thread of one gateway, as its reducer is. */
  private static final class Reducer implements ExtensionContext {
    final LinkedBlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
    final PriorityQueue<Map.Entry<Duration, Runnable>> dues =
        new PriorityQueue<>(Map.Entry.comparingByKey());
    final long zero = System.nanoTime();
    volatile boolean ends;
    Duration now = Duration.ZERO;

    @Override
    public Duration now() {
      return now;
    }

    @Override
    public void at(Duration when, Runnable due) {
      dues.add(Map.entry(when, due));
    }

    @Override
    public void soon(Runnable next) {
      posted.add(next);
    }

    @Override
    public void post(Runnable event) {
      posted.add(event);
    }

    @Override
    public void changed() {}

    @Override
    public void setQuota(double share) {
      // Nobody routes here.
    }

    void run() {
      try {
        while (!ends) {
          Runnable next = posted.poll(2, TimeUnit.MILLISECONDS);
          now = Duration.ofNanos(System.nanoTime() - zero);
          if (next != null) {
            next.run();
          }
          while (!dues.isEmpty() && dues.peek().getKey().compareTo(now) <= 0) {
            dues.poll().getValue().run();
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static final PeerName ONE = new PeerName("n1"), TWO = new PeerName("n2");

  @TempDir private Path folder;
  private final Map<PeerName, InetSocketAddress> places = new HashMap<>();
  private static final Set<Integer> TAKEN = new HashSet<>();

  private final Map<PeerName, MeshExtension> parts = new HashMap<>();
  private final Map<PeerName, Reducer> reducers = new HashMap<>();
  private final List<String> told = new CopyOnWriteArrayList<>();

  @BeforeEach
  void start() throws IOException {
    for (PeerName each : List.of(ONE, TWO)) {
      places.put(each, free());
    }
    begin(ONE);
    begin(TWO);
    until(() -> told.contains("n1 up n2 1") && told.contains("n2 up n1 1"));
  }

  /**
   * Below the ports that the system gives to those who call: such a one would take it before it is
   * listened on.
   */
  private static InetSocketAddress free() throws IOException {
    for (int port = 12_000 + (int) (ProcessHandle.current().pid() % 8000); ; port++) {
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        if (TAKEN.add(port)) {
          return (InetSocketAddress) socket.getLocalSocketAddress();
        }
      } catch (BindException e) {
        // Somebody else's.
      }
    }
  }

  private void begin(PeerName self) {
    PeerName other = self.equals(ONE) ? TWO : ONE;
    MeshConfig terms =
        new MeshConfig(
            "c",
            self,
            List.of(other),
            Duration.ofMillis(50),
            Duration.ofMillis(1000),
            Duration.ofMillis(500),
            Duration.ofMillis(20),
            Duration.ofMillis(200),
            1000,
            8 << 20);
    MeshExtension part =
        new MeshExtension(
            terms,
            new PeerAddresses(places.get(self), places.get(self), places, places),
            folder.resolve(self.name()),
            1);
    part.talk(
        7,
        new MeshExtension.Talker() {
          @Override
          public void heard(PeerName from, Incarnation life, ByteBuffer content) {
            told.add(self + " heard " + content.getInt(0) + " of " + content.remaining());
          }

          @Override
          public void up(PeerName peer, Incarnation life) {
            told.add(self + " up " + peer + " " + life.incarnation());
          }

          @Override
          public void down(PeerName peer, String why) {
            told.add(self + " down " + peer + " " + why);
          }
        });
    Reducer reducer = new Reducer();
    reducer.post(() -> part.start(reducer));
    Thread thread = new Thread(reducer::run, self.name());
    thread.setDaemon(true);
    thread.start();
    parts.put(self, part);
    reducers.put(self, reducer);
  }

  @AfterEach
  void end() {
    parts.forEach(
        (name, part) ->
            reducers
                .get(name)
                .post(
                    () -> {
                      part.stop();
                      reducers.get(name).ends = true;
                    }));
    until(() -> reducers.values().stream().allMatch(r -> r.ends));
  }

  private static void until(BooleanSupplier condition) {
    long end = System.nanoTime() + 20_000_000_000L;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "in time");
      Thread.onSpinWait();
    }
  }

  private void send(PeerName from, PeerName to, int number, int size) {
    reducers
        .get(from)
        .post(
            () -> parts.get(from).send(to, 7, ByteBuffer.allocate(size).putInt(0, number), false));
  }

  @Test
  void messagesComeInOrderWholeAndByDatagram() {
    for (int k = 0; k < 100; k++) {
      send(ONE, TWO, k, k % 10 == 9 ? 200_000 : 10 + k);
    }
    until(() -> told.stream().filter(t -> t.startsWith("n2 heard")).count() == 100);
    List<String> expected = new ArrayList<>();
    for (int k = 0; k < 100; k++) {
      expected.add("n2 heard " + k + " of " + (k % 10 == 9 ? 200_000 : 10 + k));
    }
    assertEquals(expected, told.stream().filter(t -> t.startsWith("n2 heard")).toList());
    reducers.get(TWO).post(() -> parts.get(TWO).tell(ONE, 7, ByteBuffer.allocate(8).putInt(0, 77)));
    until(() -> told.contains("n1 heard 77 of 8"));
  }

  /** Whatever a stranger sends, its connection ends and the link between the others goes on. */
  @Test
  void badFramesCostTheirSenderItsConnectionAndNobodyElseAnything() throws IOException {
    Greeting.Builder later =
        Greeting.newBuilder().setVersion(99).setCluster("c").setFrom("n2").setTo("n1");
    byte[][] bad = {
      "GET / HTTP/1.1\r\n\r\n".getBytes(UTF_8),
      {0x7f, 0, 0, 0},
      {(byte) 0xff, 0, 0, 0, 1},
      {0, 0, 0, 3, 9, 9, 9},
      framed(Frame.newBuilder().setBeat(1)),
      framed(Frame.newBuilder().setWelcome(weldcross.mesh.wire.Welcome.getDefaultInstance())),
      framed(Frame.newBuilder().setMessage(weldcross.mesh.wire.Message.newBuilder().setSubject(7))),
      framed(Frame.newBuilder().setGreeting(later))
    };
    for (byte[] each : bad) {
      try (Socket stranger = new Socket(places.get(ONE).getAddress(), places.get(ONE).getPort())) {
        stranger.setSoTimeout(10_000);
        stranger.getOutputStream().write(each);
        while (stranger.getInputStream().read() >= 0) {
          // Reads to the end.
        }
      } catch (java.net.SocketException e) {
        // Reset is an end as well.
      }
    }
    try (DatagramSocket socket = new DatagramSocket()) {
      socket.send(new DatagramPacket(new byte[] {9, 9, 9}, 3, places.get(ONE)));
    }
    send(TWO, ONE, 5, 10);
    until(() -> told.contains("n1 heard 5 of 10"));
    assertEquals(List.of(), told.stream().filter(t -> t.contains("down")).toList());
  }

  /** A later version is told which is spoken here; fields that are not known pass. */
  @Test
  void laterVersionIsToldSoAndUnknownFieldsPass() throws IOException {
    try (Socket stranger = new Socket(places.get(ONE).getAddress(), places.get(ONE).getPort())) {
      stranger.setSoTimeout(10_000);
      byte[] greeting =
          Greeting.newBuilder()
              .setVersion(99)
              .setCluster("c")
              .setFrom("n2")
              .setTo("n1")
              .build()
              .toByteArray();
      // Field 90, which no schema has, beside the greeting.
      byte[] body =
          ByteBuffer.allocate(greeting.length + 5)
              .put((byte) 0x0a)
              .put((byte) greeting.length)
              .put(greeting)
              .put((byte) 0xd0)
              .put((byte) 0x05)
              .put((byte) 1)
              .array();
      stranger
          .getOutputStream()
          .write(ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array());
      DataInputStream in = new DataInputStream(stranger.getInputStream());
      Frame answer = Frame.parseFrom(in.readNBytes(in.readInt()));
      assertEquals("VERSION", answer.getRefused().getWhy());
      assertEquals(MeshConfig.VERSION, answer.getRefused().getNewestVersion());
    }
  }

  private static byte[] framed(Frame.Builder frame) {
    byte[] body = frame.build().toByteArray();
    return ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array();
  }

  @Test
  void newLifeHasAHigherIncarnationAndTheStopOfTheOneBeforeWasTold() throws Exception {
    Reducer before = reducers.get(TWO);
    MeshExtension stopped = parts.get(TWO);
    before.post(
        () -> {
          stopped.stop();
          before.ends = true;
        });
    until(() -> told.contains("n1 down n2 it said goodbye"));
    // Its goodbye goes out before its place is free: the next life could not listen there yet.
    until(() -> before.ends);
    begin(TWO);
    until(() -> told.contains("n1 up n2 2"));
  }
}
