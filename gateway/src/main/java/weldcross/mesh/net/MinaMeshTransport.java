package weldcross.mesh.net;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import weldcross.connections.CancellableConnector;
import weldcross.extension.ExtensionContext;
import weldcross.mesh.HandshakeRejection;
import weldcross.mesh.MeshConfig;
import weldcross.mesh.PeerAddresses;
import weldcross.mesh.PeerConnectionManager;
import weldcross.mesh.PeerName;
import weldcross.mesh.wire.Datagram;
import weldcross.mesh.wire.Frame;
import weldcross.mesh.wire.Greeting;
import weldcross.mesh.wire.Incarnation;
import weldcross.mesh.wire.Message;
import weldcross.mesh.wire.Refused;
import weldcross.mesh.wire.Welcome;

/** The sockets of the link, on Apache MINA; its threads only read what comes and post it. */
final class MinaMeshTransport {

  private static final Logger LOG = Logger.getLogger(MinaMeshTransport.class.getName());
  private static final String NUMBER = "number";
  private static final String IN_HAND = "in hand";

  /** Frames of one connection that were read and are not worked on; with more it is not read on. */
  private static final int MOST_IN_HAND = 1024;

  /** A datagram goes whole or not at all. */
  private static final int LONGEST_DATAGRAM = 1200;

  private final MeshConfig terms;
  private final PeerAddresses places;
  private final PeerConnectionManager links;
  private final ExtensionContext seam;
  private final SimpleIoProcessorPool<NioSession> processor;
  private final ExecutorService threads;
  private final NioSocketAcceptor acceptor;
  private final NioSocketConnector connector;
  private final CancellableConnector dials;
  private final Map<Long, IoSession> sessions = new ConcurrentHashMap<>();

  /** On which peers are called: nobody else calls here. */
  private final Set<InetAddress> hosts = new HashSet<>();

  private final List<WriteFuture> goodbyes = new ArrayList<>();
  private NioDatagramAcceptor datagrams;

  /** Numbers of connections accepted here, above zero. */
  private long accepted;

