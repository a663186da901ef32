package weldcross.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import weldcross.connections.CancellableConnector;

/** The transport on Apache MINA, whose threads only decode what arrives and post it as events. */
final class MinaTransport implements Transport {

  private static final int BACKLOG = 512;
  private static final int MIN_READ_BUFFER_BYTES = 512;
  private static final int READ_BUFFER_BYTES = 1024;

  /**
   * Both ends are in this process, so that 160 reads make 320 calls: the JVM compiles after 200.
   */
  private static final int WARM_UP_CONNECTIONS = 16;

  private static final int WARM_UP_READS = 10;

  private final EventLoop loop;
  private final Supplier<Duration> clock;
  private final ReadBatch batch;
  private final ConcurrentHashMap<Long, IoSession> sessions = new ConcurrentHashMap<>();
  private final StreamHandler handler = new StreamHandler(sessions);

  /** Visible so that tests can wait for one of its batches. */
  final GatheringIoProcessor processor;

  private final ConnectionLimitAcceptor acceptor;
  private final NioSocketConnector minaConnector;
  private final CancellableConnector connector;
  private final CompletableFuture<InetSocketAddress> listening = new CompletableFuture<>();

  /** Null without gossip. */
  private GossipSocket gossip;

  /**
   * Creates a transport without connections.
   *
   * @param loop takes the events
   * @param clock time since the start of the process
   * @param maxConnections limit for open connections and those that are coming up
   */
  MinaTransport(EventLoop loop, Supplier<Duration> clock, int maxConnections) {
    this.loop = loop;
    this.clock = clock;
    ExecutorService threads = threads(loop);
    batch = new ReadBatch(loop::post);
    processor = new GatheringIoProcessor(threads, batch::postAll);
    minaConnector = new NioSocketConnector(threads, processor);
    connector = new CancellableConnector(minaConnector);
    // A connection that is coming up has a descriptor as well.
    acceptor =
        new ConnectionLimitAcceptor(
            threads,
            processor,
            maxConnections,
            () -> minaConnector.getManagedSessionCount() + connector.pendingCount());
    configure(acceptor.getSessionConfig());
    configure(minaConnector.getSessionConfig());
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BACKLOG);
    acceptor.setHandler(clientHandler());
    minaConnector.setHandler(handler);
  }

  /**
   * Returns daemon threads whose uncaught exceptions end the event loop: without one of them the
   * gateway would only seem to be alive.
   */
  private static ExecutorService threads(EventLoop loop) {
    return Executors.newCachedThreadPool(
        task -> {
          Thread thread = new Thread(task);
          thread.setDaemon(true);
          thread.setUncaughtExceptionHandler(
              (ended, cause) ->
                  loop.post(
                      gateway -> {
                        throw new IllegalStateException(
                            "thread " + ended.getName() + " ended", cause);
                      }));
          return thread;
        });
  }

  private static void configure(SocketSessionConfig config) {
    config.setTcpNoDelay(true);
    config.setMinReadBufferSize(MIN_READ_BUFFER_BYTES);
    config.setReadBufferSize(READ_BUFFER_BYTES);
  }

  private StreamHandler clientHandler() {
    return new StreamHandler(sessions) {
      @Override
      public void sessionCreated(IoSession session) {
        long number = session.getId();
        attach(session, number, new ClientStream(number, batch, processor, clock));
      }

      @Override
      public void sessionClosed(IoSession session) {
        acceptor.connectionClosed();
        super.sessionClosed(session);
      }
    };
  }

  /** Returns the address that clients connect to, once it is bound. */
  CompletableFuture<InetSocketAddress> listening() {
    return listening;
  }

  /** Closes everything; nothing may be called after this. */
  void end() {
    acceptor.dispose();
    minaConnector.dispose();
    if (gossip != null) {
      gossip.close();
    }
  }

  @Override
  public Duration now() {
    return clock.get();
  }

  // ---- Listening and connecting

  @Override
  public void listen(InetSocketAddress address) {
    try {
      acceptor.bind(address);
      listening.complete(acceptor.getLocalAddress());
    } catch (IOException e) {
      listening.completeExceptionally(e);
      throw cannotListen(address, e);
    }
  }

  @Override
  public void stopListening() {
    acceptor.setCloseOnDeactivation(false);
    acceptor.unbind();
  }

  @Override
  public void listenForGossip(InetSocketAddress address) {
    try {
      gossip = new GossipSocket(address, server -> loop.post(g -> g.gossipReceived(server)));
    } catch (IOException e) {
      throw cannotListen(address, e);
    }
  }

  private static IllegalStateException cannotListen(InetSocketAddress address, IOException cause) {
    return new IllegalStateException(
        "cannot listen on " + address + ": " + cause.getMessage(), cause);
  }

  @Override
  public void sendGossip(InetSocketAddress address, byte[] message) {
    gossip.send(address, message);
  }

  @Override
  public void warmUp() {
    AtomicInteger open = new AtomicInteger(WARM_UP_CONNECTIONS);
    Runnable onClosed =
        () -> {
          if (open.decrementAndGet() == 0) {
            loop.post(Gateway::warmUpCompleted);
          }
        };
    for (int index = 0; index < WARM_UP_CONNECTIONS; index++) {
      long number = Long.MIN_VALUE + index;
      connect(
          number,
          acceptor.getLocalAddress(),
          new WarmUpStream(number, this, WARM_UP_READS, onClosed));
    }
  }

  @Override
  public void connectToServer(long connection, InetSocketAddress address) {
    connect(connection, address, new ServerStream(connection, batch, loop));
  }

  @Override
  public void connectToDiscovery(long connection, InetSocketAddress address) {
    connect(connection, address, new DiscoveryStream(connection, loop));
  }

  private void connect(long number, InetSocketAddress address, Stream stream) {
    connector.connect(
        number,
        address,
        session -> handler.attach(session, number, stream),
        cause -> {
          // Refused, unreachable and timed out have subclasses of their own; what remains is a
          // reset.
          if (cause.getClass() == SocketException.class) {
            stream.resetOnConnect();
          } else {
            stream.connectFailed();
          }
        });
  }

  // ---- Connections

  @Override
  public boolean write(long connection, ByteBuffer... parts) {
    IoSession session = sessions.get(connection);
    if (session == null) {
      return false;
    }
    Stream stream = StreamHandler.streamOf(session);
    stream.writing();
    // If nothing else waits to be sent, no other thread has to be woken for it.
    if (stream.pendingWrites.get() == 0 && GatheringIoProcessor.writeNow(session, parts)) {
      return true;
    }
    stream.pendingWrites.incrementAndGet();
    session.write(new CompositeBuffer(parts));
    return false;
  }

  @Override
  public void setReading(long connection, boolean reading) {
    IoSession session = sessions.get(connection);
    if (session != null) {
      clientStreamOf(session).setDecoding(reading);
    }
  }

  @Override
  public void afterPendingReads(long connection) {
    processor.afterPendingReads(() -> loop.post(gateway -> gateway.pendingReadsDone(connection)));
  }

  @Override
  public void closeNow(long connection) {
    connector.cancel(connection);
    IoSession session = sessions.remove(connection);
    if (session != null) {
      // The end of one attempt must reach a server before a later attempt does; clients have
      // nothing that could overtake.
      if (connection < 0) {
        GatheringIoProcessor.shutdownOutput(session);
      }
      session.closeNow();
    }
  }

  @Override
  public void closeIfQuiet(long connection, int messages) {
    processor.afterPendingReads(
        () -> {
          boolean quiet = shutdownIfQuiet(sessions.get(connection), messages);
          batch.add(gateway -> gateway.clients().closeDecided(connection, quiet));
        });
  }

  /**
   * Returns whether the connection is quiet, or closed already.
   *
   * @param session null if the connection is closed
   */
  private static boolean shutdownIfQuiet(IoSession session, int messages) {
    if (session == null) {
      return true;
    }
    ClientStream stream = clientStreamOf(session);
    if (!stream.isQuiet(messages)) {
      return false;
    }
    stream.discardInput();
    GatheringIoProcessor.shutdownOutput(session);
    return true;
  }

  @Override
  public void checkMessageIncomplete(long connection, int messages) {
    IoSession session = sessions.get(connection);
    if (session != null) {
      clientStreamOf(session).checkMessageIncomplete(messages);
    }
  }

  @Override
  public void closeGracefully(long connection) {
    IoSession session = sessions.get(connection);
    if (session != null) {
      ClientStream stream = clientStreamOf(session);
      stream.discardInput();
      stream.closeAfterWrite = true;
      StreamHandler.shutdownIfSent(session, stream);
    }
  }

  private static ClientStream clientStreamOf(IoSession session) {
    return (ClientStream) StreamHandler.streamOf(session);
  }
}
