package weldcross.mesh.net;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import weldcross.connections.CancellableConnector;
import weldcross.extension.ExtensionContext;
import weldcross.mesh.HandshakeRejection;
import weldcross.mesh.Incarnation;
import weldcross.mesh.MeshConfig;
import weldcross.mesh.PeerAddresses;
import weldcross.mesh.PeerConnectionManager;
import weldcross.mesh.PeerName;
import weldcross.mesh.PeerTransport;
import weldcross.mesh.wire.Datagram;
import weldcross.mesh.wire.Frame;

/**
 * The sockets of the mesh, on Apache MINA. Its methods are called on the gateway's thread; MINA's
 * threads only decode what comes and post it there.
 */
final class MinaMeshTransport implements PeerTransport {

  private static final Logger LOG = Logger.getLogger(MinaMeshTransport.class.getName());
  private static final int MIN_READ_BUFFER_BYTES = 512;
  private static final int MAX_READ_BUFFER_BYTES = FrameCodec.MAX_FRAME_BYTES / 16;

  private final MeshConfig config;
  private final PeerAddresses addresses;
  private final ExtensionContext context;
  private final MeshMessages messages;
  private final SimpleIoProcessorPool<NioSession> processor;
  private final ExecutorService threads;
  private final NioSocketAcceptor acceptor;
  private final NioSocketConnector connector;
  private final CancellableConnector connects;
  private final Map<Long, IoSession> sessions = new ConcurrentHashMap<>();

  /** The hosts on which peers listen: connections from other hosts are rejected. */
  private final Set<InetAddress> peerHosts;

  private final List<WriteFuture> goodbyes = new ArrayList<>();
  private PeerConnectionManager connections;
  private Optional<DatagramTransport> datagrams = Optional.empty();

  /** The number of the connection accepted last; written by MINA's acceptor thread alone. */
  private long lastAccepted;

  MinaMeshTransport(MeshConfig config, PeerAddresses addresses, ExtensionContext context) {
    this.config = config;
    this.addresses = addresses;
    this.context = context;
    this.messages = new MeshMessages(config);
    this.peerHosts =
        addresses.connectAddresses().values().stream()
            .map(InetSocketAddress::getAddress)
            .collect(Collectors.toUnmodifiableSet());
    threads = Executors.newCachedThreadPool(MinaMeshTransport::newThread);
    processor = new SimpleIoProcessorPool<>(NioProcessor.class, threads, 1, null);
    acceptor = new NioSocketAcceptor(threads, processor);
    connector = new NioSocketConnector(threads, processor);
    connects = new CancellableConnector(connector);
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "mesh");
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Listens for peers and reports to the manager from now on.
   *
   * @throws IllegalStateException where an address cannot be bound
   */
  void start(PeerConnectionManager manager) {
    connections = manager;
    configure(acceptor.getSessionConfig());
    configure(connector.getSessionConfig());
    acceptor.setReuseAddress(true);
    acceptor.getFilterChain().addLast("frames", FrameCodec.filter());
    connector.getFilterChain().addLast("frames", FrameCodec.filter());
    acceptor.setHandler(new InboundHandler(manager));
    connector.setHandler(new OutboundHandler(manager));
    try {
      acceptor.bind(addresses.listenAddress());
      if (addresses.datagramListenAddress().isPresent()) {
        InetSocketAddress address = addresses.datagramListenAddress().get();
        datagrams = Optional.of(new DatagramTransport(address, threads, this::onDatagram));
      }
    } catch (IOException e) {
      throw new IllegalStateException(
          "link.listen: cannot listen on " + addresses.listenAddress() + ": " + e.getMessage(), e);
    }
  }

  private static void configure(SocketSessionConfig session) {
    session.setTcpNoDelay(true);
    session.setMinReadBufferSize(MIN_READ_BUFFER_BYTES);
    session.setMaxReadBufferSize(MAX_READ_BUFFER_BYTES);
  }

  /** Closes all sockets; goodbyes have the connect timeout to go out. */
  void stop() {
    long deadline = System.nanoTime() + config.connectTimeout().toNanos();
    for (WriteFuture goodbye : goodbyes) {
      long remaining = Math.max(0, deadline - System.nanoTime());
      goodbye.awaitUninterruptibly(TimeUnit.NANOSECONDS.toMillis(remaining), TimeUnit.MILLISECONDS);
    }
    acceptor.dispose();
    connector.dispose();
    datagrams.ifPresent(DatagramTransport::close);
    processor.dispose();
  }

