package weldcross.fakes;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * A server of a group, primary or replica, that speaks PostgreSQL's protocol v3 with simple
 * queries: reads and writes of one key, probes ({@code SELECT 1}, {@code SHOW stats}) and the
 * question what became of an RPC ({@code SELECT outcome FROM rpcs WHERE id = '...'}). Tells its
 * role and position beside its answers. What it is to do wrong is set from outside.
 */
public final class FakePostgresServer implements AutoCloseable {

  private static final Pattern READ =
      Pattern.compile("SELECT content FROM kv WHERE name = '([^']*)' /\\* (.*) \\*/");
  private static final Pattern WRITE =
      Pattern.compile(
          "INSERT INTO kv \\(name, content\\) VALUES \\('([^']*)', '\\\\x([0-9a-f]*)'\\) RETURNING content /\\* (.*) \\*/");
  private static final Pattern OUTCOME =
      Pattern.compile("SELECT outcome FROM rpcs WHERE id = '([^']*)'.*");
  private static final Pattern ID = Pattern.compile("(?:^|,)id=([^,]+)");
  private static final AtomicLong CONNECTIONS = new AtomicLong();

  /** What one connection has sent and is not worked on. */
  private static final class Stream {
    final long number = CONNECTIONS.incrementAndGet();
    byte[] rest = new byte[0];
    boolean started, busy;
  }

  private final String name;
  private final int group;
  private final ReplicatedStoreModel store;
  private final ReplicatedStoreModel.Clock clock;
  private final ScheduledExecutorService timer;
  private final InetSocketAddress at;
  private final int workers;
  private final int mostQueued;
  private final java.util.ArrayDeque<Runnable> queue = new java.util.ArrayDeque<>();
  private NioSocketAcceptor acceptor;
  private int working;
  private volatile boolean primary;
  private volatile Duration lag, service;
  private volatile boolean stalled, failing, losingAnswers, boasting, doubling;
  private volatile long upSince;

  /**
   * @param address where it listens; port zero for any
   * @param lag how far it is behind the primary's history, as a replica
   * @param service how long a statement takes
   * @param workers statements worked on at a time; twice as many may wait
   */
  public FakePostgresServer(
      String name,
      int group,
      boolean primary,
      Duration lag,
      Duration service,
      int workers,
      InetAddress address,
      ReplicatedStoreModel store,
      ReplicatedStoreModel.Clock clock,
      ScheduledExecutorService timer)
      throws IOException {
    this.name = name;
    this.group = group;
    this.primary = primary;
    this.lag = lag;
    this.service = service;
    this.workers = workers;
    this.mostQueued = 2 * workers;
    this.store = store;
    this.clock = clock;
    this.timer = timer;
    listen(new InetSocketAddress(address, 0));
    this.at = acceptor.getLocalAddress();
  }

  private void listen(InetSocketAddress where) throws IOException {
    NioSocketAcceptor next = new NioSocketAcceptor(1);
    next.setReuseAddress(true);
    next.getSessionConfig().setTcpNoDelay(true);
    next.setHandler(new Handler());
    next.bind(where);
    acceptor = next;
  }

  public String name() {
    return name;
  }

  public int group() {
    return group;
  }

  public InetSocketAddress address() {
    return at;
  }

  public boolean isPrimary() {
    return primary;
  }

  /** Unix milliseconds of its last start; zero for long ago. */
  public long upSinceMillis() {
    return upSince;
  }

  // ---- What it is to do wrong

  public void lag(Duration by) {
    lag = by;
  }

  public void service(Duration time) {
    service = time;
  }

  /** While set, what is asked waits. */
  public void stalled(boolean on) {
    stalled = on;
    if (!on) {
      timer.execute(this::work);
    }
  }

  /** While set, statements fail, without an effect. */
  public void failing(boolean on) {
    failing = on;
  }

  /** While set, writes have their effect and their connection ends without an answer. */
  public void losingAnswers(boolean on) {
    losingAnswers = on;
  }

  /** While set, it tells the present as its position though it is behind: readers are misled. */
  public void boasting(boolean on) {
    boasting = on;
  }

  /** While set, each write has its effect twice. */
  public void doubling(boolean on) {
    doubling = on;
  }

