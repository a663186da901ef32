package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import weldcross.connections.ClientMemoryPolicy;
import weldcross.pgwire.MessageEncoder;

/** When reading counts as behind what a client sends. */
class ClientStreamTest {

  private static final int QUERIES_PER_READ = 100;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final GatheringIoProcessor processor = new GatheringIoProcessor(threads, () -> {});
  private final ClientMemory memory = new ClientMemory(new ClientMemoryPolicy(100 << 20));
  private final List<Gateway.Event> posted = new ArrayList<>();
  private final ReadBatch batch = new ReadBatch(posted::add);
  private Duration now = Duration.ZERO;
  private final ClientStream stream =
      new ClientStream(1, batch, processor, () -> now, memory.openAccount());

  @BeforeEach
  void startSession() {
    startPass(true);
    ByteBuffer startup = MessageEncoder.startup();
    stream.read(ByteBuffer.allocate(2 * startup.remaining()).put(startup).flip());
  }

  @AfterEach
  void stop() {
    threads.shutdownNow();
  }

  /** Starts a pass over the sockets in which the connection is readable or not. */
  private void startPass(boolean readable) {
    if (readable) {
      stream.readableIn(processor.pass() + 1);
    }
    processor.selectedSessions();
  }

  /** Reads queries in the next pass; more may have arrived if they fill the buffer. */
  private void readInNextPass(boolean fillsBuffer) {
    startPass(true);
    ByteBuffer query = MessageEncoder.query("");
    int size = query.remaining() * QUERIES_PER_READ;
    ByteBuffer buffer = ByteBuffer.allocate(fillsBuffer ? size : size + 1);
    for (int index = 0; index < QUERIES_PER_READ; index++) {
      buffer.put(query.duplicate());
    }
    stream.read(buffer.flip());
  }

  /** Guards against attempts for a client whose end lies unread behind its input. */
  @Test
  void inputLeftUnreadForTooLongIsBehindUntilAllIsRead() {
    readInNextPass(true);
    now = now.plusMillis(40);
    readInNextPass(true);
    assertFalse(stream.mayBeDisconnected());
    now = now.plusMillis(20);
    readInNextPass(true);
    assertTrue(stream.mayBeDisconnected());
    readInNextPass(false);
    assertTrue(stream.mayBeDisconnected(), "the end of the connection may follow what was read");
    startPass(false);
    assertFalse(stream.mayBeDisconnected());
    assertFalse(stream.isRefusing());
    batch.postAll();
    assertEquals(9, posted.size(), "8 messages, and that input fell behind");
  }

  /** Guards against refusals for a client that keeps sending and whose input is always read. */
  @Test
  void inputThatFollowsShowsThatTheConnectionHadNotEnded() {
    readInNextPass(true);
    now = now.plusMillis(60);
    readInNextPass(false);
    assertTrue(stream.mayBeDisconnected());
    now = now.plusMillis(40);
    readInNextPass(false);
    assertFalse(stream.mayBeDisconnected());
    assertFalse(stream.isRefusing());
  }

  /** Guards against a refused request whose long message took the gateway long to read. */
  @Test
  void whatTookLongToReadIsDeliveredOnceTheConnectionIsKnownToBeOpen() {
    startPass(true);
    ByteBuffer query = MessageEncoder.query("x".repeat(2_000));
    stream.read(query.slice(0, 1_000));
    now = now.plusMillis(60);
    startPass(true);
    stream.read(ByteBuffer.allocate(2_000).put(query.slice(1_000, 1_006)).flip());
    batch.postAll();
    assertEquals(3, posted.size(), "startup, begun message, input fell behind");
    startPass(false);
    batch.postAll();
    assertEquals(4, posted.size(), "the message");
    assertFalse(stream.mayBeDisconnected());
  }

  /** Guards against refusals for a client whose last read happened to fill its buffer. */
  @Test
  void readThatFillsItsBufferAfterARestIsNotBehind() {
    readInNextPass(true);
    startPass(false);
    now = now.plusSeconds(10);
    assertFalse(stream.mayBeDisconnected());
    readInNextPass(true);
    assertFalse(stream.mayBeDisconnected());
    assertFalse(stream.isRefusing());
  }

  /** Guards against attempts for a client whose disconnect the event loop has not handled. */
  @Test
  void clientIsDisconnectedAsSoonAsItsDisconnectIsRead() {
    readInNextPass(false);
    assertFalse(stream.mayBeDisconnected());
    stream.closed();
    assertTrue(stream.mayBeDisconnected());
  }

  /** A connection that was left to a later pass has input, other than one that is not readable. */
  @Test
  void deferredInputIsBehind() {
    readInNextPass(true);
    startPass(true);
    stream.defer();
    now = now.plusMillis(60);
    assertTrue(stream.mayBeDisconnected(), "before the next read, which may be long in coming");
    readInNextPass(true);
    assertTrue(stream.mayBeDisconnected());
  }
}
