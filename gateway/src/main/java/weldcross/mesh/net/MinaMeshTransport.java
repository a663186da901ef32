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
 * The sockets of the mesh, implemented with Apache MINA. Its methods are called on the gateway's
 * event loop thread; MINA threads only decode received data and post it to that thread.
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
  private final CancellableConnector pendingConnects;
  private final Map<Long, IoSession> sessions = new ConcurrentHashMap<>();

  /** The hosts on which peers listen; connections from other hosts are rejected. */
  private final Set<InetAddress> peerHosts;

  private final List<WriteFuture> goodbyeWrites = new ArrayList<>();
  private PeerConnectionManager connections;
  private Optional<DatagramTransport> datagrams = Optional.empty();

  /** The number of the last accepted connection; accessed only by one MINA thread. */
  private long lastAcceptedNumber;

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
    pendingConnects = new CancellableConnector(connector);
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "mesh");
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Starts listening and reports network events to the manager.
   *
   * @throws IllegalStateException if an address cannot be bound
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

  /** Closes all sockets after waiting up to the connect timeout for the goodbyes to be written. */
  void stop() {
    long deadline = System.nanoTime() + config.connectTimeout().toNanos();
    for (WriteFuture goodbyeWrite : goodbyeWrites) {
      long remaining = Math.max(0, deadline - System.nanoTime());
      goodbyeWrite.awaitUninterruptibly(
          TimeUnit.NANOSECONDS.toMillis(remaining), TimeUnit.MILLISECONDS);
    }
    acceptor.dispose();
    connector.dispose();
    datagrams.ifPresent(DatagramTransport::close);
    processor.dispose();
  }

  // ---- PeerTransport

  @Override
  public void connect(long connection, PeerName to) {
    pendingConnects.connect(
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
          if (pendingConnects.cancel(connection)) {
            connections.onConnectFailed(context.now(), connection, false);
          }
        });
  }

  /** The JDK distinguishes a refused connect from other failures only by the exception message. */
  private static boolean isRefusal(Throwable cause) {
    return cause instanceof ConnectException
        && String.valueOf(cause.getMessage()).contains("refused");
  }

  private void addSession(IoSession session, long connection) {
    PeerSessionHandler.setConnection(session, connection);
    sessions.put(connection, session);
  }

  @Override
  public void sendHandshakeRequest(long connection, PeerName to, Incarnation localIncarnation) {
    send(connection, messages.handshakeRequest(to, localIncarnation));
  }

  @Override
  public void sendHandshakeResponse(long connection, Incarnation localIncarnation) {
    send(connection, MeshMessages.handshakeResponse(localIncarnation));
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
            write ->
                write.addListener(
                    future -> context.post(() -> connections.onWritten(connection, bytes))));
  }

  @Override
  public void sendGoodbye(long connection) {
    send(connection, MeshMessages.goodbye()).ifPresent(goodbyeWrites::add);
  }

  @Override
  public void close(long connection) {
    pendingConnects.cancel(connection);
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
  public void sendDatagram(
      PeerName to, Incarnation localIncarnation, int subject, ByteBuffer content) {
    InetSocketAddress address = addresses.datagramAddresses().get(to);
    if (address != null) {
      datagrams.ifPresent(
          socket -> socket.send(address, messages.datagram(localIncarnation, subject, content)));
    }
  }

  /** Writes a frame; empty if the connection has ended. */
  private Optional<WriteFuture> send(long connection, Frame frame) {
    return Optional.ofNullable(sessions.get(connection)).map(session -> session.write(frame));
  }

  // ---- Network events, on MINA threads

  private void onDatagram(Datagram datagram) {
    context.post(
        () ->
            connections.onDatagram(
                context.now(),
                MeshMessages.decodeHeader(datagram),
                datagram.getSubject(),
                datagram.getContent().asReadOnlyByteBuffer()));
  }

  private final class InboundHandler extends PeerSessionHandler {

    InboundHandler(PeerConnectionManager manager) {
      super(context, manager, sessions::remove);
    }

    @Override
    public void sessionCreated(IoSession session) {
      addSession(session, ++lastAcceptedNumber);
    }

    @Override
    public void sessionOpened(IoSession session) {
      InetSocketAddress remoteAddress = (InetSocketAddress) session.getRemoteAddress();
      boolean fromPeerHost = peerHosts.contains(remoteAddress.getAddress());
      if (!fromPeerHost) {
        LOG.info(
            () ->
                "mesh: connection rejected: address="
                    + remoteAddress
                    + " reason=address is not a peer's host");
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