  /** Its process dies: connections are reset, new ones refused. */
  public synchronized void kill() {
    if (acceptor != null) {
      acceptor.getManagedSessions().values().forEach(FakePostgresServer::reset);
      acceptor.unbind();
      acceptor.dispose();
      acceptor = null;
      synchronized (queue) {
        queue.clear();
      }
    }
  }

  private static void reset(IoSession session) {
    try {
      ((SocketSessionConfig) session.getConfig()).setSoLinger(0);
    } catch (RuntimeIoException e) {
      // It has ended already.
    }
    session.closeNow();
  }

  public synchronized void start() throws IOException {
    if (acceptor == null) {
      listen(at);
      upSince = clock.unixMillis(clock.nanos());
    }
  }

  @Override
  public void close() {
    kill();
  }

  // ---- Statements

  private final class Handler extends IoHandlerAdapter {

    @Override
    public void sessionOpened(IoSession session) {
      session.setAttribute("stream", new Stream());
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      Stream stream = (Stream) session.getAttribute("stream");
      IoBuffer in = (IoBuffer) message;
      synchronized (stream) {
        byte[] all = new byte[stream.rest.length + in.remaining()];
        System.arraycopy(stream.rest, 0, all, 0, stream.rest.length);
        in.get(all, stream.rest.length, in.remaining());
        stream.rest = all;
      }
      next(session, stream);
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }

  /** Takes the next whole message, if none is worked on. */
  private void next(IoSession session, Stream stream) {
    String query = null;
    synchronized (stream) {
      while (query == null && !stream.busy) {
        int head = stream.started ? 1 : 0;
        byte[] r = stream.rest;
        if (r.length < head + 4) {
          return;
        }
        int length =
            (r[head] & 0xff) << 24
                | (r[head + 1] & 0xff) << 16
                | (r[head + 2] & 0xff) << 8
                | (r[head + 3] & 0xff);
        if (r.length < head + length) {
          return;
        }
        String body = new String(r, head + 4, length - 4, StandardCharsets.ISO_8859_1);
        char type = stream.started ? (char) r[0] : 0;
        stream.rest = java.util.Arrays.copyOfRange(r, head + length, r.length);
        if (!stream.started) {
          stream.started = true;
          session.write(IoBuffer.wrap(new Out().message('R', new byte[4]).ready().bytes()));
        } else if (type == 'Q') {
          query = body.substring(0, Math.max(0, body.length() - 1));
          stream.busy = true;
        } else {
          session.closeOnFlush();
          return;
        }
      }
    }
    if (query != null) {
      asked(session, stream, query);
    }
  }

  private void asked(IoSession session, Stream stream, String query) {
    Matcher read = READ.matcher(query);
    Matcher write = WRITE.matcher(query);
    Matcher outcome = OUTCOME.matcher(query);
    if (read.matches()) {
      String rpc = id(read.group(2));
      String key = read.group(1);
      take(session, stream, rpc, () -> read(rpc, key));
    } else if (write.matches()) {
      String rpc = id(write.group(3));
      String key = write.group(1);
      String value = write.group(2);
      take(session, stream, rpc, () -> write(stream, rpc, key, value));
    } else if (outcome.matches()) {
      take(
          session,
          stream,
          null,
          () ->
              primary
                  ? row(store.isDone(outcome.group(1)) ? "done" : "not done", "SELECT 1")
                  : new Out().error("25006", "ask the primary").state(this).ready());
    } else if (query.equals("SELECT 1")) {
      take(session, stream, null, () -> row("1", "SELECT 1"));
    } else if (query.equals("SHOW stats")) {
      take(
          session,
          stream,
          null,
          () -> row("x0=" + position() / 1000.0 + ",x1=" + (primary ? 1 : 0), "SHOW"));
    } else {
      answer(session, stream, new Out().error("08P01", "no statement of this store").ready());
    }
  }

  private static String id(String comment) {
    Matcher id = ID.matcher(comment);
    return id.find() ? id.group(1) : "";
  }

  private interface Work {
    /** The answer; null where the connection is to end without one. */
    Out run();
  }

