package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import weldcross.gateway.LoopbackFakes.Client;
import weldcross.gateway.LoopbackFakes.Primary;
import weldcross.pgwire.MessageEncoder;

/** What a gateway process with a small heap holds for requests with long keys and values. */
@Timeout(120)
class HeapUsageTest {

  private static final int CLIENT_TIMEOUT_MILLIS = 60_000;

  /** Clients that together have far more answers waiting than the heap can hold. */
  private static final int PIPELINING_CLIENTS = 120;

  private static final int READS_PER_CLIENT = 15;

  private static final int SEQUENTIAL_CLIENTS = 4;

  /** Requests, a few at a time, whose keys or values together are far larger than the heap. */
  private static final int SEQUENTIAL_REQUESTS = 1_600;

  private static final int FLOODING_CLIENTS = 6;

  /** Requests for encryption of each flooding client. */
  private static final int ENCRYPTION_REQUESTS = 1_000_000;

  /** The code of a request for encryption. */
  private static final int SSL_REQUEST = 80_877_103;

  /** The longest value, in bytes. */
  private static final int VALUE_BYTES = 65_536;

  private static final String LONG_KEY = "k".repeat(VALUE_BYTES);

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final LoopbackFakes fakes = new LoopbackFakes();
  private Primary writePrimary;
  private Primary readPrimary;
  private SmallHeapGateway gateway;

  @BeforeEach
  void start(@TempDir Path directory) throws IOException {
    writePrimary = new Primary();
    readPrimary = new Primary();
    readPrimary.rows.put("k", "v".repeat(VALUE_BYTES));
    gateway =
        new SmallHeapGateway(
            directory, LoopbackFakes.configJson(fakes.discovery(writePrimary, readPrimary)));
    gateway.awaitReady();
  }

  @AfterEach
  void stop() throws IOException {
    threads.shutdownNow();
    writePrimary.writeLatch.countDown();
    gateway.close();
    fakes.close();
  }

  /**
   * Guards against a process that ends for lack of heap while one server hangs and long answers
   * wait behind the requests to it: every request is answered, and the process runs on.
   */
  @Test
  void answersThatWaitBehindHangingWritesDoNotExhaustTheHeap() throws IOException {
    writePrimary.writeLatch = new CountDownLatch(1);
    List<Socket> clients = new ArrayList<>();
    for (int index = 0; index < PIPELINING_CLIENTS; index++) {
      Socket client = gateway.connect();
      client.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
      client.getOutputStream().write(writeAndReads("p" + index + "x"));
      clients.add(client);
    }
    try (Client usual = new Client(gateway.address)) {
      List<String> answer = usual.query(read("usual"));
      assertEquals("T", answer.get(0).substring(0, 1), "others are served, got " + answer.get(0));
    }
    writePrimary.writeLatch.countDown();
    int answered = 0;
    for (Socket client : clients) {
      DataInputStream in = new DataInputStream(client.getInputStream());
      for (int request = 0; request <= READS_PER_CLIENT; request++) {
        SmallHeapGateway.readResponse(in);
        answered++;
      }
      client.close();
    }
    assertEquals(PIPELINING_CLIENTS * (1 + READS_PER_CLIENT), answered);
    assertTrue(gateway.isRunning(), "the gateway process runs on");
  }

  /** Guards against answers that stay in memory after they were written, as a timer needs them. */
  @Test
  void writtenAnswersAreNotKeptUntilTheirDeadlines() throws Exception {
    assertAllServed(index -> read("s" + index));
  }

  /** Guards against requests that stay in memory after they have ended, as timers refer to them. */
  @Test
  void endedRequestsAreNotKeptUntilTheirDeadlines() throws Exception {
    readPrimary.rows.clear();
    assertAllServed(
        index ->
            "SELECT content FROM kv WHERE name = '"
                + LONG_KEY
                + "' /* id=e"
                + index
                + ",c=entry-read,d=2000000000,cluster=1 */");
  }

