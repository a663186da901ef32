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
import weldcross.connections.ClientMemoryPolicy;
import weldcross.pgwire.ResponseAccount;

/**
 * The transport based on Apache MINA. MINA's threads only decode received bytes and post the
 * results as events.
 */
final class MinaTransport implements Transport {

  private static final int BACKLOG = 512;
  private static final int MIN_READ_BUFFER_BYTES = 512;
  private static final int READ_BUFFER_BYTES = 1024;

  /** Also what one client may send before another one is read. */
  private static final int MAX_CLIENT_READ_BUFFER_BYTES = 16_384;

  /**
   * Number of connections of the warm-up. Both ends are in this process, so 160 reads make 320
   * calls; the JVM compiles a method after 200.
   */
  private static final int WARM_UP_CONNECTIONS = 16;

  private static final int WARM_UP_READS = 10;

  private final EventLoop loop;
  private final Supplier<Duration> clock;
  private final ReadBatch readBatch;
  private final ClientMemory clientMemory;
  private final ConcurrentHashMap<Long, IoSession> sessions = new ConcurrentHashMap<>();
  private final StreamHandler handler = new StreamHandler(sessions);

  /** Package-private so that tests can wait for the end of a read batch. */
  final GatheringIoProcessor processor;

  private final ConnectionLimitAcceptor acceptor;
  private final NioSocketConnector minaConnector;
  private final CancellableConnector connector;
  private final CompletableFuture<InetSocketAddress> listenAddress = new CompletableFuture<>();

  /** Null if gossip is not enabled. */
  private GossipSocket gossip;

  /**
   * Creates a transport without connections, whose clients may hold a share of the heap.
   *
   * @param loop receives the events
   * @param clock time since the start of the process
   * @param maxConnections limit for open and pending connections together
   */
  MinaTransport(EventLoop loop, Supplier<Duration> clock, int maxConnections) {
    this(
        loop,
        clock,
        maxConnections,
        new ClientMemory(ClientMemoryPolicy.ofHeap(Runtime.getRuntime().maxMemory())));
  }

  /**
   * Creates a transport without connections.
   *
   * @param loop receives the events
   * @param clock time since the start of the process
   * @param maxConnections limit for open and pending connections together
   * @param clientMemory accounts for the messages of all clients
   */
  MinaTransport(
      EventLoop loop, Supplier<Duration> clock, int maxConnections, ClientMemory clientMemory) {
    this.loop = loop;
    this.clock = clock;
    this.clientMemory = clientMemory;
    ExecutorService executor = createExecutor(loop);
    readBatch = new ReadBatch(loop::post);
    processor = new GatheringIoProcessor(executor, readBatch::postAll);
    minaConnector = new NioSocketConnector(executor, processor);
    connector = new CancellableConnector(minaConnector);
    // Pending connections count because each of them has a file descriptor as well.
    acceptor =
        new ConnectionLimitAcceptor(
            executor,
            processor,
            maxConnections,
            () -> minaConnector.getManagedSessionCount() + connector.pendingCount());
    configure(acceptor.getSessionConfig());
    configure(minaConnector.getSessionConfig());
    acceptor.getSessionConfig().setMaxReadBufferSize(MAX_CLIENT_READ_BUFFER_BYTES);
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BACKLOG);
    acceptor.setHandler(clientHandler());
    minaConnector.setHandler(handler);
  }

  /**
   * Returns an executor with daemon threads. An uncaught exception of a thread ends the event loop,
   * and the gateway with it: without that thread the gateway would run and serve nobody.
   */
  private static ExecutorService createExecutor(EventLoop loop) {
    return Executors.newCachedThreadPool(
        task -> {
          Thread thread = new Thread(task);
          thread.setDaemon(true);
          thread.setUncaughtExceptionHandler(
              (failedThread, cause) ->
                  loop.post(
                      gateway -> {
                        throw new IllegalStateException(
                            "I/O thread " + failedThread.getName() + " failed", cause);
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
        ClientMemory.Account memory = clientMemory.openAccount();
        attach(session, number, new ClientStream(number, readBatch, processor, clock, memory));
      }

      @Override
      public void sessionClosed(IoSession session) {
        acceptor.connectionClosed();
        super.sessionClosed(session);
      }
    };
  }

  /** Returns a future of the address that clients connect to, completed when it is bound. */
  CompletableFuture<InetSocketAddress> listenAddress() {
    return listenAddress;
  }

  /** Closes all sockets; no method may be called afterwards. */
  void close() {
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

  @Override
  public String describe() {
    return clientMemory.describe();
  }

  // ---- Listening and connecting

  @Override
  public void listen(InetSocketAddress address) {
    try {
      acceptor.bind(address);
      listenAddress.complete(acceptor.getLocalAddress());
    } catch (IOException e) {
      listenAddress.completeExceptionally(e);
      throw listenFailure(address, e);
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
      throw listenFailure(address, e);
    }
  }

  private static IllegalStateException listenFailure(InetSocketAddress address, IOException cause) {
    return new IllegalStateException(
        "cannot listen on " + address + ": " + cause.getMessage(), cause);
  }

  @Override
  public void sendGossip(InetSocketAddress address, byte[] message) {
    gossip.send(address, message);
  }

  @Override
  public void warmUp() {
    AtomicInteger openConnections = new AtomicInteger(WARM_UP_CONNECTIONS);
    Runnable onClosed =
        () -> {
          if (openConnections.decrementAndGet() == 0) {
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
    connect(connection, address, new ServerStream(connection, readBatch, loop));
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
          // A refused connection, a timeout and an unreachable host have exception classes of their
          // own; a plain SocketException means a reset.
          if (cause.getClass() == SocketException.class) {
            stream.resetOnConnect();
          } else {
            stream.connectFailed();
          }
        });
  }

  // ---- Connections

  @Override
  public void expectResponse(long connection, ResponseAccount memory) {
    IoSession session = sessions.get(connection);
    if (session != null) {
      ((ServerStream) StreamHandler.streamOf(session)).expectResponse(memory);
    }
  }

  @Override
  public boolean write(long connection, ByteBuffer... parts) {
    IoSession session = sessions.get(connection);
    if (session == null) {
      return false;
    }
    Stream stream = StreamHandler.streamOf(session);
    // If no earlier write is pending, a direct write saves waking up the processor's thread.
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
      clientStreamOf(session).setDelivering(reading);
    }
  }

  @Override
  public boolean mayBeDisconnected(long connection) {
    IoSession session = sessions.get(connection);
    return session == null || clientStreamOf(session).mayBeDisconnected();
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
      // A server must see the end of a cancelled attempt before it receives a later attempt, so
      // the end is sent immediately. No such order is needed for clients.
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
          readBatch.add(gateway -> gateway.clients().closeDecided(connection, quiet));
        });
  }

  /**
   * Half-closes a connection if it is quiet; returns whether it is half-closed or closed now.
   *
   * @param session null if the connection is already closed
   * @param messages number of messages that the event loop has received on the connection
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
