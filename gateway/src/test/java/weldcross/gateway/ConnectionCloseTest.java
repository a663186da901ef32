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
import java.net.SocketTimeoutException;
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
 * Tests closing of connections, on loopback sockets, while bytes are still in transit. The gateway
 * handles events only on request of a test, and the test moves its clock, so that the order of
 * bytes and events is deterministic.
 */
@Timeout(60)
class ConnectionCloseTest {

  private static final long TIMEOUT_NANOS = 20_000_000_000L;

  /** Number of requests of one client that are in progress at a time. */
  private static final int MAX_REQUESTS_IN_PROGRESS = 16;

  /** Length of the first part of a statement that is sent in two parts. */
  private static final int PARTIAL_STATEMENT_BYTES = 60;

  private static final int PENDING_CONNECTS = 40;

  /** Number of the first pending connection, negative as for all outgoing connections. */
  private static final long FIRST_PENDING_CONNECT = -1_000;

  private final Thread testThread = Thread.currentThread();
  private volatile Duration now = Duration.ZERO;

  /**
   * Blocks any thread but the test's that reads the clock, until it reaches zero. The reading
   * thread does so for each statement.
   */
  private volatile CountDownLatch readerLatch = new CountDownLatch(0);

  private volatile boolean readerBlocked;
  private final EventLoop loop = new EventLoop(this::clock);
  private MinaTransport transport;
  private Gateway gateway;

  /**
   * Whether the reading thread has ended. MINA's dispose would then wait forever for the thread's
   * sessions to close.
   */
  private boolean readerEnded;

  private InetSocketAddress address;
  private final List<AutoCloseable> openSockets = new ArrayList<>();
  private int nextRequest;