  MinaMeshTransport(
      MeshConfig terms, PeerAddresses places, PeerConnectionManager links, ExtensionContext seam) {
    this.terms = terms;
    this.places = places;
    this.links = links;
    this.seam = seam;
    places.calls().values().forEach(place -> hosts.add(place.getAddress()));
    threads =
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "link");
              thread.setDaemon(true);
              return thread;
            });
    processor = new SimpleIoProcessorPool<>(NioProcessor.class, threads, 1, null);
    acceptor = new NioSocketAcceptor(threads, processor);
    connector = new NioSocketConnector(threads, processor);
    dials = new CancellableConnector(connector);
    set(acceptor.getSessionConfig());
    set(connector.getSessionConfig());
    acceptor.setReuseAddress(true);
    acceptor.getFilterChain().addLast("frames", FrameCodec.filter());
    connector.getFilterChain().addLast("frames", FrameCodec.filter());
    acceptor.setHandler(
        new Handler() {
          @Override
          public void sessionCreated(IoSession session) {
            long number = ++accepted;
            session.setAttribute(NUMBER, number);
            sessions.put(number, session);
          }

          @Override
          public void sessionOpened(IoSession session) {
            boolean known =
                hosts.contains(((InetSocketAddress) session.getRemoteAddress()).getAddress());
            if (!known) {
              LOG.info(
                  () ->
                      "link: a caller from "
                          + session.getRemoteAddress()
                          + ", no address told, is refused");
            }
            told(session, number -> links.accepted(seam.now(), number, known));
          }
        });
    connector.setHandler(
        new Handler() {
          @Override
          public void sessionOpened(IoSession session) {
            told(session, number -> links.dialled(seam.now(), number));
          }
        });
  }

  private static void set(SocketSessionConfig config) {
    config.setTcpNoDelay(true);
    config.setMinReadBufferSize(512);
    config.setMaxReadBufferSize(FrameCodec.LONGEST / 16);
  }

  void listen() {
    try {
      acceptor.bind(places.listen());
      if (places.datagrams() != null) {
        datagrams = new NioDatagramAcceptor(threads);
        datagrams.setHandler(
            new IoHandlerAdapter() {
              @Override
              public void messageReceived(IoSession session, Object message) {
                datagramCame((IoBuffer) message);
              }
            });
        datagrams.bind(places.datagrams());
      }
    } catch (IOException e) {
      throw new IllegalStateException(
          "link.listen: cannot listen on " + places.listen() + ": " + e.getMessage(), e);
    }
  }

  /** Goodbyes have the time of a dial to go out. */
  void end() {
    Duration most = terms.dialWithin();
    long until = System.nanoTime() + most.toNanos();
    goodbyes.forEach(
        g ->
            g.awaitUninterruptibly(
                Math.max(0, until - System.nanoTime()) / 1_000_000, TimeUnit.MILLISECONDS));
    acceptor.dispose();
    connector.dispose();
    if (datagrams != null) {
      datagrams.dispose();
    }
    processor.dispose();
  }

  // ---- What is asked for

  void dial(long number, PeerName to) {
    dials.connect(
        number,
        places.calls().get(to),
        session -> {
          session.setAttribute(NUMBER, number);
          sessions.put(number, session);
        },
        why -> {
          boolean refused =
              why instanceof ConnectException
                  && String.valueOf(why.getMessage()).contains("refused");
          seam.post(() -> links.dialFailed(seam.now(), number, refused));
        });
    seam.at(
        seam.now().plus(terms.dialWithin()),
        () -> {
          if (dials.cancel(number)) {
            links.dialFailed(seam.now(), number, false);
          }
        });
  }

  void greet(long number, PeerName to, weldcross.mesh.Incarnation self) {
    write(
        number,
        Frame.newBuilder()
            .setGreeting(
                Greeting.newBuilder()
                    .setVersion(MeshConfig.VERSION)
                    .setCluster(terms.cluster())
                    .setFrom(terms.self().name())
                    .setTo(to.name())
                    .setLife(wire(self))));
  }

  void welcome(long number, weldcross.mesh.Incarnation self) {
    write(
        number,
        Frame.newBuilder()
            .setWelcome(Welcome.newBuilder().setVersion(MeshConfig.VERSION).setLife(wire(self))));
  }

  void refuse(long number, HandshakeRejection why, long knownIncarnation) {
    LOG.info(() -> "link: a caller is refused: " + why);
    write(
        number,
        Frame.newBuilder()
            .setRefused(
                Refused.newBuilder()
                    .setWhy(why.name())
                    .setKnownIncarnation(knownIncarnation)
                    .setNewestVersion(MeshConfig.VERSION)));
  }

  void beat(long number, long count) {
    write(number, Frame.newBuilder().setBeat(count));
  }

  void echo(long number, long count) {
    write(number, Frame.newBuilder().setEcho(count));
  }

  void message(long number, int subject, ByteBuffer content) {
    int bytes = content.remaining();
    WriteFuture out =
        write(
            number,
            Frame.newBuilder()
                .setMessage(
                    Message.newBuilder()
                        .setSubject(subject)
                        .setContent(ByteString.copyFrom(content.duplicate()))));
    if (out != null) {
      out.addListener(f -> seam.post(() -> links.written(seam.now(), number, bytes)));
    }
  }

  void goodbye(long number) {
    WriteFuture out = write(number, Frame.newBuilder().setGoodbye(true));
    if (out != null) {
      goodbyes.add(out);
    }
  }

  void drop(long number) {
    dials.cancel(number);
    IoSession session = sessions.remove(number);
    if (session != null) {
      session.closeNow();
    }
  }

  void finish(long number) {
    IoSession session = sessions.remove(number);
    if (session != null) {
      session.closeOnFlush();
    }
  }

  void datagram(PeerName to, weldcross.mesh.Incarnation self, int subject, ByteBuffer content) {
    InetSocketAddress place = places.tells().get(to);
    if (datagrams == null || place == null) {
      return;
    }
    byte[] bytes =
        Datagram.newBuilder()
            .setVersion(MeshConfig.VERSION)
            .setCluster(terms.cluster())
            .setFrom(terms.self().name())
            .setLife(wire(self))
            .setSubject(subject)
            .setContent(ByteString.copyFrom(content.duplicate()))
            .build()
            .toByteArray();
    if (bytes.length <= LONGEST_DATAGRAM) {
      datagrams.newSession(place, places.datagrams()).write(IoBuffer.wrap(bytes));
    }
  }

  private WriteFuture write(long number, Frame.Builder frame) {
    IoSession session = sessions.get(number);
    return session == null ? null : session.write(frame.build());
  }

  private static Incarnation wire(weldcross.mesh.Incarnation life) {
    return Incarnation.newBuilder().setIncarnation(life.incarnation()).setMark(life.mark()).build();
  }

  private static weldcross.mesh.Incarnation plain(Incarnation life) {
    return new weldcross.mesh.Incarnation(life.getIncarnation(), life.getMark());
  }

  // ---- What comes

  private void datagramCame(IoBuffer in) {
    byte[] bytes = new byte[in.remaining()];
    in.get(bytes);
    try {
      Datagram d = Datagram.parseFrom(bytes);
      seam.post(
          () ->
              links.datagram(
                  seam.now(),
                  d.getCluster(),
                  new PeerName(d.getFrom()),
                  plain(d.getLife()),
                  d.getVersion(),
                  d.getSubject(),
                  d.getContent().asReadOnlyByteBuffer()));
    } catch (InvalidProtocolBufferException e) {
      LOG.fine(() -> "link: a datagram that is none");
    }
  }

  private class Handler extends IoHandlerAdapter {

    void told(IoSession session, Consumer<Long> event) {
      long number = (Long) session.getAttribute(NUMBER);
      seam.post(() -> event.accept(number));
    }

    /** Of a peer that says more than can be worked on, the rest waits in the network. */
    @Override
    public void messageReceived(IoSession session, Object message) {
      Frame f = (Frame) message;
      AtomicInteger inHand = inHand(session);
      if (inHand.incrementAndGet() == MOST_IN_HAND) {
        session.suspendRead();
      }
      told(
          session,
          number -> {
            came(number, f);
            if (inHand.decrementAndGet() == MOST_IN_HAND / 2 && session.isReadSuspended()) {
              session.resumeRead();
            }
          });
    }

    private static AtomicInteger inHand(IoSession session) {
      AtomicInteger count = (AtomicInteger) session.getAttribute(IN_HAND);
      if (count == null) {
        count = new AtomicInteger();
        session.setAttribute(IN_HAND, count);
      }
      return count;
    }

    private void came(long number, Frame f) {
      Duration now = seam.now();
      switch (f.getKindCase()) {
        case GREETING ->
            links.greeted(
                now,
                number,
                f.getGreeting().getCluster(),
                new PeerName(f.getGreeting().getFrom()),
                new PeerName(f.getGreeting().getTo()),
                plain(f.getGreeting().getLife()),
                f.getGreeting().getVersion());
        case WELCOME -> links.welcomed(now, number, plain(f.getWelcome().getLife()));
        case REFUSED ->
            links.refused(
                now,
                number,
                refusal(f.getRefused().getWhy()),
                f.getRefused().getKnownIncarnation());
        case BEAT -> links.beaten(now, number, f.getBeat());
        case ECHO -> links.echoed(now, number, f.getEcho());
        case MESSAGE ->
            links.message(
                now,
                number,
                f.getMessage().getSubject(),
                f.getMessage().getContent().asReadOnlyByteBuffer());
        case GOODBYE -> links.goodbye(now, number);
        default -> {
          // Of a later version, which says more than is known here.
        }
      }
    }

    private static HandshakeRejection refusal(String word) {
      for (HandshakeRejection each : HandshakeRejection.values()) {
        if (each.name().equals(word)) {
          return each;
        }
      }
      return HandshakeRejection.NAME;
    }

    @Override
    public void sessionClosed(IoSession session) {
      told(
          session,
          number -> {
            sessions.remove(number);
            links.gone(seam.now(), number);
          });
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      LOG.fine(() -> "link: connection ended: " + cause);
      told(session, number -> links.broke(seam.now(), number, "what it sent cannot be read"));
      session.closeNow();
    }
  }
}