  private void take(IoSession session, Stream stream, String rpc, Work work) {
    if (rpc != null) {
      store.arrived(new ReplicatedStoreModel.Arrival(clock.nanos(), rpc, name, stream.number));
    }
    Runnable task =
        () ->
            timer.schedule(
                () -> {
                  try {
                    Out out =
                        failing && rpc != null
                            ? new Out().error("XX000", "told to fail").ready()
                            : work.run();
                    if (out == null) {
                      reset(session);
                    } else {
                      answer(session, stream, out);
                    }
                  } finally {
                    synchronized (queue) {
                      working--;
                    }
                    work();
                  }
                },
                rpc == null ? 0 : service.toNanos(),
                TimeUnit.NANOSECONDS);
    boolean full;
    synchronized (queue) {
      full = queue.size() >= mostQueued;
      if (!full) {
        queue.add(task);
      }
    }
    if (full) {
      answer(session, stream, new Out().error("53300", "queue full").state(this).ready());
    } else {
      work();
    }
  }

  private void work() {
    while (true) {
      Runnable next;
      synchronized (queue) {
        if (stalled || working >= workers || queue.isEmpty()) {
          return;
        }
        working++;
        next = queue.poll();
      }
      next.run();
    }
  }

  private long horizon() {
    long now = clock.nanos();
    return primary ? now : now - lag.toNanos();
  }

  private long position() {
    return clock.unixMillis(boasting ? clock.nanos() : horizon());
  }

  private Out read(String rpc, String key) {
    return row(store.read(clock.nanos(), rpc, group, name, key, horizon()), "SELECT 1");
  }

  private Out write(Stream stream, String rpc, String key, String value) {
    if (!primary) {
      return new Out().error("25006", "cannot write on a replica").state(this).ready();
    }
    store.commit(clock.nanos(), rpc, group, name, key, value, stream.number);
    if (doubling) {
      store.commit(clock.nanos(), rpc, group, name, key, value, stream.number);
    }
    return losingAnswers ? null : row(value, "INSERT 0 1");
  }

  private Out row(String value, String tag) {
    return new Out().row(value, tag).state(this).ready();
  }

  private void answer(IoSession session, Stream stream, Out out) {
    session.write(IoBuffer.wrap(out.bytes()));
    synchronized (stream) {
      stream.busy = false;
    }
    next(session, stream);
  }

  /** Messages of one answer. */
  private static final class Out {
    private final ByteArrayOutputStream all = new ByteArrayOutputStream();

    Out message(char type, byte[] body) {
      all.write(type);
      int length = body.length + 4;
      all.write(length >>> 24);
      all.write(length >>> 16);
      all.write(length >>> 8);
      all.write(length);
      all.writeBytes(body);
      return this;
    }

    Out row(String value, String tag) {
      byte[] text = value.getBytes(StandardCharsets.ISO_8859_1);
      ByteArrayOutputStream column = new ByteArrayOutputStream();
      column.writeBytes(new byte[] {0, 1});
      column.writeBytes("content\0".getBytes(StandardCharsets.ISO_8859_1));
      column.writeBytes(new byte[] {0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 1});
      ByteArrayOutputStream data = new ByteArrayOutputStream();
      data.writeBytes(
          new byte[] {
            0,
            1,
            (byte) (text.length >>> 24),
            (byte) (text.length >>> 16),
            (byte) (text.length >>> 8),
            (byte) text.length
          });
      data.writeBytes(text);
      return message('T', column.toByteArray())
          .message('D', data.toByteArray())
          .message('C', (tag + "\0").getBytes(StandardCharsets.ISO_8859_1));
    }

    Out error(String code, String text) {
      return message(
          'E', ("SERROR\0C" + code + "\0M" + text + "\0\0").getBytes(StandardCharsets.ISO_8859_1));
    }

    Out state(FakePostgresServer of) {
      return message(
              'S',
              ("mode\0" + (of.primary ? "read-write" : "read-only") + "\0")
                  .getBytes(StandardCharsets.ISO_8859_1))
          .message(
              'S', ("wal_time\0" + of.position() + "\0").getBytes(StandardCharsets.ISO_8859_1));
    }

    Out ready() {
      return message('Z', new byte[] {'I'});
    }

    byte[] bytes() {
      return all.toByteArray();
    }
  }
}
