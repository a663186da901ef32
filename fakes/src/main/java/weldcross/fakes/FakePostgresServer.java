package weldcross.fakes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * A primary or replica of one group that speaks PostgreSQL's protocol v3 with simple queries: reads
 * and writes of one key, health checks ({@code SELECT 1}, {@code SHOW stats}) and the question
 * whether a request has had its effect ({@code SELECT outcome FROM rpcs WHERE id = '...'}). It
 * reports its role and position beside its answers. Faults are switched on and off from outside.
 */
public final class FakePostgresServer implements AutoCloseable {

  private static final Pattern READ =
      Pattern.compile("SELECT content FROM kv WHERE name = '([^']*)' /\\* (.*) \\*/");
  private static final Pattern WRITE =
      Pattern.compile(
          "INSERT INTO kv \\(name, content\\) VALUES \\('([^']*)', '\\\\x([0-9a-f]*)'\\)"
              + " RETURNING content /\\* (.*) \\*/");
  private static final Pattern OUTCOME =
      Pattern.compile("SELECT outcome FROM rpcs WHERE id = '([^']*)'.*");
  private static final Pattern REQUEST_ID = Pattern.compile("(?:^|,)id=([^,]+)");
  private static final String SELECT_TAG = "SELECT 1";

  private static final String READ_ONLY_TRANSACTION = "25006";
  private static final String TOO_MANY_CONNECTIONS = "53300";
  private static final String PROTOCOL_VIOLATION = "08P01";
  private static final String INTERNAL_ERROR = "XX000";

  /** The attribute of a session that holds its {@link PostgresClientStream}. */
  private static final String STREAM = "stream";

  private final String name;
  private final int group;
  private final ReplicatedStoreModel store;
  private final ReplicatedStoreModel.Clock clock;
  private final ScheduledExecutorService executor;
  private final InetSocketAddress address;
  private final int workers;
  private final int maxQueued;

  /** Statements that wait for a worker; guards {@link #busyWorkers} as well. */
  private final ArrayDeque<Runnable> queue = new ArrayDeque<>();

  private NioSocketAcceptor acceptor;
  private int busyWorkers;
  private final boolean primary;
  private volatile Duration lag;

  /** What a replica has applied it has for good: its position never goes back behind this. */
  private volatile long minPosition = Long.MIN_VALUE;

  private volatile Duration serviceTime;
  private volatile boolean stalled;
  private volatile boolean failing;
  private volatile boolean losingAnswers;
  private volatile boolean overstatingPosition;
  private volatile boolean writingTwice;
  private volatile long upSinceMillis;

  /**
   * Starts a server on a free port.
   *
   * @param name its name in the endpoint list
   * @param group its replica group
   * @param primary whether it takes writes
   * @param lag how far it is behind the primary's history, as a replica
   * @param serviceTime how long a statement takes
   * @param workers statements worked on at a time; twice as many may wait
   * @param host the address to listen on
   * @param store the data of all groups
   * @param clock the clock of the run
   * @param executor where statements are worked on
   * @throws IOException if it cannot listen there
   */
  public FakePostgresServer(
      String name,
      int group,
      boolean primary,
      Duration lag,
      Duration serviceTime,
      int workers,
      InetAddress host,
      ReplicatedStoreModel store,
      ReplicatedStoreModel.Clock clock,
      ScheduledExecutorService executor)
      throws IOException {
    this.name = name;
    this.group = group;
    this.primary = primary;
    this.lag = lag;
    this.serviceTime = serviceTime;
    this.workers = workers;
    this.maxQueued = 2 * workers;
    this.store = store;
    this.clock = clock;
    this.executor = executor;
    listen(new InetSocketAddress(host, 0));
    this.address = acceptor.getLocalAddress();
  }

  private void listen(InetSocketAddress at) throws IOException {
    NioSocketAcceptor next = new NioSocketAcceptor(1);
    next.setReuseAddress(true);
    next.getSessionConfig().setTcpNoDelay(true);
    next.setHandler(new ConnectionHandler());
    next.bind(at);
    acceptor = next;
  }

  /**
   * Returns its name in the endpoint list.
   *
   * @return the name it was created with
   */
  public String name() {
    return name;
  }

  /**
   * Returns its replica group.
   *
   * @return the group it was created with
   */
  public int group() {
    return group;
  }

  /**
   * Returns where it listens.
   *
   * @return the same address in each life of its process
   */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Returns whether it takes writes.
   *
   * @return true for the primary of its group
   */
  public boolean isPrimary() {
    return primary;
  }

