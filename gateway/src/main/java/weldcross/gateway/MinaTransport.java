package weldcross.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import weldcross.connections.CancellableConnector;
import weldcross.discovery.HttpResponseDecoder;
import weldcross.gossip.GossipMessage;
import weldcross.pgwire.MessageEncoder;
import weldcross.pgwire.ServerMessageDecoder;
import weldcross.routing.ServerId;

/** Performs the effects on Apache MINA; its threads only parse what comes and post it. */
final class MinaTransport implements Transport {

  private static final Logger LOG = Logger.getLogger(MinaTransport.class.getName());
  private static final String STREAM = "stream";
  private static final String NUMBER = "number";
  private static final int BACKLOG = 512;

  /** Both ends are this process, so that 100 words make 200 calls, after which the JVM compiles. */
  private static final int GREETERS = 16;

  private static final int GREETINGS = 10;

  private final EventLoop loop;
  private final Supplier<Duration> clock;
  private final ReadBatch round;
  private final Map<Long, IoSession> sessions = new ConcurrentHashMap<>();

  /** Seen in this package so that tests can wait for a round of it. */
  final GatheringIoProcessor processor;

  private final ConnectionLimitAcceptor acceptor;
  private final NioSocketConnector connector;
  private final CancellableConnector dials;
  private final CompletableFuture<InetSocketAddress> listening = new CompletableFuture<>();
  private NioDatagramAcceptor peers;
  private InetSocketAddress peersFrom;