  private Duration clock() {
    if (Thread.currentThread() != testThread && readerLatch.getCount() > 0) {
      readerBlocked = true;
      try {
        readerLatch.await(20, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return now;
  }

  @BeforeEach
  void start() throws Exception {
    start(1024);
  }

  /** Starts a gateway without discovery or servers, so that accepted requests are queued. */
  private void start(int sockets) throws Exception {
    byte[] config =
        TestConfig.json(
            "\"sockets\":1024", "\"sockets\":" + sockets, "\"mayTell\":true", "\"mayTell\":false");
    GatewayConfig gatewayConfig = GatewayConfig.of(ConfigValues.ofJson(config));
    transport = new MinaTransport(loop, this::clock, sockets * 3 / 4);
    gateway = new Gateway(gatewayConfig, transport, Duration.ofHours(500_000));
    gateway.handle(now, Gateway::start);
    address = transport.listenAddress().get(20, TimeUnit.SECONDS);
    // The connections of the warm-up count as clients, so wait until it is over and they are
    // closed.
    awaitCondition(() -> gateway.isWarmedUp() && clientCount() == 0);
  }

  @AfterEach
  void stop() throws Exception {
    readerLatch.countDown();
    for (AutoCloseable socket : openSockets) {
      socket.close();
    }
    if (!readerEnded) {
      transport.close();
    }
  }

  private void awaitCondition(BooleanSupplier condition) {
    long start = System.nanoTime();
    do {
      loop.runPending(gateway);
      assertTrue(
          System.nanoTime() - start < TIMEOUT_NANOS,
          () -> "condition not met within 20 s: " + gateway.describe());
      Thread.onSpinWait();
    } while (!condition.getAsBoolean());
  }

  /** Waits until everything received is read and handled, and pending calls are done. */
  private void finishPendingReads() {
    CountDownLatch readsDone = new CountDownLatch(1);
    transport.processor.afterPendingReads(readsDone::countDown);
    awaitCondition(() -> readsDone.getCount() == 0);
    loop.runPending(gateway);
  }

  private int clientCount() {
    return Integer.parseInt(gateway.describe().split(" ", -1)[0]);
  }

  private void moveClock(int millis) {
    now = now.plusMillis(millis);
    loop.runPending(gateway);
  }

  /** Connects a client and reads the messages up to the ready session. */
  private Socket connect() throws IOException {
    Socket socket = new Socket();
    openSockets.add(socket);
    final int countBefore = clientCount();
    socket.connect(address);
    socket.setSoTimeout(20_000);
    send(socket, MessageEncoder.startup());
    awaitCondition(() -> clientCount() > countBefore && available(socket) > 5);
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

  /** Returns how many bytes of a client are in the receive queue of the gateway's socket. */
  private int unreadBytes(Socket client) {
    String ports = String.format(":%04X [^ ]*:%04X ", address.getPort(), client.getLocalPort());
    Pattern line = Pattern.compile(ports + "[0-9A-F]+ [0-9A-F]+:([0-9A-F]+) ");
    int unread = 0;
    for (String socketTable : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
      Matcher matcher = line.matcher(readIfPresent(Path.of(socketTable)));
      unread += matcher.find() ? Integer.parseInt(matcher.group(1), 16) : 0;
    }
    return unread;
  }

  private static String readIfPresent(Path file) {
    try {
      return Files.exists(file) ? Files.readString(file) : "";
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void send(Socket socket, ByteBuffer bytes) throws IOException {
    byte[] message = new byte[bytes.remaining()];
    bytes.duplicate().get(message);
    socket.getOutputStream().write(message);
  }

  private ByteBuffer readStatement() {
    return readStatement(60_000);
  }

  private ByteBuffer readStatement(int timeoutMillis) {
    return MessageEncoder.query(
        "SELECT content FROM kv WHERE name = 'k' /* id=a"
            + nextRequest++
            + ",c=look,d="
            + timeoutMillis
            + ",cluster=0 */");
  }

  /** Returns a write of a value of so many bytes. */
  private ByteBuffer writeStatement(int bytes) {
    return MessageEncoder.query(
        "INSERT INTO kv (name, content) VALUES ('k', '\\x"
            + "ab".repeat(bytes)
            + "') RETURNING content /* id=a"
            + nextRequest++
            + ",c=file,d=60000,cluster=0 */");
  }

  private void sendReads(Socket client, int statements) throws IOException {
    for (int index = 0; index < statements; index++) {
      send(client, readStatement());
    }
  }

  /**
   * Sends more statements than may be in progress, so that the gateway pauses reading, and a part
   * of the next; returns its rest.
   */
  private byte[] pauseWithinAMessage(Socket client, int timeoutMillis) throws IOException {
    ByteArrayOutputStream sent = new ByteArrayOutputStream();
    for (int index = 0; index < MAX_REQUESTS_IN_PROGRESS + 2; index++) {
      sent.writeBytes(readStatement(timeoutMillis).array());
    }
    byte[] last = readStatement(timeoutMillis).array();
    sent.write(last, 0, PARTIAL_STATEMENT_BYTES);
    client.getOutputStream().write(sent.toByteArray());
    awaitCondition(() -> acceptedRequests() == MAX_REQUESTS_IN_PROGRESS);
    for (int pass = 0; pass < 4; pass++) {
      finishPendingReads();
    }
    return Arrays.copyOfRange(last, PARTIAL_STATEMENT_BYTES, last.length);
  }

  private static void sendFirstPart(Socket client, byte[] statement) throws IOException {
    client.getOutputStream().write(statement, 0, PARTIAL_STATEMENT_BYTES);
  }

  private static void sendRest(Socket client, byte[] statement) throws IOException {
    client
        .getOutputStream()
        .write(statement, PARTIAL_STATEMENT_BYTES, statement.length - PARTIAL_STATEMENT_BYTES);
  }

  private int acceptedRequests() {
    return Integer.parseInt(gateway.describe().split("; ", -1)[1].split(" ", -1)[0]);
  }

  /**
   * Guards against an unanswered request: the connection is to be closed while one part of a
   * statement has been read and the rest is in transit.
   */
  @Test
  void connectionIsNotClosedWithinAStatement() throws Exception {
    Socket client = connect();
    byte[] statement = readStatement().array();
    moveClock(1_000);
    sendFirstPart(client, statement);
    // A client that has sent no statement within 2 s is closed, after all it sent by then is read.
    moveClock(1_000);
    finishPendingReads();
    sendRest(client, statement);
    awaitCondition(() -> acceptedRequests() == 1);
  }

  /**
   * Guards against a lost response: closing a socket with unread bytes would reset the connection,
   * and the client could not read the last response any more.
   */
  @Test
  void bytesReceivedAfterTheCloseAreDiscardedWithoutAReset() throws Exception {
    Socket client = connect();
    moveClock(2_000);
    awaitCondition(() -> clientCount() == 0);
    sendReads(client, 3);
    assertEquals(-1, client.getInputStream().read());
    sendReads(client, 3);
    assertEquals(-1, client.getInputStream().read(), "reset by unread bytes");
    loop.runPending(gateway);
    assertEquals(0, acceptedRequests());
    client.close();
  }

  @Test
  void clientThatKeepsItsSideOpenIsDropped() throws Exception {
    final Socket client = connect();
    moveClock(2_000);
    awaitCondition(() -> clientCount() == 0);
    moveClock(250);
    long start = System.nanoTime();
    boolean reset = false;
    while (!reset && System.nanoTime() - start < TIMEOUT_NANOS) {
      try {
        client.getOutputStream().write(0);
      } catch (IOException e) {
        reset = true;
      }
    }
    assertTrue(reset);
  }

  /** Guards against statements that are started after their client has disconnected. */
  @Test
  void disconnectIsDetectedWhileDecodingIsPaused() throws Exception {
    Socket client = connect();
    sendReads(client, 40);
    awaitCondition(() -> acceptedRequests() == MAX_REQUESTS_IN_PROGRESS);
    client.close();
    awaitCondition(() -> clientCount() == 0);
    assertEquals(MAX_REQUESTS_IN_PROGRESS, acceptedRequests());
  }

  /**
   * Guards against attempts for a client that has gone: its disconnect is detected behind all that
   * it has sent, more than sockets' buffers and far more than is in progress.
   */
  @Test
  void disconnectIsDetectedBehindMuchInput() throws Exception {
    Socket client = connect();
    List<byte[]> statements = new ArrayList<>();
    for (int index = 0; index < 400; index++) {
      statements.add(writeStatement(4_000).array());
    }
    Thread sender =
        new Thread(
            () -> {
              try (client) {
                for (byte[] statement : statements) {
                  client.getOutputStream().write(statement);
                }
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
    sender.start();
    awaitCondition(() -> clientCount() == 0);
    sender.join();
    assertTrue(acceptedRequests() <= MAX_REQUESTS_IN_PROGRESS);
  }

  /** Guards against statements that are lost because they were received while reading is paused. */
  @Test
  void allBufferedStatementsAreAccepted() throws Exception {
    Socket client = connect();
    int statements = 75;
    sendReads(client, statements);
    int answered = 0;
    DataInputStream in = new DataInputStream(client.getInputStream());
    long start = System.nanoTime();
    // The requests in progress are rejected when 0.45 of their time is over.
    while (answered < statements) {
      assertTrue(
          System.nanoTime() - start < TIMEOUT_NANOS, answered + " answered; " + gateway.describe());
      // Move the clock only after no more of the received statements are accepted.
      for (int unchangedPasses = 0, before = -1; unchangedPasses < 4; before = acceptedRequests()) {
        finishPendingReads();
        unchangedPasses = acceptedRequests() == before ? unchangedPasses + 1 : 0;
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
    assertEquals(statements, acceptedRequests());
  }

  /**
   * Guards against closing a client whose message is incomplete because the gateway paused reading:
   * the time limit for a message does not run during the pause.
   */
  @Test
  void messageMayBeCompletedAfterAPauseOfReading() throws Exception {
    Socket client = connect();
    final byte[] rest = pauseWithinAMessage(client, 4_000);
    // The requests in progress are rejected at 0.45 of their time, and reading is resumed.
    moveClock(1_850);
    awaitCondition(() -> acceptedRequests() == MAX_REQUESTS_IN_PROGRESS + 2);
    moveClock(300);
    finishPendingReads();
    client.getOutputStream().write(rest);
    awaitCondition(() -> acceptedRequests() == MAX_REQUESTS_IN_PROGRESS + 3);
  }

  /** Guards against a client that occupies a connection with a message that it never completes. */
  @Test
  void clientWithAnIncompleteMessageIsClosedAfterAPauseOfReading() throws Exception {
    Socket client = connect();
    pauseWithinAMessage(client, 8_000);
    moveClock(2_050);
    moveClock(1_600);
    awaitCondition(() -> acceptedRequests() == MAX_REQUESTS_IN_PROGRESS + 2);
    moveClock(2_100);
    awaitCondition(() -> clientCount() == 0);
  }

  /**
   * Guards against closing a client whose message was received in time but not read, as the reading
   * thread was blocked: received bytes are read before the time limit is applied.
   */
  @Test
  void messageCompletedWhileReadingIsBlockedIsAccepted() throws Exception {
    final Socket first = connect();
    Socket client = connect();
    byte[] statement = readStatement().array();
    sendFirstPart(client, statement);
    for (int pass = 0; pass < 4; pass++) {
      finishPendingReads();
    }
    readerLatch = new CountDownLatch(1);
    sendReads(first, 1);
    awaitCondition(() -> readerBlocked);
    sendRest(client, statement);
    awaitCondition(() -> unreadBytes(client) == statement.length - PARTIAL_STATEMENT_BYTES);
    moveClock(2_100);
    readerLatch.countDown();
    awaitCondition(() -> acceptedRequests() == 2);
  }

  /** Guards against useless attempts for a client that has already disconnected. */
  @Test
  void statementReadTogetherWithTheDisconnectOfItsClientIsNotAccepted() throws Exception {
    Socket first = connect();
    final Socket leavingClient = connect();
    readerLatch = new CountDownLatch(1);
    sendReads(first, 1);
    awaitCondition(() -> readerBlocked);
    sendReads(leavingClient, 1);
    leavingClient.close();
    readerLatch.countDown();
    awaitCondition(() -> clientCount() == 1 && acceptedRequests() > 0);
    assertEquals(1, acceptedRequests());
  }

  /** An exception of a task must not end the thread that reads all connections. */
  @Test
  void exceptionInAProcessorTaskDoesNotStopReading() throws Exception {
    Socket first = connect();
    transport.processor.afterPendingReads(
        () -> {
          throw new IllegalStateException("thrown by the test");
        });
    finishPendingReads();
    sendReads(first, 1);
    awaitCondition(() -> acceptedRequests() == 1);
  }

  /** Guards against a gateway process that keeps running although it reads no connection. */
  @Test
  void endOfTheReadingThreadEndsTheGateway() throws Exception {
    connect();
    readerEnded = true;
    transport.processor.afterPendingReads(
        () -> {
          throw new StackOverflowError("thrown by the test");
        });
    long start = System.nanoTime();
    IllegalStateException thrown = null;
    while (thrown == null && System.nanoTime() - start < TIMEOUT_NANOS) {
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

  /** Connects until the accept queue is full; connections of other origin may be in it already. */
  private static List<Socket> fillAcceptQueue(InetSocketAddress listener) throws IOException {
    List<Socket> queued = new ArrayList<>();
    for (boolean full = false; !full; ) {
      Socket socket = new Socket();
      queued.add(socket);
      try {
        socket.connect(listener, 250);
      } catch (SocketTimeoutException e) {
        full = true;
      }
      assertTrue(queued.size() < 10, "accept queue with a backlog of 1 took 10 connections");
    }
    return queued;
  }

  /** Returns whether the gateway leaves a new connection of a client open. */
  private static boolean isLeftOpen(Socket client) throws IOException {
    client.setSoTimeout(300);
    try {
      return client.getInputStream().read() >= 0;
    } catch (SocketTimeoutException e) {
      return true;
    } catch (IOException e) {
      // Reset when it was accepted.
      return false;
    }
  }

  /**
   * Guards against running out of file descriptors, of which discovery needs some: connections that
   * stay pending have one each and must count against the limit for clients.
   */
  @Test
  void pendingConnectsCountAgainstClientLimit() throws Exception {
    stop();
    openSockets.clear();
    start(64);
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress listenAddress = (InetSocketAddress) listener.getLocalSocketAddress();
      final List<Socket> queued = fillAcceptQueue(listenAddress);
      // These stay pending because the accept queue is full and nothing is accepted.
      for (int index = 0; index < PENDING_CONNECTS; index++) {
        transport.connectToServer(FIRST_PENDING_CONNECT - index, listenAddress);
      }
      List<Socket> clients = new ArrayList<>();
      for (int index = 0; index < 20; index++) {
        clients.add(new Socket(address.getAddress(), address.getPort()));
      }
      int leftOpen = 0;
      for (Socket client : clients) {
        leftOpen += isLeftOpen(client) ? 1 : 0;
        client.close();
      }
      assertTrue(
          leftOpen <= 48 - PENDING_CONNECTS,
          leftOpen + " of 20 clients left open beside 40 pending connects, with a limit of 48");
      for (Socket socket : queued) {
        socket.close();
      }
      for (int index = 0; index < PENDING_CONNECTS; index++) {
        transport.closeNow(FIRST_PENDING_CONNECT - index);
      }
    }
  }
}
