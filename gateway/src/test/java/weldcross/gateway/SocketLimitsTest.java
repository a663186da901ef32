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
 * The loops that MINA runs for a gateway end each of their rounds: a round that does not is the end
 * of its gateway. Other connections are served meanwhile, which is what would fail.
 */
@Timeout(60)
class SocketLimitsTest {

  /** Round trips of another client: each is a round of the processor at least. */
  private static final int OTHERS = 300;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final GatheringIoProcessor processor = new GatheringIoProcessor(threads, () -> {});
  private final AtomicInteger looks = new AtomicInteger();
  private final AtomicBoolean full = new AtomicBoolean();
  private final LinkedBlockingQueue<IoSession> sessions = new LinkedBlockingQueue<>();
  private final ConnectionLimitAcceptor acceptor =
      new ConnectionLimitAcceptor(
          threads,
          processor,
          100,
          () -> {
            looks.incrementAndGet();
            if (full.get()) {
              throw new UncheckedIOException(new IOException("Too many open files"));
            }
            return 0;
          });
  private InetSocketAddress at;

  @BeforeEach
  void echo() throws IOException {
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
    at = acceptor.getLocalAddress();
  }

  @AfterEach
  void end() {
    acceptor.dispose();
    threads.shutdownNow();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(at.getAddress(), at.getPort());
    socket.setSoTimeout(20_000);
    return socket;
  }

  private static void isServed(Socket client, int times) throws IOException {
    for (int k = 0; k < times; k++) {
      client.getOutputStream().write(k);
      assertEquals(k & 0xff, client.getInputStream().read());
    }
  }

  /** What asks for itself in every round of the processor gets one turn a round. */
  @Test
  void whatAsksForItselfAfterEachReadingLeavesOthersServed() throws IOException {
    AtomicBoolean ends = new AtomicBoolean();
    AtomicInteger turns = new AtomicInteger();
    try (Socket client = connect()) {
      isServed(client, 1);
      Runnable again =
          new Runnable() {
            @Override
            public void run() {
              turns.incrementAndGet();
              if (!ends.get()) {
                processor.afterPendingReads(this);
              }
            }
          };
      processor.afterPendingReads(again);
      isServed(client, OTHERS);
      assertTrue(turns.get() > 1, "it did ask for itself: " + turns);
    } finally {
      ends.set(true);
    }
  }

  /**
   * Without descriptors accepting fails at once each time; it is tried once a second, and goes on
   * by itself.
   */
  @Test
  void withoutDescriptorsAcceptingPausesAndGoesOn() throws Exception {
    try (Socket before = connect()) {
      isServed(before, 1);
      int looked = looks.get();
      full.set(true);
      long began = System.nanoTime();
      try (Socket waits = connect()) {
        int served = 0;
        while (looks.get() < looked + 2 && System.nanoTime() - began < 20_000_000_000L) {
          isServed(before, 1);
          served++;
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        assertTrue(millis >= 500, "tried again after " + millis + " ms");
        assertTrue(served > OTHERS, "others were served meanwhile: " + served);
        full.set(false);
        isServed(waits, 1);
      }
    }
  }

  /** Counts how often it is tried to be written. */
  private static final class Counted extends CompositeBuffer {
    final AtomicInteger tries = new AtomicInteger();

    Counted(ByteBuffer... parts) {
      super(parts);
    }

    @Override
    long writeTo(GatheringByteChannel channel) throws IOException {
      tries.incrementAndGet();
      return super.writeTo(channel);
    }
  }

  /**
   * Who takes nothing costs a try when it might take more, not one a round; once it reads it gets
   * all.
   */
  @Test
  void writeWithoutProgressWaitsForRoom() throws Exception {
    byte[] much = new byte[24 << 20];
    for (int k = 0; k < much.length; k++) {
      much[k] = (byte) (k * 31);
    }
    try (Socket takesNothing = connect();
        Socket other = connect()) {
      isServed(takesNothing, 1);
      isServed(other, 1);
      IoSession stuck = sessions.poll(10, TimeUnit.SECONDS);
      Counted message =
          new Counted(
              ByteBuffer.wrap(much, 0, 1000).slice(),
              ByteBuffer.wrap(much, 1000, much.length - 1000).slice());
      stuck.write(message);
      for (int k = 0; message.tries.get() == 0; k++) {
        assertTrue(k < OTHERS, "it is tried");
        isServed(other, 1);
      }
      isServed(other, OTHERS);
      int tries = message.tries.get();
      isServed(other, OTHERS);
      assertTrue(
          message.tries.get() - tries < OTHERS / 10,
          "tried " + (message.tries.get() - tries) + " times while nothing was taken");
      byte[] got = new byte[much.length];
      new DataInputStream(takesNothing.getInputStream()).readFully(got);
      assertArrayEquals(much, got);
    }
  }
}