  // ---- Effects

  @Override
  public void connect(long connection, PeerName to) {
    connects.connect(
        connection,
        addresses.connectAddresses().get(to),
        session -> addSession(session, connection),
        cause -> {
          boolean refused = isRefusal(cause);
          context.post(() -> connections.onConnectFailed(context.now(), connection, refused));
        });
    context.schedule(
        context.now().plus(config.connectTimeout()),
        () -> {
          if (connects.cancel(connection)) {
            connections.onConnectFailed(context.now(), connection, false);
          }
        });
  }

  /** The JDK tells a refusal from other failures by the message alone. */
  private static boolean isRefusal(Throwable cause) {
    return cause instanceof ConnectException
        && String.valueOf(cause.getMessage()).contains("refused");
  }

  private void addSession(IoSession session, long connection) {
    PeerSessionHandler.setConnection(session, connection);
    sessions.put(connection, session);
  }

  @Override
  public void sendHandshakeRequest(long connection, PeerName to, Incarnation self) {
    send(connection, messages.handshakeRequest(to, self));
  }

  @Override
  public void sendHandshakeResponse(long connection, Incarnation self) {
    send(connection, MeshMessages.handshakeResponse(self));
  }

  @Override
  public void sendHandshakeRejection(
      long connection, HandshakeRejection reason, long knownIncarnation) {
    LOG.info(() -> "mesh: handshake rejected: reason=" + reason);
    send(connection, MeshMessages.handshakeRejected(reason, knownIncarnation));
  }

  @Override
  public void sendHeartbeat(long connection, long sequence) {
    send(connection, MeshMessages.heartbeat(sequence));
  }

  @Override
  public void sendHeartbeatAck(long connection, long sequence) {
    send(connection, MeshMessages.heartbeatAck(sequence));
  }

  @Override
  public void sendMessage(long connection, int subject, ByteBuffer content) {
    int bytes = content.remaining();
    send(connection, MeshMessages.message(subject, content))
        .ifPresent(
            written ->
                written.addListener(
                    future -> context.post(() -> connections.onWritten(connection, bytes))));
  }

  @Override
  public void sendGoodbye(long connection) {
    send(connection, MeshMessages.goodbye()).ifPresent(goodbyes::add);
  }

  @Override
  public void close(long connection) {
    connects.cancel(connection);
    IoSession session = sessions.remove(connection);
    if (session != null) {
      session.closeNow();
    }
  }

  @Override
  public void closeAfterFlush(long connection) {
    IoSession session = sessions.remove(connection);
    if (session != null) {
      session.closeOnFlush();
    }
  }

  @Override
  public void sendDatagram(PeerName to, Incarnation self, int subject, ByteBuffer content) {
    InetSocketAddress address = addresses.datagramAddresses().get(to);
    if (address != null) {
      datagrams.ifPresent(
          socket -> socket.send(address, messages.datagram(self, subject, content)));
    }
  }

  /** Empty where the connection has ended. */
  private Optional<WriteFuture> send(long connection, Frame frame) {
    return Optional.ofNullable(sessions.get(connection)).map(session -> session.write(frame));
  }

  // ---- Events, on threads of MINA's

  private void onDatagram(Datagram datagram) {
    context.post(
        () ->
            connections.onDatagram(
                context.now(),
                MeshMessages.header(datagram),
                datagram.getSubject(),
                datagram.getContent().asReadOnlyByteBuffer()));
  }

  private final class InboundHandler extends PeerSessionHandler {

    InboundHandler(PeerConnectionManager manager) {
      super(context, manager, sessions::remove);
    }

    @Override
    public void sessionCreated(IoSession session) {
      addSession(session, ++lastAccepted);
    }

    @Override
    public void sessionOpened(IoSession session) {
      InetSocketAddress caller = (InetSocketAddress) session.getRemoteAddress();
      boolean fromPeerHost = peerHosts.contains(caller.getAddress());
      if (!fromPeerHost) {
        LOG.info(
            () -> "mesh: connection rejected: address=" + caller + " reason=not a peer's host");
      }
      post(session, connection -> connections.onAccepted(context.now(), connection, fromPeerHost));
    }
  }

  private final class OutboundHandler extends PeerSessionHandler {

    OutboundHandler(PeerConnectionManager manager) {
      super(context, manager, sessions::remove);
    }

    @Override
    public void sessionOpened(IoSession session) {
      post(session, connection -> connections.onConnected(context.now(), connection));
    }
  }
}