  /** Guards against tokens of sessions that fill the heap, as each write names a new one. */
  @Test
  void tokensOfSessionsWithLongNamesDoNotExhaustTheHeap() throws Exception {
    assertAllServed(
        index -> {
          writePrimary.rows.clear();
          return "INSERT INTO kv (name, content) VALUES ('"
              + LONG_KEY
              + index
              + "', '\\x00') RETURNING content /* id=t"
              + index
              + ",c=entry-write,d=20000,cluster=0 */";
        });
  }

  /** Sends queries from a few clients, each one at a time; all must be served. */
  private void assertAllServed(IntFunction<String> queryOf) throws Exception {
    AtomicInteger next = new AtomicInteger();
    List<Future<Void>> clients = new ArrayList<>();
    for (int client = 0; client < SEQUENTIAL_CLIENTS; client++) {
      clients.add(threads.submit(() -> queryUntilAllSent(next, queryOf)));
    }
    for (Future<Void> client : clients) {
      client.get();
    }
    assertTrue(gateway.isRunning(), "the gateway process runs on");
  }

  private Void queryUntilAllSent(AtomicInteger next, IntFunction<String> queryOf)
      throws IOException {
    try (Client client = new Client(gateway.address)) {
      for (int index = next.getAndIncrement();
          index < SEQUENTIAL_REQUESTS;
          index = next.getAndIncrement()) {
        assertEquals("T", client.query(queryOf.apply(index)).get(0).substring(0, 1));
      }
    }
    return null;
  }

  /**
   * Guards against a process that ends for lack of heap, and answers that come late, while clients
   * ask for encryption at full speed: each request is refused, and other clients are served.
   */
  @Test
  void requestsForEncryptionAtFullSpeedAreAllRefusedAndOthersServed() throws Exception {
    List<Future<Integer>> floods = new ArrayList<>();
    for (int index = 0; index < FLOODING_CLIENTS; index++) {
      floods.add(threads.submit(this::requestEncryptionAndCountRefusals));
    }
    int served = 0;
    try (Client usual = new Client(gateway.address)) {
      while (floods.stream().anyMatch(flood -> !flood.isDone())) {
        assertEquals("T", usual.query(read("u" + served)).get(0).substring(0, 1));
        served++;
      }
    }
    for (Future<Integer> flood : floods) {
      assertEquals(ENCRYPTION_REQUESTS, flood.get());
    }
    assertTrue(served > 0);
  }

  /** Sends requests for encryption without waiting for answers; returns how many are refused. */
  private int requestEncryptionAndCountRefusals() throws Exception {
    byte[] request = ByteBuffer.allocate(8).putInt(8).putInt(SSL_REQUEST).array();
    ByteBuffer block = ByteBuffer.allocate(request.length * 1_000);
    while (block.hasRemaining()) {
      block.put(request);
    }
    try (Socket socket = new Socket(gateway.address.getAddress(), gateway.address.getPort())) {
      Future<?> sending =
          threads.submit(
              () -> {
                for (int sent = 0; sent < ENCRYPTION_REQUESTS; sent += 1_000) {
                  socket.getOutputStream().write(block.array());
                }
                return null;
              });
      byte[] refusals = socket.getInputStream().readNBytes(ENCRYPTION_REQUESTS);
      sending.get();
      return refusals.length;
    }
  }

  private static byte[] writeAndReads(String idPrefix) {
    StringBuilder messages = new StringBuilder();
    messages.append(
        text(
            "INSERT INTO kv (name, content) VALUES ('w', '\\x00') RETURNING content /* id="
                + idPrefix
                + "w,c=entry-write,d=20000,cluster=0 */"));
    for (int index = 0; index < READS_PER_CLIENT; index++) {
      messages.append(text(read(idPrefix + index)));
    }
    return messages.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String read(String id) {
    return "SELECT content FROM kv WHERE name = 'k' /* id="
        + id
        + ",c=entry-read,d=20000,cluster=1 */";
  }

  private static String text(String query) {
    return StandardCharsets.ISO_8859_1.decode(MessageEncoder.query(query)).toString();
  }
}