  MinaTransport(EventLoop loop, Supplier<Duration> clock, int mostOpen) {
    this.loop = loop;
    this.clock = clock;
    ExecutorService threads =
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              // Against a gateway that only seems alive: what ends one of these threads comes out
              // of the one that serves.
              thread.setUncaughtExceptionHandler(
                  (t, e) ->
                      loop.post(
                          g -> {
                            throw new IllegalStateException("thread " + t.getName() + " ended", e);
                          }));
              return thread;
            });
    round = new ReadBatch(loop::post);
    processor = new GatheringIoProcessor(threads, round::postAll);
    connector = new NioSocketConnector(threads, processor);
    dials = new CancellableConnector(connector);
    // A dial that is under way holds a descriptor as well.
    acceptor =
        new ConnectionLimitAcceptor(
            threads,
            processor,
            mostOpen,
            () -> connector.getManagedSessionCount() + dials.pendingCount());
    set(acceptor.getSessionConfig());
    set(connector.getSessionConfig());
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BACKLOG);
    acceptor.setHandler(
        new Handler() {
          @Override
          public void sessionCreated(IoSession session) {
            long number = session.getId();
            carry(session, number, new ClientStream(number, round, processor, clock));
          }

          @Override
          public void sessionClosed(IoSession session) {
            acceptor.ended();
            super.sessionClosed(session);
          }
        });
    connector.setHandler(new Handler());
  }

  private static void set(SocketSessionConfig config) {
    config.setTcpNoDelay(true);
    config.setMinReadBufferSize(512);
    config.setReadBufferSize(1024);
  }

  CompletableFuture<InetSocketAddress> listening() {
    return listening;
  }

  /** Nothing is asked for after this. */
  void end() {
    acceptor.dispose();
    connector.dispose();
    if (peers != null) {
      peers.dispose();
    }
  }

  @Override
  public void listen(InetSocketAddress at) {
    try {
      acceptor.bind(at);
      listening.complete(acceptor.getLocalAddress());
    } catch (IOException e) {
      listening.completeExceptionally(e);
      throw cannotListen(at, e);
    }
  }

  @Override
  public void warmUp() {
    AtomicInteger open = new AtomicInteger(GREETERS);
    for (int k = 0; k < GREETERS; k++) {
      long number = Long.MIN_VALUE + k;
      dial(
          number,
          acceptor.getLocalAddress(),
          new Stream() {
            private int left = GREETINGS;

            @Override
            void opened() {
              write(number, MessageEncoder.startup());
            }

            @Override
            void read(ByteBuffer in) {
              if (--left > 0) {
                write(number, MessageEncoder.query(""));
              } else {
                closeNow(number);
              }
            }

            @Override
            void closed() {
              if (open.decrementAndGet() == 0) {
                loop.post(Gateway::warmed);
              }
            }
          });
    }
  }

  @Override
  public void stopListening() {
    acceptor.setCloseOnDeactivation(false);
    acceptor.unbind();
  }

  @Override
  public void listenForGossip(InetSocketAddress at) {
    peersFrom = at;
    peers = new NioDatagramAcceptor();
    peers.setHandler(
        new IoHandlerAdapter() {
          @Override
          public void messageReceived(IoSession session, Object message) {
            IoBuffer in = (IoBuffer) message;
            byte[] bytes = new byte[in.remaining()];
            in.get(bytes);
            ServerId server = GossipMessage.decode(bytes);
            if (server != null) {
              loop.post(g -> g.gossipReceived(server));
            }
          }

          @Override
          public void exceptionCaught(IoSession session, Throwable cause) {
            LOG.log(Level.FINE, "message between gateways", cause);
          }
        });
    try {
      peers.bind(at);
    } catch (IOException e) {
      throw cannotListen(at, e);
    }
  }

  private static IllegalStateException cannotListen(InetSocketAddress at, IOException why) {
    return new IllegalStateException("cannot listen on " + at + ": " + why.getMessage(), why);
  }

  @Override
  public void sendGossip(InetSocketAddress to, byte[] message) {
    peers.newSession(to, peersFrom).write(IoBuffer.wrap(message));
  }

  @Override
  public void connectToServer(long link, InetSocketAddress to) {
    dial(link, to, server(link));
  }

  @Override
  public void connectToDiscovery(long link, InetSocketAddress to) {
    dial(link, to, discovery(link));
  }

  private void carry(IoSession session, long number, Stream stream) {
    stream.session = session;
    session.setAttribute(NUMBER, number);
    session.setAttribute(STREAM, stream);
    sessions.put(number, session);
  }

  private void dial(long number, InetSocketAddress to, Stream stream) {
    dials.connect(
        number,
        to,
        session -> carry(session, number, stream),
        why -> {
          if (why.getClass() == SocketException.class) {
            // Refused, unreachable and overdue have exceptions of their own kind.
            stream.resetOnConnect();
          } else {
            stream.connectFailed();
          }
        });
  }

  @Override
  public Duration now() {
    return clock.get();
  }

  @Override
  public boolean write(long connection, ByteBuffer... parts) {
    IoSession session = sessions.get(connection);
    if (session == null) {
      return false;
    }
    Stream stream = (Stream) session.getAttribute(STREAM);
    stream.writing();
    // Where nothing else waits to go out no other thread has to be woken for it.
    if (stream.pendingWrites.get() == 0 && GatheringIoProcessor.writeNow(session, parts)) {
      return true;
    }
    stream.pendingWrites.incrementAndGet();
    session.write(new CompositeBuffer(parts));
    return false;
  }

  @Override
  public void setReading(long connection, boolean on) {
    IoSession session = sessions.get(connection);
    if (session != null) {
      ((ClientStream) session.getAttribute(STREAM)).listen(on);
    }
  }

  @Override
  public void afterPendingReads(long connection) {
    processor.afterReading(() -> loop.post(g -> g.heard(connection)));
  }

  @Override
  public void closeIfQuiet(long connection, int messages) {
    processor.afterReading(
        () -> {
          IoSession session = sessions.get(connection);
          ClientStream stream =
              session == null ? null : (ClientStream) session.getAttribute(STREAM);
          boolean quiet = stream == null || stream.isQuiet(messages);
          if (stream != null && quiet) {
            stream.discardInput();
            GatheringIoProcessor.endSending(session);
          }
          round.add(g -> g.clients().closeDecided(connection, quiet));
        });
  }

  @Override
  public void closeNow(long connection) {
    dials.cancel(connection);
    IoSession session = sessions.remove(connection);
    if (session != null) {
      // A second call-out must not overtake the end of the first; clients have nothing that could.
      if (connection < 0) {
        GatheringIoProcessor.endSending(session);
      }
      session.closeNow();
    }
  }

  @Override
  public void closeGracefully(long connection) {
    IoSession session = sessions.get(connection);
    if (session != null) {
      ClientStream stream = (ClientStream) session.getAttribute(STREAM);
      stream.discardInput();
      stream.closeAfterWrite = true;
      endIfOut(session, stream);
    }
  }

  /**
   * What came in unread would, at a close, take back what was written last; so only sending ends
   * here.
   */
  private static void endIfOut(IoSession session, Stream stream) {
    if (stream.closeAfterWrite && stream.pendingWrites.get() == 0) {
      GatheringIoProcessor.endSending(session);
    }
  }

  private Stream server(long number) {
    ServerMessageDecoder reader = Streams.server(round::addForServer, number);
    return new Stream() {
      @Override
      void opened() {
        round.addForServer(g -> g.serverConnections().connected(number));
      }

      @Override
      void writing() {
        reader.expectResponse();
      }

      @Override
      void read(ByteBuffer in) {
        reader.feed(in);
      }

      @Override
      void written() {
        round.addForServer(g -> g.serverConnections().written(number));
      }

      @Override
      void closed() {
        round.addForServer(g -> g.serverConnections().closed(number, reader.partialResponse()));
      }

      @Override
      void connectFailed() {
        loop.post(g -> g.serverConnections().closed(number, null));
      }

      @Override
      void resetOnConnect() {
        loop.post(g -> g.serverConnections().connectionReset(number));
      }
    };
  }

  private Stream discovery(long number) {
    HttpResponseDecoder reader =
        new HttpResponseDecoder(
            (status, body) -> loop.post(g -> g.discovery().responseReceived(number, status, body)));
    return new Stream() {
      @Override
      void opened() {
        loop.post(g -> g.discovery().connected(number));
      }

      @Override
      void read(ByteBuffer in) throws HttpResponseDecoder.ProtocolException {
        reader.feed(in);
        if (reader.isInResponse()) {
          loop.post(g -> g.discovery().responseStarted(number));
        }
      }

      @Override
      void closed() {
        if (!connectionFailed) {
          reader.endOfStream();
        }
        loop.post(g -> g.discovery().closed(number));
      }
    };
  }

  /** The events of all connections, handed to the stream that each carries. */
  private class Handler extends IoHandlerAdapter {

    private Stream stream(IoSession session) {
      return (Stream) session.getAttribute(STREAM);
    }

    @Override
    public void sessionOpened(IoSession session) {
      stream(session).opened();
    }

    @Override
    public void messageReceived(IoSession session, Object message) throws Exception {
      stream(session).read(((IoBuffer) message).buf());
    }

    @Override
    public void messageSent(IoSession session, Object message) {
      Stream stream = stream(session);
      stream.pendingWrites.decrementAndGet();
      endIfOut(session, stream);
      stream.written();
    }

    @Override
    public void sessionClosed(IoSession session) {
      sessions.remove((Long) session.getAttribute(NUMBER));
      stream(session).closed();
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      // A peer's nonsense, or a broken network: the connection ends and its end is told.
      stream(session).connectionFailed = true;
      LOG.fine(() -> "connection ended: " + cause);
      session.closeNow();
    }
  }
}