  /**
   * Returns when it was last started.
   *
   * @return Unix time in milliseconds; zero if it was never started again
   */
  public long upSinceMillis() {
    return upSinceMillis;
  }

  /**
   * Sets how far a replica is behind the primary's history. Where it is less behind, its position
   * stands still until it is that far behind.
   *
   * @param newLag zero or more
   */
  public void setLag(Duration newLag) {
    minPosition = visibleUntil();
    lag = newLag;
  }

  /**
   * Sets how long a statement takes.
   *
   * @param newServiceTime zero or more
   */
  public void setServiceTime(Duration newServiceTime) {
    serviceTime = newServiceTime;
  }

  /**
   * Keeps statements waiting while set.
   *
   * @param on whether it stalls from now on
   */
  public void setStalled(boolean on) {
    stalled = on;
    if (!on) {
      executor.execute(this::startQueuedWork);
    }
  }

  /**
   * Answers statements with an error and without an effect while set.
   *
   * @param on whether it fails from now on
   */
  public void setFailing(boolean on) {
    failing = on;
  }

  /**
   * Applies writes and resets their connection in place of an answer while set.
   *
   * @param on whether answers are lost from now on
   */
  public void setLosingAnswers(boolean on) {
    losingAnswers = on;
  }

  /**
   * Reports the present as its position, though it lags, while set.
   *
   * @param on whether the position is wrong from now on
   */
  public void setOverstatingPosition(boolean on) {
    overstatingPosition = on;
  }

  /**
   * Applies each write twice while set.
   *
   * @param on whether writes are doubled from now on
   */
  public void setWritingTwice(boolean on) {
    writingTwice = on;
  }

  /** Ends its process: connections are reset, new ones are refused. */
  public synchronized void kill() {
    if (acceptor == null) {
      return;
    }
    acceptor.getManagedSessions().values().forEach(FakePostgresServer::reset);
    acceptor.unbind();
    acceptor.dispose();
    acceptor = null;
    synchronized (queue) {
      queue.clear();
    }
  }

  /**
   * Starts its process again, if it was killed.
   *
   * @throws IOException if it cannot listen at its address
   */
  public synchronized void start() throws IOException {
    if (acceptor == null) {
      listen(address);
      upSinceMillis = clock.unixMillis(clock.nanos());
    }
  }

  @Override
  public void close() {
    kill();
  }

  private static void reset(IoSession session) {
    try {
      ((SocketSessionConfig) session.getConfig()).setSoLinger(0);
    } catch (RuntimeIoException e) {
      // The connection has ended already.
    }
    session.closeNow();
  }

  private final class ConnectionHandler extends IoHandlerAdapter {

    @Override
    public void sessionOpened(IoSession session) {
      session.setAttribute(STREAM, new PostgresClientStream());
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      PostgresClientStream stream = (PostgresClientStream) session.getAttribute(STREAM);
      stream.append((IoBuffer) message);
      handleMessages(session, stream);
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }

  private void handleMessages(IoSession session, PostgresClientStream stream) {
    while (true) {
      PostgresClientStream.Message message = stream.next();
      switch (message.kind()) {
        case NONE -> {
          return;
        }
        case STARTUP -> send(session, new PostgresMessageWriter().authenticationOk().ready());
        case QUERY -> {
          execute(session, stream, message.text());
          return;
        }
        case END -> {
          session.closeOnFlush();
          return;
        }
      }
    }
  }

  private void execute(IoSession session, PostgresClientStream stream, String query) {
    Matcher read = READ.matcher(query);
    Matcher write = WRITE.matcher(query);
    Matcher outcome = OUTCOME.matcher(query);
    if (read.matches()) {
      String id = requestId(read.group(2));
      String key = read.group(1);
      enqueueRequest(session, stream, id, () -> Optional.of(read(id, key)));
    } else if (write.matches()) {
      String id = requestId(write.group(3));
      String key = write.group(1);
      String value = write.group(2);
      enqueueRequest(session, stream, id, () -> write(stream, id, key, value));
    } else if (outcome.matches()) {
      enqueue(session, stream, () -> Duration.ZERO, () -> Optional.of(outcomeOf(outcome.group(1))));
    } else if (query.equals("SELECT 1")) {
      enqueue(session, stream, () -> Duration.ZERO, () -> Optional.of(row("1", SELECT_TAG)));
    } else if (query.equals("SHOW stats")) {
      enqueue(session, stream, () -> Duration.ZERO, () -> Optional.of(row(stats(), "SHOW")));
    } else {
      String text = "statement not supported by this server";
      answer(session, stream, new PostgresMessageWriter().error(PROTOCOL_VIOLATION, text).ready());
    }
  }

