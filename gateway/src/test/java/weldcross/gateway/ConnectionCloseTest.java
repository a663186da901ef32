package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import weldcross.config.ConfigValues;
import weldcross.config.GatewayConfig;
import weldcross.pgwire.MessageEncoder;

/**
 * Ends of connections on loopback sockets that cross what is still on its way. The reducer turns
 * only when a test says so and its clock is moved by hand, so that each crossing comes by the order
 * of bytes and events.
 */
@Timeout(60)
class ConnectionCloseTest {

  private static final long BOUND_NANOS = 20_000_000_000L;

  private final Thread test = Thread.currentThread();
  private volatile Duration now = Duration.ZERO;

  /**
   * Where it is closed, whoever asks for the time on another thread waits: the processor, at a
   * statement.
   */
  private volatile CountDownLatch reading = new CountDownLatch(0);

  private volatile boolean waits;
  private final EventLoop loop = new EventLoop(this::clock);
  private MinaTransport transport;
  private Gateway gateway;

  /**
   * MINA waits for ever for the end of what its reading thread served, where that thread is gone.
   */
  private boolean broke;

  private InetSocketAddress at;
  private final List<AutoCloseable> open = new ArrayList<>();
  private int named;

  private Duration clock() {
    if (Thread.currentThread() != test && reading.getCount() > 0) {
      waits = true;
      try {
        reading.await(20, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return now;
  }

  @BeforeEach
  void begin() throws Exception {
    // Nobody is at the addresses of discovery and servers: what is taken is held.
    begin(1024);
  }

  private void begin(int sockets) throws Exception {
    byte[] config =
        GatewayTest.config(
            "\"sockets\":1024", "\"sockets\":" + sockets, "\"mayTell\":true", "\"mayTell\":false");
    GatewayConfig terms = GatewayConfig.of(ConfigValues.ofJson(config));
    transport = new MinaTransport(loop, this::clock, sockets * 3 / 4);
    gateway = new Gateway(terms, transport, Duration.ofHours(500_000));
    gateway.reduce(now, Gateway::start);
    at = transport.listening().get(20, TimeUnit.SECONDS);
    // Its own greeting is over before anything is counted; before it began there are no clients
    // either.
    until(() -> gateway.isWarm() && clients() == 0);
  }

  @AfterEach
  void end() throws Exception {
    reading.countDown();
    for (AutoCloseable each : open) {
      each.close();
    }
    if (!broke) {
      transport.end();
    }
  }

  private void until(BooleanSupplier condition) {
    long began = System.nanoTime();
    do {
      loop.catchUp(gateway);
      assertTrue(
          System.nanoTime() - began < BOUND_NANOS, () -> "not within 20 s: " + gateway.describe());
      Thread.onSpinWait();
    } while (!condition.getAsBoolean());
  }

  /**
   * All that had come in is read and told, and what the reducer asked of the processor before is
   * done.
   */
  private void aRoundIsOver() {
    CountDownLatch read = new CountDownLatch(1);
    transport.processor.afterPendingReads(read::countDown);
    until(() -> read.getCount() == 0);
    loop.catchUp(gateway);
  }

  private int clients() {
    return Integer.parseInt(gateway.describe().split(" ")[0]);
  }

  private void moveClock(int millis) {
    now = now.plusMillis(millis);
    loop.catchUp(gateway);
  }

  /** A client that was welcomed. */
  private Socket connect() throws IOException {
    Socket socket = new Socket();
    open.add(socket);
    int before = clients();
    socket.connect(at);
    socket.setSoTimeout(20_000);
    send(socket, MessageEncoder.startup());
    until(() -> clients() > before && available(socket) > 5);
    DataInputStream in = new DataInputStream(socket.getInputStream());
    while (in.readByte() != 'Z') {
      in.readFully(new byte[in.readInt() - 4]);
    }
    in.readFully(new byte[5]);
    return socket;
  }

  private static int available(Socket socket) {
    try {
      return socket.getInputStream().available();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static void send(Socket socket, ByteBuffer bytes) throws IOException {
    socket.getOutputStream().write(bytes.array(), 0, bytes.limit());
  }

  private ByteBuffer read() {
    return MessageEncoder.query(
        "SELECT content FROM kv WHERE name = 'k' /* id=a"
            + named++
            + ",c=look,d=60000,cluster=0 */");
  }

  private void asks(Socket client, int statements) throws IOException {
    for (int k = 0; k < statements; k++) {
      send(client, read());
    }
  }

  private int taken() {
    return Integer.parseInt(gateway.describe().split("; ")[1].split(" ")[0]);
  }

  /**
   * Rule 1: half of its statement is read, the rest is on its way, and its connection is given up
   * as silent.
   */
  @Test
  void statementOfWhichHalfIsReadKeepsItsConnection() throws Exception {
    Socket client = connect();
    byte[] statement = read().array();
    moveClock(1_000);
    client.getOutputStream().write(statement, 0, 60);
    // 2 s after it came it has asked nothing; all that it sent by then is read before that is
    // judged.
    moveClock(1_000);
    aRoundIsOver();
    client.getOutputStream().write(statement, 60, statement.length - 60);
    until(() -> taken() == 1);
  }

  /**
   * What comes in behind the end of sending is read and left: a close over it would reset the
   * connection.
   */
  @Test
  void whatComesBehindTheEndNeitherResetsItNorIsTaken() throws Exception {
    Socket client = connect();
    moveClock(2_000);
    until(() -> clients() == 0);
    asks(client, 3);
    assertEquals(-1, client.getInputStream().read());
    asks(client, 3);
    assertEquals(-1, client.getInputStream().read(), "not reset by what came unread");
    loop.catchUp(gateway);
    assertEquals(0, taken());
    client.close();
  }

  /** Whoever keeps its side open is closed once its time is over. */
  @Test
  void whoKeepsItsSideOpenLosesItsConnection() throws Exception {
    Socket client = connect();
    moveClock(2_000);
    until(() -> clients() == 0);
    moveClock(250);
    long began = System.nanoTime();
    boolean reset = false;
    while (!reset && System.nanoTime() - began < BOUND_NANOS) {
      try {
        client.getOutputStream().write(0);
      } catch (IOException e) {
        reset = true;
      }
    }
    assertTrue(reset);
  }

  /**
   * A client that asked much and is not listened to leaves: what waits was begun for it as others
   * ended.
   */
  @Test
  void endOfAClientThatIsNotListenedToIsSeen() throws Exception {
    Socket client = connect();
    asks(client, 40);
    until(() -> taken() == 16);
    client.close();
    until(() -> clients() == 0);
    assertEquals(16, taken());
  }

  /**
   * All that a client sends while it is not listened to is asked in the end, however much it is.
   */
  @Test
  void whatIsKeptOfAClientIsAllAsked() throws Exception {
    Socket client = connect();
    int all = 75;
    asks(client, all);
    int answered = 0;
    DataInputStream in = new DataInputStream(client.getInputStream());
    long began = System.nanoTime();
    // Sixteen are worked side by side, and pushed back when 0.45 of their time is over.
    while (answered < all) {
      assertTrue(
          System.nanoTime() - began < BOUND_NANOS, answered + " answered; " + gateway.describe());
      // What a round brings is begun, or nothing more is: only then does the time of those in work
      // pass.
      for (int still = 0, before = -1; still < 4; before = taken()) {
        aRoundIsOver();
        still = taken() == before ? still + 1 : 0;
      }
      moveClock(27_100);
      while (available(client) > 0) {
        byte type = in.readByte();
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        if (type == 'E') {
          assertTrue(new String(body, StandardCharsets.ISO_8859_1).contains("C53300"));
          answered++;
        }
      }
    }
    assertEquals(all, taken());
  }

  /** Its statement and its end are read in one go, as after a stall: nothing is begun for it. */
  @Test
  void statementReadWithItsClientsEndIsNotTaken() throws Exception {
    Socket first = connect();
    Socket leaves = connect();
    reading = new CountDownLatch(1);
    asks(first, 1);
    until(() -> waits);
    asks(leaves, 1);
    leaves.close();
    reading.countDown();
    until(() -> clients() == 1 && taken() > 0);
    assertEquals(1, taken());
  }

  /** Rule 1: it came out of every round from then on, and nothing was read any more, of nobody. */
  @Test
  void faultInATaskOfTheProcessorIsNotTheEndOfAllReading() throws Exception {
    Socket first = connect();
    transport.processor.afterPendingReads(
        () -> {
          throw new IllegalStateException("a fault of one connection");
        });
    aRoundIsOver();
    asks(first, 1);
    until(() -> taken() == 1);
  }

  /** Rule 1: without its reading thread a gateway only seems alive; it comes to its end instead. */
  @Test
  void endOfTheReadingThreadIsTheEndOfTheGateway() throws Exception {
    connect();
    broke = true;
    transport.processor.afterPendingReads(
        () -> {
          throw new StackOverflowError("planted");
        });
    long until = System.nanoTime() + BOUND_NANOS;
    IllegalStateException told = null;
    while (told == null && System.nanoTime() < until) {
      try {
        loop.catchUp(gateway);
        Thread.onSpinWait();
      } catch (IllegalStateException e) {
        told = e;
      }
    }
    assertTrue(told != null && told.getCause() instanceof StackOverflowError, "told: " + told);
  }

  /** Calls until nobody gets through any more; somebody else may have called there before. */
  private static List<Socket> fillUp(InetSocketAddress to) throws IOException {
    List<Socket> fill = new ArrayList<>();
    for (boolean full = false; !full; ) {
      Socket next = new Socket();
      fill.add(next);
      try {
        next.connect(to, 250);
      } catch (java.net.SocketTimeoutException e) {
        full = true;
      }
      assertTrue(fill.size() < 10, "a queue for one takes ten");
    }
    return fill;
  }

  /** Dials that hang hold descriptors too: clients leave room for them, or discovery gets none. */
  @Test
  void dialsUnderWayCountAgainstWhatClientsMayHold() throws Exception {
    end();
    open.clear();
    begin(64);
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress to = (InetSocketAddress) full.getLocalSocketAddress();
      List<Socket> fill = fillUp(to);
      // Nobody accepts and the queue is full: these stay on their way.
      for (int k = 0; k < 40; k++) {
        transport.connectToServer(-1_000 - k, to);
      }
      int kept = 0;
      List<Socket> clients = new ArrayList<>();
      for (int k = 0; k < 20; k++) {
        Socket client = new Socket(at.getAddress(), at.getPort());
        clients.add(client);
      }
      for (Socket client : clients) {
        client.setSoTimeout(300);
        try {
          kept += client.getInputStream().read() < 0 ? 0 : 1;
        } catch (java.net.SocketTimeoutException e) {
          kept++;
        } catch (IOException e) {
          // Reset where it was accepted.
        }
        client.close();
      }
      assertTrue(kept <= 48 - 40, kept + " of 20 clients beside 40 dials of 48");
      for (Socket each : fill) {
        each.close();
      }
      for (int k = 0; k < 40; k++) {
        transport.closeNow(-1_000 - k);
      }
    }
  }
}
