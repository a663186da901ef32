package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import weldcross.config.ConfigValues;
import weldcross.config.GatewayConfig;
import weldcross.pgwire.MessageEncoder;

/**
 * Closes of connections on loopback sockets that cross what is still on its way. The gateway
 * handles events only when a test says so and its clock is moved by hand, so that each crossing
 * comes by the order of bytes and events.
 */
@Timeout(60)
class ConnectionCloseTest {

  private static final long BOUND_NANOS = 20_000_000_000L;

  private final Thread test = Thread.currentThread();
  private volatile Duration now = Duration.ZERO;

  /**
   * While closed, it holds up whichever other thread reads the clock: the reader, at a statement.
   */
  private volatile CountDownLatch readerHold = new CountDownLatch(0);

  private volatile boolean readerWaits;
  private final EventLoop loop = new EventLoop(this::clock);
  private MinaTransport transport;
  private Gateway gateway;

  /** Whether the reading thread is gone; MINA would wait for ever for the end of its sessions. */
  private boolean readerEnded;

  private InetSocketAddress address;
  private final List<AutoCloseable> open = new ArrayList<>();
  private int nextRequest;

  private Duration clock() {
    if (Thread.currentThread() != test && readerHold.getCount() > 0) {
      readerWaits = true;
      try {
        readerHold.await(20, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return now;
  }

  @BeforeEach
  void begin() throws Exception {
    // Discovery and servers do not exist: accepted requests are queued.
    begin(1024);
  }

  private void begin(int sockets) throws Exception {
    byte[] config =
        TestConfig.json(
            "\"sockets\":1024", "\"sockets\":" + sockets, "\"mayTell\":true", "\"mayTell\":false");
    GatewayConfig gatewayConfig = GatewayConfig.of(ConfigValues.ofJson(config));
    transport = new MinaTransport(loop, this::clock, sockets * 3 / 4);
    gateway = new Gateway(gatewayConfig, transport, Duration.ofHours(500_000));
    gateway.handle(now, Gateway::start);
    address = transport.listening().get(20, TimeUnit.SECONDS);
    // Its connection to itself has ended before anything is counted; before that began there are no
    // clients either.
    until(() -> gateway.isWarmedUp() && clients() == 0);
  }

  @AfterEach
  void end() throws Exception {
    readerHold.countDown();
    for (AutoCloseable each : open) {
      each.close();
    }
    if (!readerEnded) {
      transport.end();
    }
  }

  private void until(BooleanSupplier condition) {
    long began = System.nanoTime();
    do {
      loop.runPending(gateway);
      assertTrue(
          System.nanoTime() - began < BOUND_NANOS, () -> "not within 20 s: " + gateway.describe());
      Thread.onSpinWait();
    } while (!condition.getAsBoolean());
  }

  /** Waits until all that was received is read and handled, and pending calls are done. */
  private void finishReading() {
    CountDownLatch read = new CountDownLatch(1);
    transport.processor.afterPendingReads(read::countDown);
    until(() -> read.getCount() == 0);
    loop.runPending(gateway);
  }

  private int clients() {
    return Integer.parseInt(gateway.describe().split(" ", -1)[0]);
  }

  private void moveClock(int millis) {
    now = now.plusMillis(millis);
    loop.runPending(gateway);
  }

  /** A client that was welcomed. */
  private Socket connect() throws IOException {
    Socket socket = new Socket();
    open.add(socket);
    final int before = clients();
    socket.connect(address);
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
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the bytes of a client that have arrived and that the gateway has not read. */
  private int unreadBytes(Socket client) {
    String ports = String.format(":%04X [^ ]*:%04X ", address.getPort(), client.getLocalPort());
    Pattern line = Pattern.compile(ports + "[0-9A-F]+ [0-9A-F]+:([0-9A-F]+) ");
    int unread = 0;
    for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
      Matcher found = line.matcher(readTable(Path.of(table)));
      unread += found.find() ? Integer.parseInt(found.group(1), 16) : 0;
    }
    return unread;
  }

  private static String readTable(Path table) {
    try {
      return Files.exists(table) ? Files.readString(table) : "";
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void send(Socket socket, ByteBuffer bytes) throws IOException {
    byte[] message = new byte[bytes.remaining()];
    bytes.duplicate().get(message);
    socket.getOutputStream().write(message);
  }

  private ByteBuffer read() {
    return read(60_000);
  }

  private ByteBuffer read(int timeoutMillis) {
    return MessageEncoder.query(
        "SELECT content FROM kv WHERE name = 'k' /* id=a"
            + nextRequest++
            + ",c=look,d="
            + timeoutMillis
            + ",cluster=0 */");
  }

  private void sendReads(Socket client, int statements) throws IOException {
    for (int k = 0; k < statements; k++) {
      send(client, read());
    }
  }

  /** Sends more statements than run at a time, and a part of the next; returns its rest. */
  private byte[] pauseWithinAMessage(Socket client, int timeoutMillis) throws IOException {
    ByteArrayOutputStream sent = new ByteArrayOutputStream();
    for (int k = 0; k < 18; k++) {
      sent.writeBytes(read(timeoutMillis).array());
    }
    byte[] last = read(timeoutMillis).array();
    sent.write(last, 0, 60);
    client.getOutputStream().write(sent.toByteArray());
    until(() -> acceptedRequests() == 16);
    for (int pass = 0; pass < 4; pass++) {
      finishReading();
    }
    return Arrays.copyOfRange(last, 60, last.length);
  }

  private int acceptedRequests() {
    return Integer.parseInt(gateway.describe().split("; ", -1)[1].split(" ", -1)[0]);
  }

  /** Rule 1: half a statement is read and the rest on its way as its connection is closed. */
  @Test
  void clientWithHalfAStatementReadIsNotClosed() throws Exception {
    Socket client = connect();
    byte[] statement = read().array();
    moveClock(1_000);
    client.getOutputStream().write(statement, 0, 60);
    // 2 s after it came it has asked nothing; all that it sent by then is read before that is
    // judged.
    moveClock(1_000);
    finishReading();
    client.getOutputStream().write(statement, 60, statement.length - 60);
    until(() -> acceptedRequests() == 1);
  }

  /** A close over unread bytes would reset the connection and take back the last answer. */
  @Test
  void bytesAfterTheCloseNeitherResetItNorAreAccepted() throws Exception {
    Socket client = connect();
    moveClock(2_000);
    until(() -> clients() == 0);
    sendReads(client, 3);
    assertEquals(-1, client.getInputStream().read());
    sendReads(client, 3);
    assertEquals(-1, client.getInputStream().read(), "not reset by what came unread");
    loop.runPending(gateway);
    assertEquals(0, acceptedRequests());
    client.close();
  }

  @Test
  void clientThatKeepsItsSideOpenIsDropped() throws Exception {
    final Socket client = connect();
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

  /** The rest of its statements is not started. */
  @Test
  void disconnectWhileDecodingIsPausedIsSeen() throws Exception {
    Socket client = connect();
    sendReads(client, 40);
    until(() -> acceptedRequests() == 16);
    client.close();
    until(() -> clients() == 0);
    assertEquals(16, acceptedRequests());
  }

  /**
   * All that a client sends while it is not listened to is asked in the end, however much it is.
   */
  @Test
  void bufferedStatementsAreAllAccepted() throws Exception {
    Socket client = connect();
    int all = 75;
    sendReads(client, all);
    int answered = 0;
    DataInputStream in = new DataInputStream(client.getInputStream());
    long began = System.nanoTime();
    // Sixteen run concurrently, and are rejected when 0.45 of their time is over.
    while (answered < all) {
      assertTrue(
          System.nanoTime() - began < BOUND_NANOS, answered + " answered; " + gateway.describe());
      // Wait until no more of what was read is started; only then does time pass.
      for (int still = 0, before = -1; still < 4; before = acceptedRequests()) {
        finishReading();
        still = acceptedRequests() == before ? still + 1 : 0;
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
    assertEquals(all, acceptedRequests());
  }

  /** The gateway did not read meanwhile: not the client's silence. */
  @Test
  void messageIsEndedAfterAPauseOfReading() throws Exception {
    Socket client = connect();
    final byte[] rest = pauseWithinAMessage(client, 4_000);
    // What runs is rejected at 0.45 of its time, and reading goes on.
    moveClock(1_850);
    until(() -> acceptedRequests() == 18);
    moveClock(300);
    finishReading();
    client.getOutputStream().write(rest);
    until(() -> acceptedRequests() == 19);
  }

  /** A client that never ends its message holds a connection. */
  @Test
  void messageWithoutAnEndIsClosedAfterAPauseOfReading() throws Exception {
    Socket client = connect();
    pauseWithinAMessage(client, 8_000);
    moveClock(2_050);
    moveClock(1_600);
    until(() -> acceptedRequests() == 18);
    moveClock(2_100);
    until(() -> clients() == 0);
  }

  /** The process stood still: what its client had sent is read before that is judged. */
  @Test
  void messageEndedWhileNobodyReadsIsServed() throws Exception {
    final Socket first = connect();
    Socket client = connect();
    byte[] statement = read().array();
    client.getOutputStream().write(statement, 0, 60);
    for (int pass = 0; pass < 4; pass++) {
      finishReading();
    }
    readerHold = new CountDownLatch(1);
    sendReads(first, 1);
    until(() -> readerWaits);
    client.getOutputStream().write(statement, 60, statement.length - 60);
    until(() -> unreadBytes(client) == statement.length - 60);
    moveClock(2_100);
    readerHold.countDown();
    until(() -> acceptedRequests() == 2);
  }

  /** Nobody waits for it any more. */
  @Test
  void statementReadWithItsClientsDisconnectIsNotAccepted() throws Exception {
    Socket first = connect();
    final Socket leaves = connect();
    readerHold = new CountDownLatch(1);
    sendReads(first, 1);
    until(() -> readerWaits);
    sendReads(leaves, 1);
    leaves.close();
    readerHold.countDown();
    until(() -> clients() == 1 && acceptedRequests() > 0);
    assertEquals(1, acceptedRequests());
  }

  /** Rule 1: other connections are still read. */
  @Test
  void faultInAProcessorTaskDoesNotStopReading() throws Exception {
    Socket first = connect();
    transport.processor.afterPendingReads(
        () -> {
          throw new IllegalStateException("a fault of one connection");
        });
    finishReading();
    sendReads(first, 1);
    until(() -> acceptedRequests() == 1);
  }

  /** Rule 1: a gateway that reads nothing only seems alive. */
  @Test
  void endOfTheReadingThreadEndsTheGateway() throws Exception {
    connect();
    readerEnded = true;
    transport.processor.afterPendingReads(
        () -> {
          throw new StackOverflowError("planted");
        });
    long until = System.nanoTime() + BOUND_NANOS;
    IllegalStateException thrown = null;
    while (thrown == null && System.nanoTime() < until) {
      try {
        loop.runPending(gateway);
        Thread.onSpinWait();
      } catch (IllegalStateException e) {
        thrown = e;
      }
    }
    assertTrue(
        thrown != null && thrown.getCause() instanceof StackOverflowError, "thrown: " + thrown);
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

  /** Connects that hang hold descriptors, too, and discovery needs some. */
  @Test
  void pendingConnectsCountAgainstClientLimit() throws Exception {
    end();
    open.clear();
    begin(64);
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress to = (InetSocketAddress) full.getLocalSocketAddress();
      final List<Socket> fill = fillUp(to);
      // Nobody accepts and the queue is full: these stay on their way.
      for (int k = 0; k < 40; k++) {
        transport.connectToServer(-1_000 - k, to);
      }
      int kept = 0;
      List<Socket> clients = new ArrayList<>();
      for (int k = 0; k < 20; k++) {
        Socket client = new Socket(address.getAddress(), address.getPort());
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
      assertTrue(kept <= 48 - 40, kept + " of 20 clients beside 40 pending connects of 48");
      for (Socket each : fill) {
        each.close();
      }
      for (int k = 0; k < 40; k++) {
        transport.closeNow(-1_000 - k);
      }
    }
  }
}