  private static String requestId(String comment) {
    Matcher id = REQUEST_ID.matcher(comment);
    return id.find() ? id.group(1) : "";
  }

  private String stats() {
    return "x0=" + positionMillis() / 1000.0 + ",x1=" + (primary ? 1 : 0);
  }

  /** Records a read or write, which takes the service time and may be told to fail. */
  private void enqueueRequest(
      IoSession session,
      PostgresClientStream stream,
      String id,
      Supplier<Optional<PostgresMessageWriter>> statement) {
    store.recordArrival(new ReplicatedStoreModel.Arrival(clock.nanos(), id, name, stream.number()));
    enqueue(
        session,
        stream,
        () -> serviceTime,
        () ->
            failing
                ? Optional.of(
                    new PostgresMessageWriter().error(INTERNAL_ERROR, "told to fail").ready())
                : statement.get());
  }

  /**
   * Has a statement worked on once a worker is free, or rejects it if too many wait.
   *
   * @param duration how long it takes, asked once a worker takes it up
   * @param statement its answer; empty where the connection is reset in place of an answer
   */
  private void enqueue(
      IoSession session,
      PostgresClientStream stream,
      Supplier<Duration> duration,
      Supplier<Optional<PostgresMessageWriter>> statement) {
    Runnable work = () -> runAfter(duration.get(), () -> complete(session, stream, statement));
    boolean full;
    synchronized (queue) {
      full = queue.size() >= maxQueued;
      if (!full) {
        queue.add(work);
      }
    }
    if (full) {
      PostgresMessageWriter error =
          new PostgresMessageWriter().error(TOO_MANY_CONNECTIONS, "queue full");
      answer(session, stream, withState(error).ready());
    } else {
      startQueuedWork();
    }
  }

  private void runAfter(Duration duration, Runnable task) {
    Future<?> unused = executor.schedule(task, duration.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void complete(
      IoSession session,
      PostgresClientStream stream,
      Supplier<Optional<PostgresMessageWriter>> statement) {
    try {
      statement
          .get()
          .ifPresentOrElse(response -> answer(session, stream, response), () -> reset(session));
    } finally {
      synchronized (queue) {
        busyWorkers--;
      }
      startQueuedWork();
    }
  }

  private void startQueuedWork() {
    while (true) {
      Runnable next;
      synchronized (queue) {
        if (stalled || busyWorkers >= workers || queue.isEmpty()) {
          return;
        }
        busyWorkers++;
        next = queue.poll();
      }
      next.run();
    }
  }

  /** The time up to which commits are visible here, in nanoseconds of the run's clock. */
  private long visibleUntil() {
    long now = clock.nanos();
    return primary ? now : Math.max(minPosition, now - lag.toNanos());
  }

  private long positionMillis() {
    return clock.unixMillis(overstatingPosition ? clock.nanos() : visibleUntil());
  }

  private PostgresMessageWriter read(String id, String key) {
    return row(store.read(clock.nanos(), id, group, name, key, visibleUntil()), SELECT_TAG);
  }

  private Optional<PostgresMessageWriter> write(
      PostgresClientStream stream, String id, String key, String value) {
    if (!primary) {
      return Optional.of(readOnlyError("cannot write on a replica"));
    }
    store.commit(clock.nanos(), id, group, name, key, value, stream.number());
    if (writingTwice) {
      store.commit(clock.nanos(), id, group, name, key, value, stream.number());
    }
    return losingAnswers ? Optional.empty() : Optional.of(row(value, "INSERT 0 1"));
  }

  private PostgresMessageWriter outcomeOf(String id) {
    return primary
        ? row(store.isCommitted(id) ? "done" : "not done", SELECT_TAG)
        : readOnlyError("ask the primary");
  }

  private PostgresMessageWriter readOnlyError(String text) {
    return withState(new PostgresMessageWriter().error(READ_ONLY_TRANSACTION, text)).ready();
  }

  private PostgresMessageWriter row(String value, String commandTag) {
    return withState(new PostgresMessageWriter().row(value, commandTag)).ready();
  }

  private PostgresMessageWriter withState(PostgresMessageWriter response) {
    return response
        .parameter("mode", primary ? "read-write" : "read-only")
        .parameter("wal_time", Long.toString(positionMillis()));
  }

  private void answer(
      IoSession session, PostgresClientStream stream, PostgresMessageWriter response) {
    send(session, response);
    stream.queryAnswered();
    handleMessages(session, stream);
  }

  private static void send(IoSession session, PostgresMessageWriter response) {
    session.write(IoBuffer.wrap(response.toByteArray()));
  }
}
