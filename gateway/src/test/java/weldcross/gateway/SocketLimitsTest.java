package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.GatheringByteChannel;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * MINA's threads must complete each iteration of their loops, as a blocked or busy one stops the
 * gateway. Each test checks this by round trips on another connection.
 */
@Timeout(60)
class SocketLimitsTest {

  /** Round trips of another client; each takes at least one iteration of the processor. */
  private static final int ROUND_TRIPS = 300;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final GatheringIoProcessor processor = new GatheringIoProcessor(threads, () -> {});
  private final AtomicInteger acceptAttempts = new AtomicInteger();
  private final AtomicBoolean outOfDescriptors = new AtomicBoolean();
  private final LinkedBlockingQueue<IoSession> sessions = new LinkedBlockingQueue<>();
  private final ConnectionLimitAcceptor acceptor =
      new ConnectionLimitAcceptor(
          threads,
          processor,
          100,
          () -> {
            acceptAttempts.incrementAndGet();
            if (outOfDescriptors.get()) {
              throw new UncheckedIOException(new IOException("Too many open files"));
            }
            return 0;
          });
  private InetSocketAddress address;

  @BeforeEach
  void startEchoServer() throws IOException {
    acceptor.setHandler(
        new IoHandlerAdapter() {
          @Override
          public void sessionOpened(IoSession session) {
            sessions.add(session);
          }

          @Override
          public void messageReceived(IoSession session, Object message) {
            byte[] bytes = new byte[((IoBuffer) message).remaining()];
            ((IoBuffer) message).get(bytes);
            session.write(new CompositeBuffer(ByteBuffer.wrap(bytes)));
          }
        });
    acceptor.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    address = acceptor.getLocalAddress();
  }

  @AfterEach
  void stopServer() {
    acceptor.dispose();
    threads.shutdownNow();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(20_000);
    return socket;
  }

  private static void assertServed(Socket client, int roundTrips) throws IOException {
    for (int k = 0; k < roundTrips; k++) {
      client.getOutputStream().write(k);
      assertEquals(k & 0xff, client.getInputStream().read());
    }
  }

  @Test
  void taskThatResubmitsItselfDoesNotBlockReads() throws IOException {
    AtomicBoolean stopped = new AtomicBoolean();
    AtomicInteger runs = new AtomicInteger();
    try (Socket client = connect()) {
      assertServed(client, 1);
      Runnable task =
          new Runnable() {
            @Override
            public void run() {
              runs.incrementAndGet();
              if (!stopped.get()) {
                processor.afterPendingReads(this);
              }
            }
          };
      processor.afterPendingReads(task);
      assertServed(client, ROUND_TRIPS);
      assertTrue(runs.get() > 1, "the task resubmitted itself: " + runs);
    } finally {
      stopped.set(true);
    }
  }

  /** Without descriptors each accept fails immediately; MINA retries after one second. */
  @Test
  void acceptingWithoutDescriptorsPausesAndResumes() throws Exception {
    try (Socket client = connect()) {
      assertServed(client, 1);
      int before = acceptAttempts.get();
      outOfDescriptors.set(true);
      long start = System.nanoTime();
      try (Socket waiting = connect()) {
        int served = 0;
        while (acceptAttempts.get() < before + 2 && System.nanoTime() - start < 20_000_000_000L) {
          assertServed(client, 1);
          served++;
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertTrue(millis >= 500, "accept retried after " + millis + " ms");
        assertTrue(served > ROUND_TRIPS, "other connections were served: " + served);
        outOfDescriptors.set(false);
        assertServed(waiting, 1);
      }
    }
  }

  /** Counts the attempts to write the buffer. */
  private static final class CountingBuffer extends CompositeBuffer {
    final AtomicInteger attempts = new AtomicInteger();

    CountingBuffer(ByteBuffer... parts) {
      super(parts);
    }

    @Override
    long writeTo(GatheringByteChannel channel) throws IOException {
      attempts.incrementAndGet();
      return super.writeTo(channel);
    }
  }

  /**
   * A client that does not read must not cause a write attempt in each iteration of the processor,
   * and receives everything once it reads.
   */
  @Test
  void blockedWriteIsRetriedOnlyWhenWritable() throws Exception {
    byte[] content = new byte[24 << 20];
    for (int k = 0; k < content.length; k++) {
      content[k] = (byte) (k * 31);
    }
    try (Socket blocked = connect();
        Socket other = connect()) {
      assertServed(blocked, 1);
      assertServed(other, 1);
      IoSession session = sessions.poll(10, TimeUnit.SECONDS);
      CountingBuffer message =
          new CountingBuffer(
              ByteBuffer.wrap(content, 0, 1000).slice(),
              ByteBuffer.wrap(content, 1000, content.length - 1000).slice());
      session.write(message);
      for (int k = 0; message.attempts.get() == 0; k++) {
        assertTrue(k < ROUND_TRIPS, "no attempt to write");
        assertServed(other, 1);
      }
      assertServed(other, ROUND_TRIPS);
      int attempts = message.attempts.get();
      assertServed(other, ROUND_TRIPS);
      assertTrue(
          message.attempts.get() - attempts < ROUND_TRIPS / 10,
          "attempted "
              + (message.attempts.get() - attempts)
              + " writes while the client did not read");
      byte[] received = new byte[content.length];
      new DataInputStream(blocked.getInputStream()).readFully(received);
      assertArrayEquals(content, received);
    }
  }
}
